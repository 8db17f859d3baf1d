#include "commands/shared_state_bridge.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <utility>

#include "log/log.h"

namespace flintglade::commands {

namespace asio = boost::asio;
using log::Level;

namespace {
constexpr std::chrono::milliseconds kPollPeriod{50};
constexpr Micros kObservationsPeriod = core::kSecond, kSavePeriod = 2 * core::kSecond;
constexpr std::size_t kMaxSnapshotBytes = 16u << 20;

Micros unix_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

shared::Amount amount(double value) { return static_cast<shared::Amount>(value * shared::kUnit); }
Micros micros(double seconds) { return static_cast<Micros>(seconds * 1e6); }

shared::Settings settings(const deploy::Fleet& fleet) {
  const deploy::Shared& file = fleet.shared();
  shared::Settings out;
  const Micros max_lease = file.has_part_s() ? micros(file.part_s()) : 2 * core::kSecond;
  for (const auto& configured : file.budgets()) {
    shared::Budget& budget = out.budgets.emplace_back();
    budget.name = configured.name();
    budget.team = configured.team();
    budget.tokens = configured.unit() == deploy::Budget::TOKENS;
    budget.reject_over_quota = configured.beyond() == deploy::Budget::REFUSE;
    budget.per_s = amount(configured.per_s());
    budget.burst = amount(configured.burst());
    budget.window_total = amount(configured.whole());
    budget.window = configured.has_window_s() ? micros(configured.window_s()) : 0;
    if (configured.has_aside()) budget.reserved_share = configured.aside();
    budget.routers = file.routers();
    budget.max_lease = max_lease;
  }
  out.counts = file.counts();
  if (file.has_most_per_s()) out.max_requests_per_s = file.most_per_s();
  if (file.has_most_delay_s()) out.max_delay = micros(file.most_delay_s());
  out.health_gossip = file.has_hearsay();
  const auto& gossip = file.hearsay();
  if (gossip.has_witnesses()) out.min_reporters = gossip.witnesses();
  if (gossip.has_keep_s()) out.observation_ttl = micros(gossip.keep_s());
  if (gossip.has_most_part()) out.max_ejected_share = gossip.most_part();
  // The same period as that of the membership probes.
  out.seal = out.compare = fleet.has_period_s() ? micros(fleet.period_s()) : core::kSecond;
  out.gossip = out.seal / 5;
  return out;
}

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::string out(kMaxSnapshotBytes + 1, '\0');
  in.read(out.data(), static_cast<std::streamsize>(out.size()));
  out.resize(static_cast<std::size_t>(in.gcount()));
  return out;
}

}  // namespace

SharedStateBridge::SharedStateBridge(asio::io_context& io, core::Clock& clock, const deploy::Fleet& fleet,
                                     const config::Config& config, const membership::Self& self)
    : io_(io),
      clock_(clock),
      config_(config),
      settings_(settings(fleet)),
      snapshot_path_(fleet.shared().snapshot()),
      quota_holder_(settings_.budgets, config.tenants, self.birth, coordination::CoordinationRuntime::now()),
      health_observer_(settings_),
      ejection_policy_(settings_),
      counts_((config.tenants.size() + 1) * std::max<std::size_t>(1, config.classes.size())),
      poll_timer_(io) {
  for (const auto& budget : settings_.budgets) {
    if (std::find(config.tenants.begin(), config.tenants.end(), budget.team) == config.tenants.end())
      unknown_teams_.push_back(budget.team);
  }
  // Called on the coordination runtime's thread.
  shared::SharedState::Ports ports;
  ports.unix_time = unix_now;
  ports.on_lease = [this](const coordination::QuotaLease& lease) {
    asio::post(io_, [this, lease] { quota_holder_.on_lease(quota_time(clock_.now()), lease); });
  };
  ports.lend = [this](const std::string& router, const coordination::QuotaRequest& request) {
    asio::post(io_, [this, router, request] {
      const auto lease = quota_holder_.lend(quota_time(clock_.now()), request);
      if (!lease || runtime_ == nullptr) return;
      runtime_->with_protocol(
          [this, router, lease = *lease](Micros now, coordination::CoordinationProtocol& protocol) {
            shared_state_->send_lease(now, protocol, router, lease);
          });
    });
  };
  ports.on_health_summaries = [this](std::vector<shared::ReplicaHealthSummary> summaries,
                                     shared::FleetSize fleet_size) {
    asio::post(io_, [this, summaries = std::move(summaries), fleet_size] {
      on_health_summaries(summaries, fleet_size);
    });
  };
  shared_state_ =
      std::make_unique<shared::SharedState>(settings_, std::move(ports), self, config.seed ^ self.birth);
}

void SharedStateBridge::restore() {
  if (snapshot_path_.empty()) return;
  const std::string bytes = read_file(snapshot_path_);
  const absl::Status restored =
      bytes.size() > kMaxSnapshotBytes
          ? absl::ResourceExhaustedError("the file is larger than " + std::to_string(kMaxSnapshotBytes) +
                                         " bytes")
          : shared_state_->restore(coordination::CoordinationRuntime::now(), bytes);
  if (!restored.ok()) {
    log::event(Level::warn, "shared_counters_rejected",
               {{"file", snapshot_path_}, {"why", std::string(restored.message())}, {"starts", "without"}});
  }
}

void SharedStateBridge::start(coordination::CoordinationRuntime& runtime, core::Broker& core) {
  runtime_ = &runtime;
  core_ = &core;
  for (const std::string& team : unknown_teams_)
    log::event(Level::warn, "quota_without_tenant",
               {{"team", team}, {"why", "the team of a budget is not among the tenants of the settings"}});
  poll();
}

// ---- on the serving path

SharedStateBridge::QuotaDecision SharedStateBridge::check_quota(Micros now, const core::Request& request) {
  const auto tokens =
      static_cast<shared::Amount>((request.prompt_tokens + request.output_cap) * shared::kUnit);
  const shared::QuotaHolder::Decision decision =
      quota_holder_.spend(quota_time(now), request.tenant, std::min(tokens, shared::kMaxAmount));
  switch (decision.verdict) {
    case shared::QuotaHolder::Verdict::unlimited:
      return {};
    case shared::QuotaHolder::Verdict::within:
      return {QuotaStatus::within, 0};
    case shared::QuotaHolder::Verdict::over_quota:
      return {QuotaStatus::over, 0};
    case shared::QuotaHolder::Verdict::rejected:
      break;
  }
  return {QuotaStatus::refused, decision.retry_after};
}

void SharedStateBridge::on_request_finished(const core::Request& request, RequestOutcome outcome) {
  const std::size_t class_count = std::max<std::size_t>(1, config_.classes.size());
  const std::size_t team = std::min<std::size_t>(request.tenant, config_.tenants.size());
  const std::size_t request_class = std::min<std::size_t>(request.request_class, class_count - 1);
  coordination::RequestCounts& counts = counts_[team * class_count + request_class];
  if (outcome == RequestOutcome::refused) return counts.set_refused(counts.refused() + 1);
  if (outcome == RequestOutcome::failed) return counts.set_failed(counts.failed() + 1);
  counts.set_served(counts.served() + 1);
  counts.set_tokens(counts.tokens() +
                    static_cast<std::uint64_t>(std::max(0.0, request.prompt_tokens + request.output_cap)));
  if (request_class < config_.module.classes.size())
    counts.set_worth(counts.worth() + static_cast<std::uint64_t>(
                                          1000.0 * config_.module.classes[request_class].priority_weight));
}

// ---- between the two threads

shared::ReplicatedCounter::Counts SharedStateBridge::counts() const {
  shared::ReplicatedCounter::Counts out;
  const std::size_t class_count = std::max<std::size_t>(1, config_.classes.size());
  for (std::size_t i = 0; i < counts_.size(); ++i) {
    const coordination::RequestCounts& counts = counts_[i];
    if (counts.served() + counts.refused() + counts.failed() == 0) continue;
    const std::size_t team = i / class_count;
    out[{team < config_.tenants.size() ? config_.tenants[team] : "",
         i % class_count < config_.classes.size() ? config_.classes[i % class_count] : ""}] = counts;
  }
  return out;
}

void SharedStateBridge::send_requests(Micros now) {
  auto requests = quota_holder_.due_requests(quota_time(now));
  auto returns = quota_holder_.take_returns();
  if (requests.empty() && returns.empty()) return;
  runtime_->with_protocol([this, requests = std::move(requests), returns = std::move(returns)](
                              Micros protocol_now, coordination::CoordinationProtocol& protocol) {
    for (const auto& request : requests)
      shared_state_->request_lease(protocol_now, protocol, request.request, request.to_peer);
    for (const auto& lease : returns) shared_state_->return_lease(protocol_now, protocol, lease);
  });
}

void SharedStateBridge::send_counts(Micros now) {
  const bool save_due = !snapshot_path_.empty() && now >= next_save_;
  if (save_due) next_save_ = now + kSavePeriod;
  next_counts_ = now + settings_.seal;
  coordination::SharedStatus status;
  quota_holder_.status(quota_time(now), status);
  runtime_->with_protocol([this, counts = counts(), status, ejected = ejected_replicas_, save_due](
                              Micros protocol_now, coordination::CoordinationProtocol&) {
    shared_state_->on_counts(protocol_now, counts);
    shared_state_->on_core_status(status, ejected);
    if (save_due) save_counters(shared_state_->snapshot(protocol_now));
  });
}

void SharedStateBridge::save_counters(std::string bytes) {
  // On a thread of its own, because a disk may be slow and the coordination runtime's thread must renew
  // leases in time.
  asio::post(disk_thread_, [path = snapshot_path_, bytes = std::move(bytes)] {
    const std::string temporary_path = path + ".draft";
    bool written = false;
    {
      std::ofstream out(temporary_path, std::ios::binary | std::ios::trunc);
      out.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
      out.flush();
      written = out.good();
    }
    if (!written || std::rename(temporary_path.c_str(), path.c_str()) != 0)
      log::event(Level::warn, "shared_counters_save_failed", {{"file", path}});
  });
}

void SharedStateBridge::send_observations(Micros now) {
  const bool changed = health_observer_.take_changed();
  if (!changed && (!had_observations_ || now < next_observations_)) return;
  auto observations = health_observer_.observations(now);
  next_observations_ = now + kObservationsPeriod;
  had_observations_ = !observations.empty();
  runtime_->with_protocol([this, observations = std::move(observations)](
                              Micros protocol_now, coordination::CoordinationProtocol&) {
    shared_state_->on_observations(protocol_now, observations);
  });
}

void SharedStateBridge::poll() {
  const Micros now = clock_.now();
  clock_offset_ = coordination::CoordinationRuntime::now() - now;
  send_requests(now);
  if (now >= next_counts_) send_counts(now);
  if (settings_.health_gossip) send_observations(now);
  poll_timer_.expires_after(kPollPeriod);
  poll_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) poll();
  });
}

void SharedStateBridge::on_health_summaries(const std::vector<shared::ReplicaHealthSummary>& summaries,
                                            shared::FleetSize fleet_size) {
  const auto ready = core_->ready_replicas();
  std::set<core::ReplicaId> ejected;
  for (const auto& ejection : ejection_policy_.ejections(
           clock_.now(), summaries, {ready.begin(), ready.end()}, health_observer_, fleet_size)) {
    core_->on_health_warning(ejection.replica, ejection.span);
    ejected.insert(ejection.replica);
    if (ejected_replicas_.count(ejection.replica) == 0) {
      log::event(Level::info, "replica_avoided_by_gossip",
                 {{"replica", ejection.replica}, {"for_us", ejection.span}});
    }
  }
  ejected_replicas_ = std::move(ejected);
}

void SharedStateBridge::leave() {
  quota_holder_.return_all();
  send_requests(clock_.now());
  send_counts(clock_.now());
  poll_timer_.cancel();
}

}  // namespace flintglade::commands
