// A one-shot timer that is armed only while something is due, so that an idle process does not wake up.
#pragma once

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <functional>
#include <utility>

#include "core/ports.h"

namespace flintglade::http {

class IdleTimer {
 public:
  // Minimum interval between two sweeps over all connections; the first one is not delayed.
  static constexpr core::Micros kMinSweepInterval = 100 * core::kMilli;

  // on_due: handles what is due, and calls fire_by() for the next deadline.
  IdleTimer(boost::asio::io_context& io, core::Clock& clock, std::function<void()> on_due)
      : clock_(clock), timer_(io), on_due_(std::move(on_due)) {}

  // Calls on_due no later than this time of the monotonic clock; kNever has no effect.
  void fire_by(core::Micros deadline) {
    if (deadline >= due_at_) return;
    due_at_ = deadline;
    timer_.expires_after(std::chrono::microseconds(std::max<core::Micros>(0, deadline - clock_.now())));
    timer_.async_wait([this](boost::system::error_code ec) {
      if (ec) return;  // rearmed, or cancelled
      due_at_ = core::kNever;
      on_due_();
    });
  }

 private:
  core::Clock& clock_;
  boost::asio::steady_timer timer_;
  std::function<void()> on_due_;
  core::Micros due_at_ = core::kNever;
};

}  // namespace flintglade::http
