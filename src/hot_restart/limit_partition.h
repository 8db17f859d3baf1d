// How processes of one router share one budget. Pure: no clock, no I/O.
//
// During an upgrade two processes (three, if one starts while two run) stand for one router, and the limits
// on descriptors and memory see one. Each publishes what it uses and reads what the others use.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace flintglade::hot_restart {

enum class Stage : std::uint32_t { starting = 0, serving = 1, draining = 2 };

struct Use {
  Stage stage = Stage::starting;
  std::size_t sockets = 0;  // descriptors held
  std::size_t bodies = 0;   // bytes of request bodies held
  std::size_t seat = 0;
  std::uint64_t joined = 0;  // which of those that ever took a seat it is: later ones have higher numbers
};

struct Part {
  std::size_t sockets = 0, bodies = 0;
};

// Descriptors that one process always leaves free, so that another one may start beside it: its loop,
// listeners and the watch take 14.
inline constexpr std::size_t kStart = 24;
// And for each other process, what it may have taken between its last word and our look at it.
inline constexpr std::size_t kSlack = 8;

// What this process may hold at present. whole: the router's limits. Where nobody else is there: all but
// kStart. Otherwise what the others leave; a process beside which one starts gives way to half, so that the
// new one finds room when it serves; one that drains takes up no more than it has, and no less.
Part part(const Part& whole, const Use& self, std::span<const Use> others);

}  // namespace flintglade::hot_restart
