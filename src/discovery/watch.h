// The watch on discovery: one connection that stays open and brings the changes of the replica list.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>

#include "config/config.h"
#include "core/ports.h"
#include "discovery/boot_clock.h"
#include "discovery/entries.h"

namespace flintglade::discovery {

// How long discovery may stay silent before a watch counts as broken.
struct Silence {
  // Between words: an open watch sends an empty line every 2 s, and a change counts as told 6 s after a watch
  // fell silent. What is left of them then is enough for two calls that each fail after 2 s, and a third.
  core::Micros open = 3 * core::kSecond;
  // Until the first word: a service that all routers share gives a waiting call up after 2 s at the most.
  core::Micros first = 2500 * core::kMilli;
};
// Where lists are pushed, an agent on this machine answers at once, or not at all while discovery is down.
inline constexpr Silence kAgentSilence{3 * core::kSecond, 500 * core::kMilli};

class Watch final : public core::EndpointList {
 public:
  using Tell = std::function<void(core::EndpointListUpdate)>;
  Watch(boost::asio::io_context& io, core::Clock& clock, config::HostPort at, Names names, BootClock boots,
        Silence silence = {});
  ~Watch() override;
  void tell(Tell tell) { tell_ = std::move(tell); }
  void known(const std::string& json);  // the list as it was last: the watch starts from its version
  // The module asks, and asks again after a failure; the watch never retries by itself.
  void subscribe(bool on) override;
  // A reload: discovery is elsewhere from now on. Asks there at once, if the list was asked for at all,
  // whether or not the module waits to ask again; the list held stays in force until the answer.
  void move(config::HostPort to);
  const config::HostPort& at() const { return at_; }
  // Each list that is read and told, as discovery wrote it. after: the version held before; 0: it is whole.
  using OnLine = std::function<void(std::uint32_t after, std::uint32_t rev, std::string_view text)>;
  void on_line(OnLine on_line) { on_line_ = std::move(on_line); }
  // A list that somebody else has read, as if it had come here. False: it is no list.
  bool feed(std::string_view text) { return take(text); }
  std::uint32_t version() const { return have_list_ ? version_ : 0; }
  std::string status() const;  // how the last ask went, in a few words

 private:
  class Session;
  bool take(std::string_view text);
  boost::asio::io_context& io_;
  core::Clock& clock_;
  config::HostPort at_;
  Names names_;
  BootClock boots_;
  Silence silence_;
  Tell tell_;
  OnLine on_line_;
  std::uint32_t version_ = 0;
  bool have_list_ = false;
  bool last_was_whole_ = false;  // the last list, rather than a change
  bool wanted_ = false;          // somebody has asked for the list
  std::string last_error_ = "not asked yet";
  std::shared_ptr<Session> session_;
};

}  // namespace flintglade::discovery
