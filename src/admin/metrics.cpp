#include "admin/metrics.h"

#include <prometheus/text_serializer.h>

#include <sstream>
#include <utility>

namespace flintglade::admin {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

ClientMetric counted(std::uint64_t value, std::vector<ClientMetric::Label> labels = {}) {
  ClientMetric out;
  out.label = std::move(labels);
  out.counter.value = static_cast<double>(value);
  return out;
}
ClientMetric gauged(std::size_t value) {
  ClientMetric out;
  out.gauge.value = static_cast<double>(value);
  return out;
}

}  // namespace

std::string render(const Metrics& f) {
  std::vector<MetricFamily> families;
  MetricFamily responses{"app_responses", "Requests that got their final answer.", MetricType::Counter, {}};
  for (std::size_t i = 0; i < f.classes.size() && i < f.counters->answers.size(); ++i) {
    const core::Answers& a = f.counters->answers[i];
    for (const auto& [result, value] :
         {std::pair{"ok", a.served}, std::pair{"shed", a.refused}, std::pair{"errors", a.failed}})
      responses.metric.push_back(counted(value, {{"kind", f.classes[i]}, {"result", result}}));
  }
  families.push_back(std::move(responses));
  const auto one = [&families](const char* name, const char* help, MetricType type, ClientMetric value) {
    families.push_back({name, help, type, {std::move(value)}});
  };
  one("app_tries", "Attempts written whole to model replicas.", MetricType::Counter,
      counted(f.counters->attempts_written));
  one("app_active", "Requests taken and not yet ended.", MetricType::Gauge, gauged(f.active));
  one("app_pool_size", "Model replicas in the list.", MetricType::Gauge, gauged(f.pool_size));
  one("app_pool_ejected", "Listed model replicas that the router now avoids.", MetricType::Gauge,
      gauged(f.pool_ejected));
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, families);
  return out.str();
}

}  // namespace flintglade::admin
