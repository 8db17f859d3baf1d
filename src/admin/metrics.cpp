#include "admin/metrics.h"

#include <prometheus/text_serializer.h>

#include <sstream>
#include <utility>

namespace flintglade::admin {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

ClientMetric counter_metric(std::uint64_t value, std::vector<ClientMetric::Label> labels = {}) {
  ClientMetric out;
  out.label = std::move(labels);
  out.counter.value = static_cast<double>(value);
  return out;
}
ClientMetric gauge_metric(std::size_t value) {
  ClientMetric out;
  out.gauge.value = static_cast<double>(value);
  return out;
}

}  // namespace

std::string render(const Metrics& metrics) {
  std::vector<MetricFamily> families;
  MetricFamily responses{"app_responses", "Requests that got their final answer.", MetricType::Counter, {}};
  for (std::size_t i = 0; i < metrics.classes.size() && i < metrics.counters->answers.size(); ++i) {
    const core::Answers& answers = metrics.counters->answers[i];
    for (const auto& [result, value] : {std::pair{"ok", answers.served}, std::pair{"shed", answers.refused},
                                        std::pair{"errors", answers.failed}})
      responses.metric.push_back(counter_metric(value, {{"kind", metrics.classes[i]}, {"result", result}}));
  }
  families.push_back(std::move(responses));
  const auto add_single = [&families](const char* name, const char* help, MetricType type,
                                      ClientMetric value) {
    families.push_back({name, help, type, {std::move(value)}});
  };
  add_single("app_tries", "Attempts written whole to model replicas.", MetricType::Counter,
             counter_metric(metrics.counters->attempts_written));
  add_single("app_active", "Requests taken and not yet ended.", MetricType::Gauge,
             gauge_metric(metrics.active));
  add_single("app_pool_size", "Model replicas in the list.", MetricType::Gauge,
             gauge_metric(metrics.pool_size));
  add_single("app_pool_ejected", "Listed model replicas that the router now avoids.", MetricType::Gauge,
             gauge_metric(metrics.pool_ejected));
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, families);
  return out.str();
}

}  // namespace flintglade::admin
