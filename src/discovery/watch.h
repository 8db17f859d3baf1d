// The watch on discovery: one long-lived connection that delivers the changes of the endpoint list.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>

#include "config/config.h"
#include "core/ports.h"
#include "discovery/boot_clock.h"
#include "discovery/entries.h"

namespace flintglade::discovery {

// How long discovery may send nothing before the watch counts as broken.
struct Silence {
  // On an open watch, discovery sends an empty line every 2 s. A change must arrive within 6 s after a watch
  // fell silent, that is up to 8 s after its last line. The remaining 5 s are enough for two requests that
  // each fail after 2 s, and a third.
  core::Micros open = 3 * core::kSecond;
  // Until the first bytes: a service that all routers share aborts a waiting request after at most 2 s.
  core::Micros first = 2500 * core::kMilli;
};
// Used where an agent on this machine pushes lists: it answers at once, or not at all while discovery is
// down.
inline constexpr Silence kAgentSilence{3 * core::kSecond, 500 * core::kMilli};

// Counts of requests for the endpoint list since the start of the process.
struct WatchCounters {
  std::uint64_t requests = 0;
  std::uint64_t requests_replaced = 0;  // of them, given up for a further request before their answer began
};

class Watch final : public core::EndpointList {
 public:
  using UpdateHandler = std::function<void(core::EndpointListUpdate)>;
  Watch(boost::asio::io_context& io, core::Clock& clock, config::HostPort address, Names names,
        BootClock boot_clock, Silence silence = {});
  ~Watch() override;
  void set_update_handler(UpdateHandler handler) { update_handler_ = std::move(handler); }
  // Loads the list that the platform cached before the start, or an empty text. The watch starts from its
  // version.
  void load_cached_list(const std::string& json);
  // Called by the module, and again after a failure; the watch never retries by itself. A request that still
  // waits for its answer is left to it: its own time-out ends it.
  void subscribe(bool on) override;
  // Applies a reloaded address of discovery. If the watch is subscribed, it connects to the new address at
  // once, even if the module is waiting to retry. The list held stays in force until the answer.
  void set_address(config::HostPort to);
  const config::HostPort& at() const { return address_; }
  // Called with the text of each list that was received and applied. after: the version held before; 0: the
  // list is complete.
  using OnLine = std::function<void(std::uint32_t after, std::uint32_t rev, std::string_view text)>;
  void on_line(OnLine on_line) { on_line_ = std::move(on_line); }
  // Applies a list that another router's watch received. Returns false if the text is not a list.
  bool feed(std::string_view text) { return apply(text); }
  std::uint32_t version() const { return have_list_ ? version_ : 0; }
  std::string status() const;  // the outcome of the last request, on one line
  const WatchCounters& counters() const { return counters_; }

 private:
  class Session;
  bool apply(std::string_view text);
  void start_session();
  void stop_session();
  void record_replaced_request();
  boost::asio::io_context& io_;
  core::Clock& clock_;
  config::HostPort address_;
  Names names_;
  BootClock boot_clock_;
  Silence silence_;
  UpdateHandler update_handler_;
  OnLine on_line_;
  std::uint32_t version_ = 0;
  bool have_list_ = false;
  bool last_was_full_ = false;  // the last list was complete, not a change
  bool subscribed_ = false;
  std::string last_error_ = "not requested yet";
  std::shared_ptr<Session> session_;
  WatchCounters counters_;
};

}  // namespace flintglade::discovery
