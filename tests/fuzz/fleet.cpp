// Fuzzes a router's fleet port with arbitrary packets, and the decoders of a voter's log file and of the
// snapshot of counters: they must not crash, and the tables must stay within their bounds. The fleet name and
// the receiver of each packet are set to matching values, so that the fuzzer gets past these checks.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "coordination/coordination_protocol.h"
#include "shared/quota_holder.h"
#include "shared/shared_state.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace flintglade;
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  const auto log = coordination::decode_raft_log(bytes);
  if (log.ok() && log->torn_bytes > size) std::abort();

  coordination::CoordinationSettings settings;
  settings.membership.fleet = "f";
  settings.membership.max_peers = 16;
  settings.self = {"a", "north", "10.0.0.1:1", 1000};
  settings.voters = {{"b", 1, "10.0.0.2:1"}};
  settings.jobs = {{"job", ""}};
  // The same for shared state: its messages, and a stored snapshot of counters.
  shared::Settings shared_settings;
  shared_settings.health_gossip = true;
  shared_settings.max_rows = 8;
  shared::Budget budget;
  budget.name = budget.team = "t";
  budget.window_total = 1000 * shared::kUnit;
  budget.window = core::kSecond;
  shared_settings.budgets = {budget};
  shared::QuotaHolder quota_holder(shared_settings.budgets, {"t"}, 1000, 0);
  shared::SharedState::Ports ports;
  ports.unix_time = [] { return core::Micros{1'700'000'000'000'000}; };
  ports.on_lease = [&](const coordination::QuotaLease& lease) { quota_holder.on_lease(1000, lease); };
  ports.lend = [&](const std::string&, const coordination::QuotaRequest& request) {
    quota_holder.lend(1000, request);
  };
  ports.on_health_summaries = [](const std::vector<shared::ReplicaHealthSummary>&, shared::FleetSize) {};
  shared::SharedState shared_state(shared_settings, ports, settings.self, 1);
  shared_state.restore(0, bytes).IgnoreError();  // any result is acceptable; only a crash is a failure
  coordination::CoordinationProtocol protocol(settings, 1);
  protocol.start(0);
  coordination::Packet packet;
  if (!packet.ParseFromString(bytes)) return 0;
  packet.set_fleet("f");
  packet.clear_to();
  // The packet is received several times with ticks in between, so that it also meets the state that its
  // earlier copies left.
  for (core::Micros now = 1000; now < 3 * core::kSecond; now += core::kSecond) {
    protocol.receive(now, "10.0.0.2:1", packet.SerializeAsString());
    protocol.tick(now + 500'000);
    protocol.take_datagrams();
    quota_holder.spend(now, 0, 0);
    quota_holder.due_requests(now);
    for (const auto& notification : protocol.take_notifications())
      shared_state.receive(now, protocol, notification);
    shared_state.tick(now + 500'000, protocol);
    if (quota_holder.held(now, 0) > budget.window_total || shared_state.counter().table().rows().size() > 8)
      std::abort();
    protocol.take_events();
  }
  if (protocol.membership().others().size() > 16) std::abort();
  return 0;
}
