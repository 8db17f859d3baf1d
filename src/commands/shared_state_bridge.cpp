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
constexpr std::chrono::milliseconds kLook{50};
constexpr Micros kSeenAgain = core::kSecond, kSaveEvery = 2 * core::kSecond;
constexpr std::size_t kLargestSnapshot = 16u << 20;

Micros unix_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

shared::Amount amount(double of) { return static_cast<shared::Amount>(of * shared::kOne); }
Micros micros(double seconds) { return static_cast<Micros>(seconds * 1e6); }

shared::Settings settings(const deploy::Fleet& fleet) {
  const deploy::Shared& file = fleet.shared();
  shared::Settings out;
  const Micros part = file.has_part_s() ? micros(file.part_s()) : 2 * core::kSecond;
  for (const auto& b : file.budgets()) {
    shared::Budget& to = out.budgets.emplace_back();
    to.name = b.name();
    to.team = b.team();
    to.tokens = b.unit() == deploy::Budget::TOKENS;
    to.refuse = b.beyond() == deploy::Budget::REFUSE;
    to.per_s = amount(b.per_s());
    to.burst = amount(b.burst());
    to.whole = amount(b.whole());
    to.window = b.has_window_s() ? micros(b.window_s()) : 0;
    if (b.has_aside()) to.aside = b.aside();
    to.routers = file.routers();
    to.valid = part;
  }
  out.counts = file.counts();
  if (file.has_most_per_s()) out.most_per_s = file.most_per_s();
  if (file.has_most_delay_s()) out.most_delay = micros(file.most_delay_s());
  out.hearsay = file.has_hearsay();
  const auto& h = file.hearsay();
  if (h.has_witnesses()) out.witnesses = h.witnesses();
  if (h.has_keep_s()) out.keep = micros(h.keep_s());
  if (h.has_most_part()) out.most_part = h.most_part();
  // At the pace at which the routers look after one another.
  out.seal = out.compare = fleet.has_period_s() ? micros(fleet.period_s()) : core::kSecond;
  out.gossip = out.seal / 5;
  return out;
}

std::string contents(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::string out(kLargestSnapshot + 1, '\0');
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
      unknown_.push_back(b.team);
  }
  // What the member's side has for us, on its thread.
  shared::SharedState::Ports ports;
  ports.unix_time = unix_now;
  ports.parcel = [this](const coordination::QuotaLease& p) {
    asio::post(io_, [this, p] { quota_holder_.parcel(wallet_time(clock_.now()), p); });
  };
  ports.lend = [this](const std::string& who, const coordination::QuotaRequest& ask) {
    asio::post(io_, [this, who, ask] {
      const auto parcel = quota_holder_.lend(wallet_time(clock_.now()), who, ask);
      if (!parcel || member_ == nullptr) return;
      member_->with_protocol([this, who, p = *parcel](Micros now, coordination::CoordinationProtocol& agent) {
        shared_state_->lent(now, agent, who, p);
      });
    });
  };
  ports.opinions = [this](std::vector<shared::ReplicaHealthSummary> opinions, std::size_t routers,
                          std::size_t sites) {
    asio::post(io_, [this, opinions = std::move(opinions), routers, sites]() mutable {
      heard(std::move(opinions), routers, sites);
    });
  };
  shared_state_ =
      std::make_unique<shared::SharedState>(settings_, std::move(ports), self, config.seed ^ self.birth);
}

void SharedStateBridge::restore() {
  if (snapshot_.empty()) return;
  const std::string bytes = contents(snapshot_);
  const std::string why = bytes.size() > kLargestSnapshot
                              ? "it is too large"
                              : shared_state_->restore(coordination::CoordinationRuntime::now(), bytes);
  if (!why.empty())
    log::event(Level::warn, "shared_counters_rejected",
               {{"file", snapshot_}, {"why", why}, {"starts", "without"}});
}

void SharedStateBridge::start(coordination::CoordinationRuntime& member, core::Broker& core) {
  member_ = &member;
  core_ = &core;
  for (const std::string& team : unknown_)
    log::event(Level::warn, "quota_without_tenant",
               {{"team", team}, {"why", "the settings name no such tenant"}});
  look();
}

// ---- the serving path

SharedStateBridge::QuotaDecision SharedStateBridge::check_quota(Micros now, const core::Request& rpc) {
  const auto tokens = static_cast<shared::Amount>((rpc.prompt_tokens + rpc.output_cap) * shared::kOne);
  const shared::QuotaHolder::Spent spent =
      quota_holder_.spend(wallet_time(now), rpc.tenant, std::min(tokens, shared::kMostAmount));
  switch (spent.verdict) {
    case shared::QuotaHolder::Verdict::unlimited:
      return {};
    case shared::QuotaHolder::Verdict::within:
      return {QuotaStatus::within, 0};
    case shared::QuotaHolder::Verdict::last:
      return {QuotaStatus::over, 0};
    case shared::QuotaHolder::Verdict::refused:
      break;
  }
  return {QuotaStatus::refused, spent.again};
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

void SharedStateBridge::ask(Micros now) {
  auto questions = quota_holder_.questions(wallet_time(now));
  auto returns = quota_holder_.returns();
  if (questions.empty() && returns.empty()) return;
  member_->with_protocol([this, questions = std::move(questions), returns = std::move(returns)](
                             Micros t, coordination::CoordinationProtocol& agent) {
    for (const auto& q : questions) shared_state_->ask(t, agent, q.ask, q.to_peer);
    for (const auto& r : returns) shared_state_->give_back(t, agent, r);
  });
}

void SharedStateBridge::tell(Micros now) {
  const bool save_now = !snapshot_.empty() && now >= next_save_;
  if (save_now) next_save_ = now + kSaveEvery;
  next_tell_ = now + settings_.seal;
  coordination::SharedStatus status;
  quota_holder_.status(wallet_time(now), status);
  member_->with_protocol([this, counts = counts(), status, avoided = avoided_, save_now](
                             Micros t, coordination::CoordinationProtocol&) {
    shared_state_->counted(t, counts);
    shared_state_->core_says(status, avoided);
    if (save_now) save(shared_state_->snapshot(t));
  });
}

void SharedStateBridge::save(std::string bytes) {
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

void SharedStateBridge::look() {
  const Micros now = clock_.now();
  slept_ = coordination::CoordinationRuntime::now() - now;
  ask(now);
  if (now >= next_tell_) tell(now);
  if (settings_.hearsay) {
    const bool changed = health_observer_.changed();
    if (changed || (had_cases_ && now >= next_seen_)) {
      auto cases = health_observer_.cases(now);
      next_seen_ = now + kSeenAgain;
      had_cases_ = !cases.empty();
      member_->with_protocol([this, cases = std::move(cases)](Micros t, coordination::CoordinationProtocol&) {
        shared_state_->saw(t, cases);
      });
    }
  }
  alarm_.expires_after(kLook);
  alarm_.async_wait([this](boost::system::error_code ec) {
    if (!ec) look();
  });
}

void SharedStateBridge::heard(std::vector<shared::ReplicaHealthSummary> opinions, std::size_t routers,
                              std::size_t sites) {
  const auto ready = core_->ready_replicas();
  std::set<core::ReplicaId> avoided;
  for (const auto& w : ejection_policy_.act(clock_.now(), opinions, {ready.begin(), ready.end()},
                                            health_observer_, routers, sites)) {
    core_->on_health_warning(w.replica, w.span);
    avoided.insert(w.replica);
    if (avoided_.count(w.replica) == 0)
      log::event(Level::info, "replica_avoided_by_gossip", {{"replica", w.replica}, {"for_us", w.span}});
  }
  avoided_ = std::move(avoided);
}

void SharedStateBridge::leave() {
  quota_holder_.give_back_all();
  ask(clock_.now());
  tell(clock_.now());
  alarm_.cancel();
}

}  // namespace flintglade::commands
