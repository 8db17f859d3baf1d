// Requests to voters that have not been answered yet.
//
// No I/O; for use on one thread; the caller passes in the time. A request that was lost is removed after a
// while; its sender sends a new one if it is still needed (renewals and releases are repeated).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "core/ports.h"

namespace flintglade::coordination {

using core::Micros;

struct PendingRequest {
  Micros sent_at = 0;
  bool is_renewal = false;
};

class PendingRequests {
 public:
  bool is_full() const;
  // Returns the number of the new request; its reply has the same number.
  std::uint64_t add(Micros now, bool is_renewal);
  // Removes and returns the request that the reply with this number belongs to; nullopt if none does.
  std::optional<PendingRequest> take(std::uint64_t number);
  // Whether a request other than the newest one has been pending for longer than `timeout`. Requests that are
  // several times as old do not count, since they may have gone to a different voter.
  bool has_timed_out(Micros now, Micros timeout) const;
  void forget_old(Micros now);

 private:
  std::uint64_t last_number_ = 0;
  std::map<std::uint64_t, PendingRequest> requests_;
};

}  // namespace flintglade::coordination
