// Whatever comes to a router's fleet port, from its own fleet, and whatever stands in a voter's file: no
// crash, and tables that stay within their bounds. The fleet's name and the receiver are made to fit, so that
// what is behind them is reached.
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

  coordination::CoordinationSettings set;
  set.membership.fleet = "f";
  set.membership.max_peers = 16;
  set.self = {"a", "north", "10.0.0.1:1", 1000};
  set.voters = {{"b", 1, "10.0.0.2:1"}};
  set.jobs = {{"job", ""}};
  // What routers share, likewise: the messages, and a snapshot of counts as a file.
  shared::Settings sharing;
  sharing.health_gossip = true;
  sharing.max_rows = 8;
  shared::Budget budget;
  budget.name = budget.team = "t";
  budget.window_total = 1000 * shared::kUnit;
  budget.window = core::kSecond;
  sharing.budgets = {budget};
  shared::QuotaHolder wallet(sharing.budgets, {"t"}, 1000, 0);
  shared::SharedState::Ports ports;
  ports.unix_time = [] { return core::Micros{1'700'000'000'000'000}; };
  ports.on_lease = [&](const coordination::QuotaLease& part) { wallet.on_lease(1000, part); };
  ports.lend = [&](const std::string&, const coordination::QuotaRequest& ask) { wallet.lend(1000, ask); };
  ports.on_health_summaries = [](const std::vector<shared::ReplicaHealthSummary>&, shared::FleetSize) {};
  shared::SharedState shared_state(sharing, ports, set.self, 1);
  shared_state.restore(0, bytes).IgnoreError();  // whatever it says
  coordination::CoordinationProtocol agent(set, 1);
  agent.start(0);
  coordination::Packet p;
  if (!p.ParseFromString(bytes)) return 0;
  p.set_fleet("f");
  p.clear_to();
  // Twice, later, and by a tick between: what the first one has left is met by the second.
  for (core::Micros now = 1000; now < 3 * core::kSecond; now += core::kSecond) {
    agent.receive(now, "10.0.0.2:1", p.SerializeAsString());
    agent.tick(now + 500'000);
    agent.take_datagrams();
    wallet.spend(now, 0, 0);
    wallet.due_requests(now);
    for (const auto& w : agent.take_notifications()) shared_state.receive(now, agent, w);
    shared_state.tick(now + 500'000, agent);
    if (wallet.held(now, 0) > budget.window_total || shared_state.counter().table().rows().size() > 8)
      std::abort();
    agent.take_events();
  }
  if (agent.membership().others().size() > 16) std::abort();
  return 0;
}
