#include "core/counters.h"

namespace flintglade::core {

std::vector<std::pair<const char*, std::uint64_t>> Counters::list() const {
  std::vector<std::pair<const char*, std::uint64_t>> out;
  const auto add = [&out](const char* name, std::uint64_t value) { out.emplace_back(name, value); };
  add("rpcs", rpcs);
  add("retries", retries);
  add("resumed", resumed);
  add("served", served);
  add("broken", broken);
  add("stalled", stalled);
  add("unavailable", unavailable);
  add("overloaded", overloaded);
  add("over_budget", over_budget);
  add("failed", failed);
  add("rejected", rejected);
  add("overdue", overdue);
  add("gone", gone);
  add("held", held);
  add("moved_out", migrated_out);
  add("moved_in", migrated_in);
  add("adopted", adopted);
  add("calls", calls);
  add("written", written);
  add("second_calls", second_calls);
  for (std::size_t i = 0; i < kOutcomes.size(); ++i) add(kOutcomes[i], outcomes[i]);
  add("list_news", on_endpoint_list_update);
  add("list_failures", list_failures);
  add("reloads", reloads);
  add("reloads_refused", reloads_refused);
  add("slow_clients", slow_clients);
  add("turns", iterations);
  add("longest_turn_us", longest_iteration_us);
  return out;
}

}  // namespace flintglade::core
