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

shared::Amount amount(double of) { return static_cast<shared::Amount>(of * shared::kUnit); }
Micros micros(double seconds) { return static_cast<Micros>(seconds * 1e6); }

shared::Settings settings(const deploy::Fleet& fleet) {
  const deploy::Shared& file = fleet.shared();
  shared::Settings out;
  const Micros lease = file.has_part_s() ? micros(file.part_s()) : 2 * core::kSecond;
  for (const auto& b : file.budgets()) {
    shared::Budget& to = out.budgets.emplace_back();
    to.name = b.name();
    to.team = b.team();
    to.tokens = b.unit() == deploy::Budget::TOKENS;
    to.reject_over_quota = b.beyond() == deploy::Budget::REFUSE;
    to.per_s = amount(b.per_s());
    to.burst = amount(b.burst());
    to.window_total = amount(b.whole());
    to.window = b.has_window_s() ? micros(b.window_s()) : 0;
    if (b.has_aside()) to.reserved_share = b.aside();
    to.routers = file.routers();
    to.max_lease = lease;
  }
  out.counts = file.counts();
  if (file.has_most_per_s()) out.max_requests_per_s = file.most_per_s();
  if (file.has_most_delay_s()) out.max_delay = micros(file.most_delay_s());
  out.health_gossip = file.has_hearsay();
  const auto& h = file.hearsay();
  if (h.has_witnesses()) out.min_reporters = h.witnesses();
  if (h.has_keep_s()) out.observation_ttl = micros(h.keep_s());
  if (h.has_most_part()) out.max_ejected_share = h.most_part();
  // At the pace at which the routers look after one another.
  out.seal = out.compare = fleet.has_period_s() ? micros(fleet.period_s()) : core::kSecond;
  out.gossip = out.seal / 5;
  return out;
}

std::string contents(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::string out(kMaxSnapshotBytes + 1, '\0');
  in.read(out.data(), static_cast<std::streamsize>(out.size()));
  out.resize(static_cast<std::size_t>(in.gcount()));
  return out;
}

}  // namespace

SharedStateBridge::SharedStateBridge(asio::io_context& io, core::Clock& clock, const deploy::Fleet& file,
                                     const config::Config& config, const membership::Self& self)
    : io_(io),
      clock_(clock),
      config_(config),
      settings_(settings(file)),
      snapshot_(file.shared().snapshot()),
      quota_holder_(settings_.budgets, config.tenants, self.birth, coordination::CoordinationRuntime::now()),
      health_observer_(settings_),
      ejection_policy_(settings_),
      counts_((config.tenants.size() + 1) * std::max<std::size_t>(1, config.classes.size())),
      alarm_(io) {
  for (const auto& b : settings_.budgets) {
    if (std::find(config.tenants.begin(), config.tenants.end(), b.team) == config.tenants.end())
      unknown_teams_.push_back(b.team);
  }
  // What the member's side has for us, on its thread.
  shared::SharedState::Ports ports;
  ports.unix_time = unix_now;
  ports.on_lease = [this](const coordination::QuotaLease& p) {
    asio::post(io_, [this, p] { quota_holder_.on_lease(quota_time(clock_.now()), p); });
  };
  ports.lend = [this](const std::string& who, const coordination::QuotaRequest& ask) {
    asio::post(io_, [this, who, ask] {
      const auto parcel = quota_holder_.lend(quota_time(clock_.now()), ask);
      if (!parcel || member_ == nullptr) return;
      member_->with_protocol([this, who, p = *parcel](Micros now, coordination::CoordinationProtocol& agent) {
        shared_state_->send_lease(now, agent, who, p);
      });
    });
  };
  ports.on_health_summaries = [this](std::vector<shared::ReplicaHealthSummary> summaries,
                                     shared::FleetSize fleet) {
    asio::post(io_,
               [this, summaries = std::move(summaries), fleet] { on_health_summaries(summaries, fleet); });
  };
  shared_state_ =
      std::make_unique<shared::SharedState>(settings_, std::move(ports), self, config.seed ^ self.birth);
}

void SharedStateBridge::restore() {
  if (snapshot_.empty()) return;
  const std::string bytes = contents(snapshot_);
  const absl::Status restored = bytes.size() > kMaxSnapshotBytes
                                    ? absl::ResourceExhaustedError("it is too large")
                                    : shared_state_->restore(coordination::CoordinationRuntime::now(), bytes);
  if (!restored.ok()) {
    log::event(Level::warn, "shared_counters_rejected",
               {{"file", snapshot_}, {"why", std::string(restored.message())}, {"starts", "without"}});
  }
}

void SharedStateBridge::start(coordination::CoordinationRuntime& member, core::Broker& core) {
  member_ = &member;
  core_ = &core;
  for (const std::string& team : unknown_teams_)
    log::event(Level::warn, "quota_without_tenant",
               {{"team", team}, {"why", "the settings name no such tenant"}});
  poll();
}

// ---- the serving path

SharedStateBridge::QuotaDecision SharedStateBridge::check_quota(Micros now, const core::Request& rpc) {
  const auto tokens = static_cast<shared::Amount>((rpc.prompt_tokens + rpc.output_cap) * shared::kUnit);
  const shared::QuotaHolder::Decision decision =
      quota_holder_.spend(quota_time(now), rpc.tenant, std::min(tokens, shared::kMaxAmount));
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

void SharedStateBridge::on_request_finished(const core::Request& rpc, RequestOutcome outcome) {
  const std::size_t classes = std::max<std::size_t>(1, config_.classes.size());
  const std::size_t team = std::min<std::size_t>(rpc.tenant, config_.tenants.size());
  const std::size_t request_class = std::min<std::size_t>(rpc.request_class, classes - 1);
  coordination::RequestCounts& c = counts_[team * classes + request_class];
  if (outcome == RequestOutcome::refused) return c.set_refused(c.refused() + 1);
  if (outcome == RequestOutcome::failed) return c.set_failed(c.failed() + 1);
  c.set_served(c.served() + 1);
  c.set_tokens(c.tokens() + static_cast<std::uint64_t>(std::max(0.0, rpc.prompt_tokens + rpc.output_cap)));
  if (request_class < config_.module.classes.size())
    c.set_worth(c.worth() +
                static_cast<std::uint64_t>(1000.0 * config_.module.classes[request_class].priority_weight));
}

// ---- between the two threads

shared::ReplicatedCounter::Counts SharedStateBridge::counts() const {
  shared::ReplicatedCounter::Counts out;
  const std::size_t classes = std::max<std::size_t>(1, config_.classes.size());
  for (std::size_t i = 0; i < counts_.size(); ++i) {
    const coordination::RequestCounts& c = counts_[i];
    if (c.served() + c.refused() + c.failed() == 0) continue;
    const std::size_t team = i / classes;
    out[{team < config_.tenants.size() ? config_.tenants[team] : "",
         i % classes < config_.classes.size() ? config_.classes[i % classes] : ""}] = c;
  }
  return out;
}

void SharedStateBridge::send_requests(Micros now) {
  auto questions = quota_holder_.due_requests(quota_time(now));
  auto returns = quota_holder_.take_returns();
  if (questions.empty() && returns.empty()) return;
  member_->with_protocol([this, questions = std::move(questions), returns = std::move(returns)](
                             Micros t, coordination::CoordinationProtocol& agent) {
    for (const auto& q : questions) shared_state_->request_lease(t, agent, q.request, q.to_peer);
    for (const auto& r : returns) shared_state_->return_lease(t, agent, r);
  });
}

void SharedStateBridge::send_counts(Micros now) {
  const bool save_now = !snapshot_.empty() && now >= next_save_;
  if (save_now) next_save_ = now + kSavePeriod;
  next_counts_ = now + settings_.seal;
  coordination::SharedStatus status;
  quota_holder_.status(quota_time(now), status);
  member_->with_protocol([this, counts = counts(), status, avoided = avoided_, save_now](
                             Micros t, coordination::CoordinationProtocol&) {
    shared_state_->on_counts(t, counts);
    shared_state_->on_core_status(status, avoided);
    if (save_now) save_counters(shared_state_->snapshot(t));
  });
}

void SharedStateBridge::save_counters(std::string bytes) {
  // A disk may be slow, and the member's thread renews leases.
  asio::post(disk_, [path = snapshot_, bytes = std::move(bytes)] {
    const std::string draft = path + ".draft";
    bool good = false;
    {
      std::ofstream out(draft, std::ios::binary | std::ios::trunc);
      out.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
      out.flush();
      good = out.good();
    }
    if (!good || std::rename(draft.c_str(), path.c_str()) != 0)
      log::event(Level::warn, "shared_counters_save_failed", {{"file", path}});
  });
}

void SharedStateBridge::send_observations(Micros now) {
  const bool changed = health_observer_.take_changed();
  if (!changed && (!had_observations_ || now < next_observations_)) return;
  auto observations = health_observer_.observations(now);
  next_observations_ = now + kObservationsPeriod;
  had_observations_ = !observations.empty();
  member_->with_protocol(
      [this, observations = std::move(observations)](Micros t, coordination::CoordinationProtocol&) {
        shared_state_->on_observations(t, observations);
      });
}

void SharedStateBridge::poll() {
  const Micros now = clock_.now();
  slept_ = coordination::CoordinationRuntime::now() - now;
  send_requests(now);
  if (now >= next_counts_) send_counts(now);
  if (settings_.health_gossip) send_observations(now);
  alarm_.expires_after(kPollPeriod);
  alarm_.async_wait([this](boost::system::error_code ec) {
    if (!ec) poll();
  });
}

void SharedStateBridge::on_health_summaries(const std::vector<shared::ReplicaHealthSummary>& summaries,
                                            shared::FleetSize fleet) {
  const auto ready = core_->ready_replicas();
  std::set<core::ReplicaId> avoided;
  for (const auto& ejection : ejection_policy_.ejections(
           clock_.now(), summaries, {ready.begin(), ready.end()}, health_observer_, fleet)) {
    core_->on_health_warning(ejection.replica, ejection.span);
    avoided.insert(ejection.replica);
    if (avoided_.count(ejection.replica) == 0) {
      log::event(Level::info, "replica_avoided_by_gossip",
                 {{"replica", ejection.replica}, {"for_us", ejection.span}});
    }
  }
  avoided_ = std::move(avoided);
}

void SharedStateBridge::leave() {
  quota_holder_.return_all();
  send_requests(clock_.now());
  send_counts(clock_.now());
  alarm_.cancel();
}

}  // namespace flintglade::commands
