// Port: the client's side of one request. Implemented by each server, one object a request; called on the
// core's thread only.
#pragma once

#include <cstdint>
#include <string_view>

#include "core/time.h"

namespace flintglade::core {

// Why a request that was neither served nor rejected ended.
enum class Failure : std::uint8_t {
  error,     // no replica could serve it
  deadline,  // the client's time to wait was over
  rejected,  // a replica says that the request itself is at fault, whoever is asked
};

// Exactly one of finish, abort_stream, reject and fail ends a request, and it is the last call.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  // Events of the answer, in order and whole. Returns false if the client reads too slowly: no more events
  // come until the server calls Broker::on_client_writable.
  virtual bool write_events(std::string_view events) = 0;
  // The answer is complete.
  virtual void finish() = 0;
  // The answer broke after its first event.
  virtual void abort_stream() = 0;
  // No replica has done any work on the request, and a retry is harmless, after retry_after (0: no advice).
  // late: its deadline has passed.
  virtual void reject(Micros retry_after, bool late) = 0;
  // The request has failed before its first event.
  virtual void fail(Failure why) = 0;
};

}  // namespace flintglade::core
