// Measures the cost of metrics: counting a request, and rendering all metrics as text. The results are in
// docs/measurements/daily.md.
#include <chrono>
#include <cstdio>
#include <memory>

#include "admin/metrics.h"
#include "core/counters.h"

int main() {
  using namespace flintglade;
  using Clock = std::chrono::steady_clock;
  const auto nanoseconds_since = [](Clock::time_point started_at) {
    return std::chrono::duration<double, std::nano>(Clock::now() - started_at).count();
  };
  core::Counters counters;
  counters.answers.resize(8);
  constexpr int kRequests = 50'000'000;
  volatile std::uint32_t request_class = 0;
  auto started_at = Clock::now();
  for (int i = 0; i < kRequests; ++i) {
    // The counters that Broker increments for each request: its arrival, attempt, written attempt and
    // response.
    ++counters.requests;
    ++counters.attempts;
    ++counters.attempts_written;
    ++counters.answers[std::min<std::size_t>(request_class, counters.answers.size() - 1)].served;
  }
  std::printf("counting a request: %.1f ns\n", nanoseconds_since(started_at) / kRequests);
  std::vector<std::string> classes(8, "class");
  for (std::size_t i = 0; i < classes.size(); ++i) classes[i] += std::to_string(i);
  constexpr int kRenderings = 2000;
  std::size_t bytes = 0;
  started_at = Clock::now();
  for (int i = 0; i < kRenderings; ++i) bytes += admin::render({&counters, classes, 14, 300, 3}).size();
  std::printf("rendering all metrics, 8 classes: %.0f us, %zu bytes\n",
              nanoseconds_since(started_at) / kRenderings / 1000.0, bytes / kRenderings);
}
