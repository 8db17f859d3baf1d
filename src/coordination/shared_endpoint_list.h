// One router of a site watches discovery and passes on what it reads; the others keep their own watches
// closed while they hear it. Decides who reads; does no I/O, time is handed in. Runs beside the core, on its
// thread.
//
//   alone      reads for itself, as a router without a fleet does
//   following  its watch is closed: what the reader passes on is fed to it
//   reader     reads, and passes on
//
// Whoever hears nothing from the reader for `silence`, or misses a change for as long, reads for itself
// again, after a wait of its own of up to `spread`: the whole site does not ask at once.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "coordination.pb.h"
#include "core/ports.h"

namespace flintglade::coordination {

using core::Micros;

class SharedEndpointList final : public core::EndpointList {
 public:
  struct Settings {
    Micros silence = 2 * core::kSecond;
    Micros spread = core::kSecond;
    Micros beat = 250 * core::kMilli;     // the reader says which list it holds
    std::size_t most_bytes = 256u << 10;  // of lines that are kept for those who missed one
  };
  struct Ports {
    std::function<void(bool)> watch;             // the own watch: open it (and ask anew), or close it
    std::function<bool(std::string_view)> feed;  // a line as if the watch had read it; false: it is no list
    std::function<void(Effect)> publish;         // as the reader
    std::function<void(Effect, const std::string&)> send;  // to one that asked
    std::function<void(std::uint32_t)> want;               // from the reader: what came after
    std::function<void(const char*)> changed;              // the state's name
  };
  enum class State { alone, following, reader };

  SharedEndpointList(core::Clock& clock, Settings settings, Ports ports, std::string source,
                     std::uint64_t seed);

  void subscribe(bool on) override;  // by the core
  // The own watch has read a line: of a list that was at `after` (0: it is whole) and now is at rev.
  void line(std::uint32_t after, std::uint32_t rev, std::string_view text);
  void holds(std::uint32_t rev) { rev_ = rev; }  // without a line: the list known at the start
  void reader(bool is);                          // this router's lease on the job begins or ends
  void effect(const Effect& effect);             // of the reader, admitted by the fence
  void wanted(std::uint32_t rev, const std::string& from);
  void moved(const std::string& source);  // the list comes from elsewhere from now on
  void tick();
  Micros next() const;
  State state() const { return state_; }
  static const char* name(State s);

 private:
  void become(State s);
  void keep(std::uint32_t after, std::uint32_t rev, std::string_view text);

  core::Clock& clock_;
  Settings settings_;
  Ports ports_;
  std::string source_;
  std::mt19937_64 random_;
  State state_ = State::alone;
  bool observed_ = false;
  std::uint32_t rev_ = 0;
  std::deque<ListLine> lines_;
  std::size_t bytes_ = 0;
  Micros heard_ = 0, behind_since_ = -1, wait_ = 0, next_beat_ = core::kNever, asked_ = 0;
};

}  // namespace flintglade::coordination
