#include "hot_restart/limit_partition.h"

#include <algorithm>

namespace flintglade::hot_restart {
namespace {

std::size_t left(std::size_t whole, std::size_t taken) { return whole - std::min(whole, taken); }

}  // namespace

Part part(const Part& whole, const Use& self, std::span<const Use> others) {
  if (others.empty()) return {left(whole.sockets, kStart), whole.bodies};
  std::size_t sockets = 0, bodies = 0;
  bool newcomer = false;
  for (const Use& other : others) {
    // What it is about to take for its start is counted before it has it.
    sockets += (other.stage == Stage::starting ? std::max(other.sockets, kStart) : other.sockets) + kSlack;
    bodies += other.bodies;
    newcomer = newcomer || other.stage == Stage::starting;
  }
  Part out{left(whole.sockets, sockets), left(whole.bodies, bodies)};
  if (self.stage == Stage::serving && newcomer) {
    out.sockets = std::min(out.sockets, whole.sockets / 2);
    out.bodies = std::min(out.bodies, whole.bodies / 2);
  }
  return out;
}

}  // namespace flintglade::hot_restart
