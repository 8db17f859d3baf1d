// Connects the core with the state that this router shares with its fleet. The quota holder, the request
// counts and the health observer are used on the core's thread, shared::SharedState on the coordination
// runtime's thread. Each side posts calls to the other's thread.
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
  // self: this router as the other members see it. The member and the core passed to start() are not owned
  // and must outlive this object.
  SharedStateBridge(boost::asio::io_context& io, core::Clock& clock, const deploy::Fleet& fleet,
                    const config::Config& config, const membership::Self& self);
  coordination::ProtocolExtension* extension() { return shared_state_.get(); }
  // Restores the counters that an earlier process saved. Called before the coordination runtime starts.
  void restore();
  void start(coordination::CoordinationRuntime& runtime, core::Broker& core);
  // Returns the unused leases on stocks and publishes the counts a last time.
  void leave();

  QuotaDecision check_quota(Micros now, const core::Request& request) override;
  void on_request_finished(const core::Request& request, RequestOutcome outcome) override;
  void on_first_event(Micros now, core::ReplicaId replica) override {
    health_observer_.on_first_event(now, replica);
  }
  void on_attempt_ended(Micros now, core::ReplicaId replica, policy::Outcome outcome) override {
    health_observer_.on_attempt_ended(now, replica, outcome);
  }
  // The teams that have a budget in the operator's file but are no tenant in the settings.
  const std::vector<std::string>& unknown_teams() const { return unknown_teams_; }

 private:
  void poll();
  // The clock of the quota leases: leases also expire while the machine sleeps.
  Micros quota_time(Micros now) const { return now + clock_offset_; }
  void send_requests(Micros now);
  void send_counts(Micros now);
  void send_observations(Micros now);
  void on_health_summaries(const std::vector<shared::ReplicaHealthSummary>& summaries,
                           shared::FleetSize fleet_size);
  void save_counters(std::string bytes);
  shared::ReplicatedCounter::Counts counts() const;

  boost::asio::io_context& io_;
  core::Clock& clock_;
  const config::Config& config_;
  shared::Settings settings_;
  std::string snapshot_path_;
  shared::QuotaHolder quota_holder_;
  shared::HealthObserver health_observer_;
  shared::EjectionPolicy ejection_policy_;
  // By team and class; the last team is for requests of unknown tenants.
  std::vector<coordination::RequestCounts> counts_;
  std::vector<std::string> unknown_teams_;
  boost::asio::steady_timer poll_timer_;
  Micros next_counts_ = 0;
  Micros next_observations_ = 0;
  Micros next_save_ = 0;
  Micros clock_offset_ = 0;  // how far the runtime's clock was ahead of the core's at the last poll
  bool had_observations_ = false;
  std::set<core::ReplicaId> ejected_replicas_;  // ejected because of other routers' health reports
  core::Broker* core_ = nullptr;
  coordination::CoordinationRuntime* runtime_ = nullptr;
  std::unique_ptr<shared::SharedState> shared_state_;
  boost::asio::thread_pool disk_thread_{1};
};

}  // namespace flintglade::commands
