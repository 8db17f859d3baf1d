#include "commands/fleet_member.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "log/log.h"

namespace flintglade::commands {
namespace {

core::Micros micros(bool set, double seconds, core::Micros usual) {
  return set ? static_cast<core::Micros>(seconds * 1e6) : usual;
}

std::string job_of(const std::string& site) { return "list-reader@" + site; }

coordination::CoordinationRuntime::Settings settings(const deploy::Fleet& file,
                                                     const config::Config& config) {
  coordination::CoordinationRuntime::Settings out;
  coordination::CoordinationSettings& protocol = out.protocol;
  protocol.membership.fleet = file.name();
  protocol.membership.period = micros(file.has_period_s(), file.period_s(), protocol.membership.period);
  protocol.membership.timeout =
      micros(file.has_probe_timeout_s(), file.probe_timeout_s(), protocol.membership.timeout);
  protocol.membership.seeds.assign(file.seeds().begin(), file.seeds().end());
  if (file.has_most_routers()) protocol.membership.max_peers = file.most_routers();
  protocol.self.name = config.name;
  protocol.self.site = file.site();
  protocol.self.at = file.advertise();
  protocol.self.birth = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                                       std::chrono::system_clock::now().time_since_epoch())
                                                       .count());
  protocol.lease_times.duration = micros(file.has_lease_s(), file.lease_s(), protocol.lease_times.duration);
  protocol.lease_times.first_grant_delay = protocol.membership.period;
  if (file.has_election_s()) {
    protocol.raft_times.election_ms = static_cast<unsigned>(file.election_s() * 1e3);
    protocol.raft_times.heartbeat_ms = std::max(20u, protocol.raft_times.election_ms / 10);
  }
  for (const auto& v : file.voters()) {
    protocol.voters.push_back({v.router(), v.id(), v.at()});
    if (v.router() != config.name) continue;
    out.voter_id = v.id();
    if (protocol.self.at.empty()) protocol.self.at = v.at();
  }
  for (const std::string& site : file.list_readers()) protocol.jobs.push_back({job_of(site), site});
  if (!file.shared().budgets().empty()) protocol.jobs.push_back({shared::kQuotaAllocatorLease, ""});
  config::parse_host_port(file.listen(), out.listen);
  out.directory = file.directory();
  out.seed = config.seed;
  return out;
}

}  // namespace

FleetMember::FleetMember(boost::asio::io_context& io, core::Clock& clock, discovery::Watch& watch,
                         const deploy::Fleet& file, const config::Config& config)
    : io_(io),
      clock_(clock),
      watch_(watch),
      job_(job_of(file.site())),
      site_(file.site()),
      settings_(settings(file, config)),
      shares_(file.has_shared()
                  ? std::make_unique<SharedStateBridge>(io, clock, file, config, settings_.protocol.self)
                  : nullptr),
      alarm_(io),
      member_((settings_.extension = shares_ ? shares_->extension() : nullptr, settings_),
              [this](const coordination::JobNotification& notification) {
                boost::asio::post(io_, [this, notification] { take(notification); });
              }) {
  if (std::find(file.list_readers().begin(), file.list_readers().end(), site_) == file.list_readers().end())
    return;
  coordination::SharedEndpointList::Settings set;
  set.reader_timeout = micros(file.has_list_silence_s(), file.list_silence_s(), set.reader_timeout);
  set.fallback_jitter = set.reader_timeout / 2;
  coordination::SharedEndpointList::Ports ports;
  ports.set_watch_open = [this](bool on) { watch_.subscribe(on); };
  ports.apply_line = [this](std::string_view text) { return watch_.feed(text); };
  ports.publish = [this](coordination::Effect e) {
    e.set_job(job_);
    member_.send_effect(std::move(e), site_);
  };
  ports.send = [this](coordination::Effect e, const std::string& to) {
    e.set_job(job_);
    member_.send_effect(std::move(e), site_, to);
  };
  ports.request_lines = [this](std::uint32_t rev) { member_.request_list(job_, rev); };
  ports.on_state_change = [](const char* state) {
    log::event(log::Level::info, "endpoint_list_reader", {{"as", state}});
  };
  shared_.emplace(clock, set, std::move(ports),
                  config::host_port(config.discovery.host, config.discovery.port), config.seed);
  watch_.on_line([this](std::uint32_t after, std::uint32_t rev, std::string_view text) {
    shared_->on_watch_line(after, rev, text);
    arm();
  });
}

core::EndpointList& FleetMember::list() {
  return shared_ ? static_cast<core::EndpointList&>(*shared_) : watch_;
}

void FleetMember::start(core::Broker& core) {
  if (shared_) shared_->set_revision(watch_.version());
  if (shares_) shares_->restore();
  member_.start();
  if (!shares_) return;
  shares_->start(member_, core);
  core.share(shares_.get());
}

void FleetMember::moved(const config::HostPort& discovery) {
  if (shared_) shared_->set_source(config::host_port(discovery.host, discovery.port));
  arm();
}

void FleetMember::leave() {
  if (shares_) shares_->leave();
  member_.leave([] {});
}

void FleetMember::take(const coordination::JobNotification& notification) {
  if (!shared_ || notification.job != job_) return;
  using Kind = coordination::JobNotification::Kind;
  switch (notification.kind) {
    case Kind::lease_acquired:
    case Kind::lease_released:
      shared_->set_reader(notification.kind == Kind::lease_acquired);
      break;
    case Kind::effect:
      shared_->on_effect(notification.effect);
      break;
    case Kind::list_requested:
      shared_->on_list_request(notification.revision, notification.sender_address);
      break;
    case Kind::shared_state:  // the protocol's extension takes it
      break;
  }
  arm();
}

void FleetMember::arm() {
  if (!shared_) return;
  const core::Micros at = shared_->next_timer();
  if (at == core::kNever) {
    alarm_.cancel();
    return;
  }
  alarm_.expires_after(std::chrono::microseconds(std::max<core::Micros>(0, at - clock_.now())));
  alarm_.async_wait([this](boost::system::error_code ec) {
    if (ec) return;
    shared_->tick();
    arm();
  });
}

}  // namespace flintglade::commands
