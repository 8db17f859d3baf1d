// How processes of one router share its limits on descriptors and memory during a hot restart.
//
// During a hot restart a router consists of two processes (three, if one starts while two run), and the
// operator's limits apply to their sum. Each process publishes its usage and reads that of the others
// (process_slots.h). No clock, no I/O.
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
  std::size_t slot = 0;          // of this process
  std::uint64_t join_order = 0;  // a process that took its slot later has a higher number
};

struct ProcessLimits {
  std::size_t descriptors = 0;
  std::size_t body_bytes = 0;
};

// Descriptors that a process leaves free while it is alone, so that another process can start beside it: the
// event loop, listeners and watch of the new process need 14.
inline constexpr std::size_t kStartReserveDescriptors = 24;
// Descriptors that each other process may have opened since it last published its usage.
inline constexpr std::size_t kUsageSlackDescriptors = 8;

// Returns the limits of this process now. router_limits: those of the whole router. A process that is alone
// may use everything except kStartReserveDescriptors. Otherwise it may use the descriptors that the others
// have left, and of the memory what it holds and an equal share of what is free: all processes may grow
// before they see each other's usage. While another process starts, a serving process is limited to half of
// the router's limits, so that the new one has room when it begins to serve; a draining one takes up nothing
// new and keeps what it has.
ProcessLimits partition_limits(const ProcessLimits& router_limits, const ProcessUsage& self,
                               std::span<const ProcessUsage> others);

}  // namespace flintglade::hot_restart
