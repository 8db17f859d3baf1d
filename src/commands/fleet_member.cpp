#include "commands/fleet_member.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "log/log.h"

namespace flintglade::commands {
namespace {

core::Micros micros(bool is_set, double seconds, core::Micros default_value) {
  return is_set ? static_cast<core::Micros>(seconds * 1e6) : default_value;
}

std::string list_reader_job(const std::string& site) { return "list-reader@" + site; }

coordination::CoordinationRuntime::Settings settings(const deploy::Fleet& fleet,
                                                     const config::Config& config) {
  coordination::CoordinationRuntime::Settings runtime_settings;
  coordination::CoordinationSettings& protocol = runtime_settings.protocol;
  protocol.membership.fleet = fleet.name();
  protocol.membership.period = micros(fleet.has_period_s(), fleet.period_s(), protocol.membership.period);
  protocol.membership.timeout =
      micros(fleet.has_probe_timeout_s(), fleet.probe_timeout_s(), protocol.membership.timeout);
  protocol.membership.seeds.assign(fleet.seeds().begin(), fleet.seeds().end());
  if (fleet.has_most_routers()) protocol.membership.max_peers = fleet.most_routers();
  protocol.self.name = config.name;
  protocol.self.site = fleet.site();
  protocol.self.at = fleet.advertise();
  protocol.self.birth = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                                       std::chrono::system_clock::now().time_since_epoch())
                                                       .count());
  protocol.lease_times.duration = micros(fleet.has_lease_s(), fleet.lease_s(), protocol.lease_times.duration);
  protocol.lease_times.first_grant_delay = protocol.membership.period;
  if (fleet.has_election_s()) {
    protocol.raft_times.election_ms = static_cast<unsigned>(fleet.election_s() * 1e3);
    protocol.raft_times.heartbeat_ms = std::max(20u, protocol.raft_times.election_ms / 10);
  }
  for (const auto& voter : fleet.voters()) {
    protocol.voters.push_back({voter.router(), voter.id(), voter.at()});
    if (voter.router() != config.name) continue;
    runtime_settings.voter_id = voter.id();
    if (protocol.self.at.empty()) protocol.self.at = voter.at();
  }
  for (const std::string& site : fleet.list_readers()) protocol.jobs.push_back({list_reader_job(site), site});
  if (!fleet.shared().budgets().empty()) protocol.jobs.push_back({shared::kQuotaAllocatorLease, ""});
  config::parse_host_port(fleet.listen(), runtime_settings.listen);
  runtime_settings.directory = fleet.directory();
  runtime_settings.seed = config.seed;
  return runtime_settings;
}

}  // namespace

FleetMember::FleetMember(boost::asio::io_context& io, core::Clock& clock, discovery::Watch& watch,
                         const deploy::Fleet& fleet, const config::Config& config)
    : io_(io),
      clock_(clock),
      watch_(watch),
      job_(list_reader_job(fleet.site())),
      site_(fleet.site()),
      settings_(settings(fleet, config)),
      shared_state_(fleet.has_shared() ? std::make_unique<SharedStateBridge>(io, clock, fleet, config,
                                                                             settings_.protocol.self)
                                       : nullptr),
      timer_(io),
      runtime_((settings_.extension = shared_state_ ? shared_state_->extension() : nullptr, settings_),
               [this](const coordination::JobNotification& notification) {
                 boost::asio::post(io_, [this, notification] { on_notification(notification); });
               }) {
  if (std::find(fleet.list_readers().begin(), fleet.list_readers().end(), site_) ==
      fleet.list_readers().end())
    return;
  coordination::SharedEndpointList::Settings list_settings;
  list_settings.reader_timeout =
      micros(fleet.has_list_silence_s(), fleet.list_silence_s(), list_settings.reader_timeout);
  list_settings.fallback_jitter = list_settings.reader_timeout / 2;
  coordination::SharedEndpointList::Ports ports;
  ports.set_watch_open = [this](bool subscribed) { watch_.subscribe(subscribed); };
  ports.apply_line = [this](std::string_view text) { return watch_.feed(text); };
  ports.publish = [this](coordination::Effect effect) {
    effect.set_job(job_);
    runtime_.send_effect(std::move(effect), site_);
  };
  ports.send = [this](coordination::Effect effect, const std::string& to) {
    effect.set_job(job_);
    runtime_.send_effect(std::move(effect), site_, to);
  };
  ports.request_lines = [this](std::uint32_t revision) { runtime_.request_list(job_, revision); };
  ports.on_state_change = [](const char* state) {
    log::event(log::Level::info, "endpoint_list_reader", {{"as", state}});
  };
  shared_list_.emplace(clock, list_settings, std::move(ports),
                       config::host_port(config.discovery.host, config.discovery.port), config.seed);
  watch_.on_line([this](std::uint32_t previous_revision, std::uint32_t revision, std::string_view text) {
    shared_list_->on_watch_line(previous_revision, revision, text);
    arm_timer();
  });
}

core::EndpointList& FleetMember::endpoint_list() {
  return shared_list_ ? static_cast<core::EndpointList&>(*shared_list_) : watch_;
}

void FleetMember::start(core::Broker& core) {
  if (shared_list_) shared_list_->set_revision(watch_.version());
  if (shared_state_) shared_state_->restore();
  runtime_.start();
  if (!shared_state_) return;
  shared_state_->start(runtime_, core);
  core.share(shared_state_.get());
}

void FleetMember::set_discovery(const config::HostPort& discovery) {
  if (shared_list_) shared_list_->set_source(config::host_port(discovery.host, discovery.port));
  arm_timer();
}

void FleetMember::leave() {
  if (shared_state_) shared_state_->leave();
  runtime_.leave([] {});
}

void FleetMember::on_notification(const coordination::JobNotification& notification) {
  if (!shared_list_ || notification.job != job_) return;
  using Kind = coordination::JobNotification::Kind;
  switch (notification.kind) {
    case Kind::lease_acquired:
    case Kind::lease_released:
      shared_list_->set_reader(notification.kind == Kind::lease_acquired);
      break;
    case Kind::effect:
      shared_list_->on_effect(notification.effect);
      break;
    case Kind::list_requested:
      shared_list_->on_list_request(notification.revision, notification.sender_address);
      break;
    case Kind::shared_state:  // handled by the protocol extension
      break;
  }
  arm_timer();
}

void FleetMember::arm_timer() {
  if (!shared_list_) return;
  const core::Micros deadline = shared_list_->next_timer();
  if (deadline == core::kNever) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(std::chrono::microseconds(std::max<core::Micros>(0, deadline - clock_.now())));
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    shared_list_->tick();
    arm_timer();
  });
}

}  // namespace flintglade::commands
