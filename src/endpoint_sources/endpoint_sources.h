// Runs the endpoint sources of an operator's file on the event loop. The platform's watch and the DNS client
// feed an EndpointMerger, and its result is the endpoint list that the core gets. All decisions are the
// merger's.
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
  using UpdateHandler = std::function<void(core::EndpointListUpdate)>;
  // watch must outlive this object. It is used only if one of the sources is the platform's list.
  EndpointSources(boost::asio::io_context& io, core::Clock& clock, discovery::Watch& watch,
                  const deploy::Membership& file, std::vector<SourceSpec> specs);
  ~EndpointSources() override;

  void set_update_handler(UpdateHandler handler) { update_handler_ = std::move(handler); }
  void start(const std::string& cached_list);  // the platform's last known list as JSON, or empty
  // Called by the core to request the list, and again after a failure. If a source has answered, the list is
  // delivered at once.
  void subscribe(bool on) override;
  void reload(const deploy::Membership& file, std::vector<SourceSpec> specs);

  std::string status() const;  // the state of each source, on one line
  std::vector<std::pair<std::string, std::uint64_t>> counters() const;
  const EndpointMerger& merger() const { return merger_; }
  const dns::Resolver& resolver() const { return client_.resolver(); }

 private:
  void answered(const std::string& name, const dns::SrvAnswer& answer) override;
  void failed(const std::string& name, const std::string& why) override;
  void on_list_update(core::EndpointListUpdate update);
  void schedule_list_retry();
  void publish();  // delivers and logs what changed, and sets the merge timer
  const SourceSpec* find_by_dns_name(const std::string& name) const;
  void log_changes();

  boost::asio::io_context& io_;
  core::Clock& clock_;
  discovery::Watch& watch_;
  std::vector<SourceSpec> specs_;
  EndpointMerger merger_;
  dns::Client client_;
  UpdateHandler update_handler_;
  boost::asio::steady_timer merge_timer_, list_retry_timer_;
  bool uses_list_ = false;
  bool list_requested_ = false;  // the core waits for a list
  bool list_delivered_ = false;  // the core has got one
  unsigned list_failures_ = 0;
  std::mt19937 random_{std::random_device{}()};  // for jitter, so that routers do not retry at the same time
  std::uint64_t published_generation_ = 0;       // the merger's generation that was delivered and logged last
  std::map<std::string, std::pair<Health, Clause>> logged_endpoints_;
  std::map<std::string, std::string> logged_source_states_;
};

}  // namespace flintglade::endpoint_sources
