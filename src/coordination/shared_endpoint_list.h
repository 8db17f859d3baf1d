// The endpoint list that one router of a site reads from discovery and passes on to the others.
//
// Decides which watch on discovery is open; does no I/O, time is handed in. Runs beside the core, on its
// thread.
//
//   alone      reads for itself, as a router without a fleet does
//   following  its watch is closed: it applies what the reader passes on
//   reader     reads, and passes on: this router has the lease on the job
//
// A follower that gets nothing from the reader for `reader_timeout`, or misses a change for as long, reads
// for itself again, after a random delay of up to `fallback_jitter`, so that a whole site does not ask
// discovery at once.
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
    Micros heartbeat_period =
        250 * core::kMilli;                   // how often the reader announces the revision that it holds
    std::size_t max_kept_bytes = 256u << 10;  // of lines that are kept for routers that missed one
  };
  // What this object does to the rest of the router.
  struct Ports {
    // Opens this router's own watch, which asks for the whole list, or closes it.
    std::function<void(bool)> set_watch_open;
    // Applies a line as if the watch had read it; false: it is no list.
    std::function<bool(std::string_view)> apply_line;
    // As the reader: to all routers of the site, or to the address of one that asked.
    std::function<void(Effect)> publish;
    std::function<void(Effect, const std::string&)> send;
    // Asks the reader for what came after this revision.
    std::function<void(std::uint32_t)> request_lines;
    // With the name of the new state.
    std::function<void(const char*)> on_state_change;
  };
  enum class State { alone, following, reader };

  // `source`: the discovery service that the list comes from, as host:port.
  SharedEndpointList(core::Clock& clock, Settings settings, Ports ports, std::string source,
                     std::uint64_t seed);

  // core::EndpointList: whether the core wants the list.
  void subscribe(bool on) override;

  // This router's own watch has read a line, which takes a list from revision `after` (0: any) to `revision`.
  void on_watch_line(std::uint32_t after, std::uint32_t revision, std::string_view text);
  // The revision of the list that is known at the start.
  void set_revision(std::uint32_t revision) { revision_ = revision; }
  // This router's lease on the job begins or ends.
  void set_reader(bool is_reader);
  // The reader's lines or heartbeat, admitted by its fencing token.
  void on_effect(const Effect& effect);
  // A router asks for what came after this revision.
  void on_list_request(std::uint32_t after, const std::string& address);
  // The list comes from another discovery service from now on.
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
  // An effect with the source and revision that this router holds, without lines.
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
  Micros reader_heard_at_ = 0;
  Micros behind_since_ = -1;  // a line was missed; -1: none is
  Micros fallback_delay_ = 0;
  Micros next_heartbeat_ = core::kNever;
  Micros lines_requested_at_ = 0;
};

}  // namespace flintglade::coordination
