// Tells a request that is still being sent from one that has stalled. Pure: no clock, no I/O.
//
// A byte now and then is no progress: what counts is growth by a fixed fraction of what has been received. So
// the measure is the same for requests of all sizes, and a client that sends at a steady pace makes progress
// all the time, however slow it is.
#pragma once

#include <algorithm>
#include <cstddef>

#include "core/time.h"

namespace flintglade::http {

class ReceiveProgress {
 public:
  // A request that is sent evenly within 2 s grows by this fraction every 62 ms, or more often.
  static constexpr std::size_t kFraction = 32;

  void on_received(std::size_t bytes, core::Micros now) {
    received_ += bytes;
    if (received_ < milestone_ + std::max<std::size_t>(1, milestone_ / kFraction)) return;
    milestone_ = received_;
    last_progress_at_ = now;
  }
  core::Micros last_progress_at() const { return last_progress_at_; }
  // Whether bytes have arrived since then.
  bool received_since_progress() const { return received_ > milestone_; }

 private:
  std::size_t received_ = 0;
  std::size_t milestone_ = 0;  // bytes received at the last progress
  core::Micros last_progress_at_ = 0;
};

}  // namespace flintglade::http
