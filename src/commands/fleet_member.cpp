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
  coordination::CoordinationSettings& a = out.agent;
  a.peers.fleet = file.name();
  a.peers.period = micros(file.has_period_s(), file.period_s(), a.peers.period);
  a.peers.timeout = micros(file.has_probe_timeout_s(), file.probe_timeout_s(), a.peers.timeout);
  a.peers.seeds.assign(file.seeds().begin(), file.seeds().end());
  if (file.has_most_routers()) a.peers.most_peers = file.most_routers();
  a.self.name = config.name;
  a.self.site = file.site();
  a.self.at = file.advertise();
  a.self.birth = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                                std::chrono::system_clock::now().time_since_epoch())
                                                .count());
  a.lease.lease = micros(file.has_lease_s(), file.lease_s(), a.lease.lease);
  a.lease.settle = a.peers.period;
  if (file.has_election_s()) {
    a.node.election_ms = static_cast<unsigned>(file.election_s() * 1e3);
    a.node.heartbeat_ms = std::max(20u, a.node.election_ms / 10);
  }
  for (const auto& v : file.voters()) {
    a.voters.push_back({v.router(), v.id(), v.at()});
    if (v.router() != config.name) continue;
    out.voter_id = v.id();
    if (a.self.at.empty()) a.self.at = v.at();
  }
  for (const std::string& site : file.list_readers()) a.wanted.push_back({job_of(site), site});
  if (!file.shared().budgets().empty()) a.wanted.push_back({shared::kQuotaAllocatorLease, ""});
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
                  ? std::make_unique<SharedStateBridge>(io, clock, file, config, settings_.agent.self)
                  : nullptr),
      alarm_(io),
      member_((settings_.companion = shares_ ? shares_->companion() : nullptr, settings_),
              [this](const coordination::CoordinationProtocol::Word& w) {
                boost::asio::post(io_, [this, w] { take(w); });
              }) {
  if (std::find(file.list_readers().begin(), file.list_readers().end(), site_) == file.list_readers().end())
    return;
  coordination::SharedEndpointList::Settings set;
  set.silence = micros(file.has_list_silence_s(), file.list_silence_s(), set.silence);
  set.spread = set.silence / 2;
  coordination::SharedEndpointList::Ports ports;
  ports.watch = [this](bool on) { watch_.subscribe(on); };
  ports.feed = [this](std::string_view text) { return watch_.feed(text); };
  ports.publish = [this](coordination::Effect e) {
    e.set_job(job_);
    member_.effect(std::move(e), site_);
  };
  ports.send = [this](coordination::Effect e, const std::string& to) {
    e.set_job(job_);
    member_.effect(std::move(e), site_, to);
  };
  ports.want = [this](std::uint32_t rev) { member_.want(job_, rev); };
  ports.changed = [](const char* state) {
    log::event(log::Level::info, "endpoint_list_reader", {{"as", state}});
  };
  shared_.emplace(clock, set, std::move(ports),
                  config::host_port(config.discovery.host, config.discovery.port), config.seed);
  watch_.on_line([this](std::uint32_t after, std::uint32_t rev, std::string_view text) {
    shared_->line(after, rev, text);
    arm();
  });
}

core::EndpointList& FleetMember::list() {
  return shared_ ? static_cast<core::EndpointList&>(*shared_) : watch_;
}

void FleetMember::start(core::Broker& core) {
  if (shared_) shared_->holds(watch_.version());
  if (shares_) shares_->restore();
  member_.start();
  if (!shares_) return;
  shares_->start(member_, core);
  core.share(shares_.get());
}

void FleetMember::moved(const config::HostPort& discovery) {
  if (shared_) shared_->moved(config::host_port(discovery.host, discovery.port));
  arm();
}

void FleetMember::leave() {
  if (shares_) shares_->leave();
  member_.leave([] {});
}

void FleetMember::take(const coordination::CoordinationProtocol::Word& w) {
  if (!shared_ || w.job != job_) return;
  using What = coordination::CoordinationProtocol::Word::What;
  switch (w.what) {
    case What::starts:
    case What::stops:
      shared_->reader(w.what == What::starts);
      break;
    case What::effect:
      shared_->effect(w.effect);
      break;
    case What::want:
      shared_->wanted(w.rev, w.from);
      break;
    case What::share:  // its companion's
      break;
  }
  arm();
}

void FleetMember::arm() {
  if (!shared_) return;
  const core::Micros at = shared_->next();
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
