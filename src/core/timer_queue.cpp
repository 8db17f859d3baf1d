#include "core/timer_queue.h"

#include <utility>

namespace flintglade::core {

void TimerQueue::set(Micros expires_at, Timer timer) {
  timers_.push(Entry{expires_at, ++timers_set_, std::move(timer)});
}

std::optional<Timer> TimerQueue::pop_expired(Micros now) {
  if (timers_.empty() || timers_.top().expires_at > now) return std::nullopt;
  std::optional<Timer> timer = timers_.top().timer;
  timers_.pop();
  return timer;
}

}  // namespace flintglade::core
