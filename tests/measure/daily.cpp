// Figures of what operators see: what counting a request costs, and what the text of all figures does.
// docs/measurements/daily.md has them.
#include <chrono>
#include <cstdio>
#include <memory>

#include "admin/metrics.h"
#include "core/counters.h"

int main() {
  using namespace flintglade;
  using Clock = std::chrono::steady_clock;
  const auto since = [](Clock::time_point from) {
    return std::chrono::duration<double, std::nano>(Clock::now() - from).count();
  };
  core::Counters counters;
  counters.answers.resize(8);
  constexpr int kRequests = 50'000'000;
  volatile std::uint32_t request_class = 0;
  auto from = Clock::now();
  for (int i = 0; i < kRequests; ++i) {
    // As Broker does for each request: its coming, its attempt, its bytes written, its answer.
    ++counters.requests;
    ++counters.attempts;
    ++counters.attempts_written;
    ++counters.answers[std::min<std::size_t>(request_class, counters.answers.size() - 1)].served;
  }
  std::printf("counting a request: %.1f ns\n", since(from) / kRequests);
  std::vector<std::string> classes(8, "class");
  for (std::size_t i = 0; i < classes.size(); ++i) classes[i] += std::to_string(i);
  constexpr int kTexts = 2000;
  std::size_t bytes = 0;
  from = Clock::now();
  for (int i = 0; i < kTexts; ++i) bytes += admin::render({&counters, classes, 14, 300, 3}).size();
  std::printf("the text of all figures, 8 classes: %.0f us, %zu bytes\n", since(from) / kTexts / 1000.0,
              bytes / kTexts);
}
