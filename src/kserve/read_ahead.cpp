#include "kserve/read_ahead.h"

namespace flintglade::kserve {

bool ReadAhead::start_if_allowed() {
  if (reading_ || paused_ || stopped_) return false;
  if (unhandled_messages_ >= kMaxMessages || unhandled_bytes_ >= kMaxBytes) return false;
  reading_ = true;
  return true;
}

bool ReadAhead::start() {
  const std::lock_guard lock(mutex_);
  return start_if_allowed();
}

bool ReadAhead::on_message(std::size_t bytes) {
  const std::lock_guard lock(mutex_);
  reading_ = false;
  ++unhandled_messages_;
  unhandled_bytes_ += bytes;
  return start_if_allowed();
}

void ReadAhead::on_end() {
  const std::lock_guard lock(mutex_);
  reading_ = false;
  stopped_ = true;
}

bool ReadAhead::on_handled(std::size_t bytes) {
  const std::lock_guard lock(mutex_);
  --unhandled_messages_;
  unhandled_bytes_ -= bytes;
  return start_if_allowed();
}

void ReadAhead::pause() {
  const std::lock_guard lock(mutex_);
  paused_ = true;
}

bool ReadAhead::resume() {
  const std::lock_guard lock(mutex_);
  paused_ = false;
  return start_if_allowed();
}

void ReadAhead::stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
}

bool ReadAhead::is_finished() const {
  const std::lock_guard lock(mutex_);
  return stopped_ && !reading_;
}

}  // namespace flintglade::kserve
