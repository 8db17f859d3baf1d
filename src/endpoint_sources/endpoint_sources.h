// The sources of an operator's file on the loop: the platform's watch and the DNS client feed the membership,
// and what it makes of them is the replica list that the core sees. Decides nothing.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "discovery/watch.h"
#include "dns/client.h"
#include "endpoint_sources/endpoint_merger.h"
#include "endpoint_sources/source_settings.h"

namespace flintglade::endpoint_sources {

class EndpointSources final : public core::EndpointList, private dns::ResolverListener {
 public:
  using Tell = std::function<void(core::EndpointListUpdate)>;
  // watch is borrowed; it is used only where a source is the platform's list.
  EndpointSources(boost::asio::io_context& io, core::Clock& clock, discovery::Watch& watch,
                  const deploy::Membership& file, std::vector<SourceSpec> specs);
  ~EndpointSources() override;

  void tell(Tell tell) { tell_ = std::move(tell); }
  void start(const std::string& known);  // the platform's last known list, or nothing
  // The core asks for the list, and again after a failure. What is held is told at once.
  void subscribe(bool on) override;
  void reload(const deploy::Membership& file, std::vector<SourceSpec> specs);

  std::string status() const;  // how each source does, in one line
  std::vector<std::pair<std::string, std::uint64_t>> counters() const;
  const EndpointMerger& membership() const { return membership_; }
  const dns::Resolver& resolver() const { return client_.resolver(); }

 private:
  void answered(const std::string& name, const dns::SrvAnswer& answer) override;
  void failed(const std::string& name, const std::string& why) override;
  void listed(core::EndpointListUpdate news);
  void ask_list_again();
  void settle();  // tells what changed, and sets the alarm
  const SourceSpec* by_dns_name(const std::string& name) const;
  void log_changes();

  boost::asio::io_context& io_;
  core::Clock& clock_;
  discovery::Watch& watch_;
  std::vector<SourceSpec> specs_;
  EndpointMerger membership_;
  dns::Client client_;
  Tell tell_;
  boost::asio::steady_timer alarm_, again_;
  bool uses_list_ = false;
  bool asked_ = false;  // the core waits for a list
  bool told_ = false;   // and has had one
  unsigned list_failures_ = 0;
  std::mt19937 random_{std::random_device{}()};  // for jitter: no two routers ask at one moment
  std::uint64_t seen_ = 0;                       // the generation of the verdicts that were told and logged
  std::map<std::string, std::pair<Health, Clause>> logged_;
  std::map<std::string, std::string> logged_states_;
};

}  // namespace flintglade::endpoint_sources
