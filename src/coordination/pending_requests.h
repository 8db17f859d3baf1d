// Requests to a voter that have not been answered yet.
//
// Pure; one thread; time is handed in. A request that is lost is forgotten after a while: what it asked for
// is asked again by whoever still needs it (renewals and releases are repeated).
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
  // The number of the new request, which its reply will have.
  std::uint64_t add(Micros now, bool is_renewal);
  // The request that this reply belongs to; it is pending no more. Nothing: none does.
  std::optional<PendingRequest> take(std::uint64_t number);
  // Whether a request other than the newest one has waited for longer than `timeout`, but not for several
  // times as long: an old one says nothing about the voter that is asked now.
  bool has_timed_out(Micros now, Micros timeout) const;
  void forget_old(Micros now);

 private:
  std::uint64_t last_number_ = 0;
  std::map<std::uint64_t, PendingRequest> requests_;
};

}  // namespace flintglade::coordination
