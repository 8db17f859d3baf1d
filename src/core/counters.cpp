#include "core/counters.h"

namespace flintglade::core {

std::vector<NamedCounter> Counters::list() const {
  std::vector<NamedCounter> counters;
  const auto add = [&counters](const char* name, std::uint64_t value) { counters.push_back({name, value}); };
  add("requests", requests);
  add("client_retries", client_retries);
  add("requests_resumed", requests_resumed);
  add("requests_served", requests_served);
  add("streams_broken", streams_broken);
  add("streams_stalled", streams_stalled);
  add("requests_rejected", requests_rejected);
  add("requests_shed", requests_shed);
  add("requests_over_quota", requests_over_quota);
  add("requests_failed", requests_failed);
  add("requests_invalid", requests_invalid);
  add("requests_overdue", requests_overdue);
  add("clients_disconnected", clients_disconnected);
  add("attempts_held", attempts_held);
  add("streams_migrated_out", streams_migrated_out);
  add("streams_migrated_in", streams_migrated_in);
  add("snapshots_restored", snapshots_restored);
  add("attempts", attempts);
  add("attempts_written", attempts_written);
  add("further_attempts", further_attempts);
  for (std::size_t i = 0; i < kOutcomes.size(); ++i) add(kOutcomes[i], outcomes[i]);
  add("list_updates", list_updates);
  add("list_failures", list_failures);
  add("reloads", reloads);
  add("reloads_rejected", reloads_rejected);
  add("slow_clients", slow_clients);
  add("iterations", iterations);
  add("longest_iteration_us", longest_iteration_us);
  return counters;
}

}  // namespace flintglade::core
