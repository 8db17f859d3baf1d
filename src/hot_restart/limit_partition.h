// How processes of one router share its limits on descriptors and memory during a hot restart.
//
// Two processes (three, if one starts while two run) stand for one router, and the operator's limits see one.
// Each publishes what it uses (process_slots.h) and reads what the others use. No clock, no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace flintglade::hot_restart {

// The values are stored in the process slots' file.
enum class ProcessStage : std::uint32_t { starting = 0, serving = 1, draining = 2 };

struct ProcessUsage {
  ProcessStage stage = ProcessStage::starting;
  std::size_t descriptors = 0;
  std::size_t body_bytes = 0;    // of request bodies
  std::size_t slot = 0;          // of the process
  std::uint64_t join_order = 0;  // among all that ever took a slot: later ones have higher numbers
};

struct ProcessLimits {
  std::size_t descriptors = 0;
  std::size_t body_bytes = 0;
};

// Descriptors that a process always leaves free, so that another one can start beside it: its loop, its
// listeners and the watch take 14.
inline constexpr std::size_t kStartReserveDescriptors = 24;
// And for each other process, what it may have taken since it published its usage.
inline constexpr std::size_t kUsageSlackDescriptors = 8;

// What this process may hold now. router: the limits of the whole router. A process that is alone may hold
// all but kStartReserveDescriptors; otherwise, what the others leave. A serving process beside which one
// starts gives way to half, so that the new one finds room when it serves; a draining one takes up no more
// than it has, and no less.
ProcessLimits partition_limits(const ProcessLimits& router, const ProcessUsage& self,
                               std::span<const ProcessUsage> others);

}  // namespace flintglade::hot_restart
