// Decides when the next read of a stream starts: how far reading may run ahead of the event loop.
//
// gRPC holds one received message for a read that has been started. When a stream ends with an error, it
// discards the messages for which none has been. So the next read starts as soon as one has returned, on
// gRPC's thread, without waiting for the event loop to handle the message. What has been read and not handled
// yet is limited in messages and in bytes; beyond the limit, HTTP/2 flow control holds the sender back.
//
// Thread-safe. Does no I/O: the caller starts a read whenever a function returns true.
#pragma once

#include <cstddef>
#include <mutex>

namespace flintglade::kserve {

class ReadAhead {
 public:
  // No read starts while so many messages or bytes are unhandled. One message may exceed the byte limit.
  static constexpr std::size_t kMaxMessages = 16;
  static constexpr std::size_t kMaxBytes = 64u << 10;

  // The caller starts the first read. Returns whether to start one: false if stopped before.
  bool start();
  // The read has returned a message, which the event loop gets after this call. Returns whether to start the
  // next read.
  bool on_message(std::size_t bytes);
  // The read has failed, so no further one can start.
  void on_end();
  // The event loop has handled a message. Returns whether to start a read.
  bool on_handled(std::size_t bytes);
  // After a pause no read starts until the resume, which returns whether to start one.
  void pause();
  bool resume();
  // No read starts any more.
  void stop();
  // Whether no read is in progress and none can start any more.
  bool is_finished() const;

 private:
  // Requires the lock.
  bool start_if_allowed();

  mutable std::mutex mutex_;
  std::size_t unhandled_messages_ = 0, unhandled_bytes_ = 0;
  bool reading_ = false, paused_ = false, stopped_ = false;
};

}  // namespace flintglade::kserve
