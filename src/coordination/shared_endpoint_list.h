// The endpoint list that one router of a site reads from discovery and distributes to the site's other
// routers.
//
// Decides when this router's watch on discovery is open. Does no I/O; the caller passes in the clock. Runs on
// the core's thread.
//
//   alone      its watch is open, as on a router without a fleet
//   following  its watch is closed; it applies the changes that the reader sends
//   reader     its watch is open, and it sends the changes to the others: it has the lease on the job
//
// A follower that receives nothing from the reader for `reader_timeout`, or lacks a change for that long,
// opens its own watch again. It does so after a random delay of up to `fallback_jitter`, so that the routers
// of a site do not all connect to discovery at once.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <string>
#include <string_view>

#include "coordination.pb.h"
#include "core/ports.h"

namespace flintglade::coordination {

using core::Micros;

class SharedEndpointList final : public core::EndpointList {
 public:
  struct Settings {
    Micros reader_timeout = 2 * core::kSecond;
    Micros fallback_jitter = core::kSecond;
    Micros heartbeat_period = 250 * core::kMilli;  // how often the reader sends the revision that it holds
    std::size_t max_kept_bytes = 256u << 10;  // limit on the lines that are kept for routers that missed one
  };
  // The outgoing calls of this object.
  struct Ports {
    // Opens this router's own watch, which requests the whole list, or closes it.
    std::function<void(bool)> set_watch_open;
    // Applies a line in the same way as one that the watch has read. False: the line is not a valid list.
    std::function<bool(std::string_view)> apply_line;
    // Send an effect as the reader: to all routers of the site, or to the address of one that requested it.
    std::function<void(Effect)> publish;
    std::function<void(Effect, const std::string&)> send;
    // Requests the lines after this revision from the reader.
    std::function<void(std::uint32_t)> request_lines;
    // Called with the name of the new state.
    std::function<void(const char*)> on_state_change;
  };
  enum class State { alone, following, reader };

  // `source`: the discovery service that provides the list, as host:port.
  SharedEndpointList(core::Clock& clock, Settings settings, Ports ports, std::string source,
                     std::uint64_t seed);

  // core::EndpointList: whether the core needs the list.
  void subscribe(bool on) override;

  // This router's own watch has read a line, which changes a list from revision `after` (0: any) to
  // `revision`.
  void on_watch_line(std::uint32_t after, std::uint32_t revision, std::string_view text);
  // Sets the revision of the list that is known at startup.
  void set_revision(std::uint32_t revision) { revision_ = revision; }
  // This router's lease on the job begins or ends.
  void set_reader(bool is_reader);
  // The reader's lines or heartbeat, already admitted by the fencing token.
  void on_effect(const Effect& effect);
  // A router requests the lines after this revision.
  void on_list_request(std::uint32_t after, const std::string& address);
  // Changes the discovery service that provides the list.
  void set_source(const std::string& source);
  void tick();
  // When to call tick().
  Micros next_timer() const;

  State state() const { return state_; }
  static const char* state_name(State state);

 private:
  void enter(State state);
  void keep_line(std::uint32_t after, std::uint32_t revision, std::string_view text);
  void apply_lines(const Effect& effect);
  void request_missing_lines();
  // An effect with this router's source and revision, without lines.
  Effect make_heartbeat() const;

  core::Clock& clock_;
  Settings settings_;
  Ports ports_;
  std::string source_;
  std::mt19937_64 random_;
  State state_ = State::alone;
  bool is_subscribed_ = false;
  std::uint32_t revision_ = 0;
  std::deque<ListLine> kept_lines_;
  std::size_t kept_bytes_ = 0;
  Micros last_effect_at_ = 0;  // when the last effect of the reader was received
  Micros behind_since_ = -1;   // since when a line is missing; -1: none is
  Micros fallback_delay_ = 0;
  Micros next_heartbeat_ = core::kNever;
  Micros lines_requested_at_ = 0;
};

}  // namespace flintglade::coordination
