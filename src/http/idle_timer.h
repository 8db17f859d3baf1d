// An alarm that rings when something falls due, and not before: where nothing is due, nobody wakes.
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
  // Looks at all connections are no closer than this, but for the first.
  static constexpr core::Micros kApart = 100 * core::kMilli;

  // ring: looks at what is due, and says by() for what comes next.
  IdleTimer(boost::asio::io_context& io, core::Clock& clock, std::function<void()> ring)
      : clock_(clock), timer_(io), ring_(std::move(ring)) {}

  // Rings at this time at the latest. Micros of the monotonic clock; kNever changes nothing.
  void by(core::Micros at) {
    if (at >= at_) return;
    at_ = at;
    timer_.expires_after(std::chrono::microseconds(std::max<core::Micros>(0, at - clock_.now())));
    timer_.async_wait([this](boost::system::error_code ec) {
      if (ec) return;  // set anew, or at an end
      at_ = core::kNever;
      ring_();
    });
  }

 private:
  core::Clock& clock_;
  boost::asio::steady_timer timer_;
  std::function<void()> ring_;
  core::Micros at_ = core::kNever;
};

}  // namespace flintglade::http
