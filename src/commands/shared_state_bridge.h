// What this router shares with its fleet, between the core's thread and the member's: the wallet, the counts
// and the witness are the core's, shared::SharedState is the member's, and what goes between them is posted.
#pragma once

#include <boost/asio.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config/config.h"
#include "coordination/coordination_runtime.h"
#include "core/broker.h"
#include "operator.pb.h"
#include "shared/health_observer.h"
#include "shared/quota_holder.h"
#include "shared/shared_state.h"

namespace flintglade::commands {

using core::Micros;

class SharedStateBridge final : public core::SharedStatePort {
 public:
  // self: as the member tells the others. member, core and log are borrowed and outlive it.
  SharedStateBridge(boost::asio::io_context& io, core::Clock& clock, const deploy::Fleet& file,
                    const config::Config& config, const membership::Self& self);
  coordination::ProtocolExtension* extension() { return shared_state_.get(); }
  void restore();  // what a process before this one has left; before the member starts
  void start(coordination::CoordinationRuntime& member, core::Broker& core);
  void leave();  // what is left of parts of stocks goes back, and the counts are told once more

  QuotaDecision check_quota(Micros now, const core::Request& rpc) override;
  void on_request_finished(const core::Request& rpc, RequestOutcome outcome) override;
  void on_first_event(Micros now, core::ReplicaId replica) override {
    health_observer_.on_first_event(now, replica);
  }
  void on_attempt_ended(Micros now, core::ReplicaId replica, policy::Outcome outcome) override {
    health_observer_.on_attempt_ended(now, replica, outcome);
  }
  // Which budgets of the file are of no tenant that the settings name.
  const std::vector<std::string>& unknown_teams() const { return unknown_teams_; }

 private:
  void poll();
  // Parts run out while the machine sleeps, too.
  Micros quota_time(Micros now) const { return now + slept_; }
  void send_requests(Micros now);
  void send_counts(Micros now);
  void send_observations(Micros now);
  void on_health_summaries(const std::vector<shared::ReplicaHealthSummary>& summaries,
                           shared::FleetSize fleet);
  void save_counters(std::string bytes);
  shared::ReplicatedCounter::Counts counts() const;

  boost::asio::io_context& io_;
  core::Clock& clock_;
  const config::Config& config_;
  shared::Settings settings_;
  std::string snapshot_;
  shared::QuotaHolder quota_holder_;
  shared::HealthObserver health_observer_;
  shared::EjectionPolicy ejection_policy_;
  std::vector<coordination::RequestCounts> counts_;  // by team and class; the last team is none
  std::vector<std::string> unknown_teams_;
  boost::asio::steady_timer alarm_;
  Micros next_counts_ = 0;
  Micros next_observations_ = 0;
  Micros next_save_ = 0;
  Micros slept_ = 0;  // how far the member's clock is ahead of the core's, as of the last look
  bool had_observations_ = false;
  std::set<core::ReplicaId> avoided_;  // by hearsay
  core::Broker* core_ = nullptr;
  coordination::CoordinationRuntime* member_ = nullptr;
  std::unique_ptr<shared::SharedState> shared_state_;
  boost::asio::thread_pool disk_{1};
};

}  // namespace flintglade::commands
