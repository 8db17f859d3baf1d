// Port: the client's side of one request. Implemented by each server, with one object per request. Called on
// the core's thread only.
#pragma once

#include <cstdint>
#include <string_view>

#include "core/time.h"

namespace flintglade::core {

// Why a request failed.
enum class Failure : std::uint8_t {
  error,     // no replica could serve it
  deadline,  // the request's deadline has passed
  rejected,  // a replica has rejected the request as invalid; no other replica could serve it
};

// Exactly one of finish, abort_stream, reject and fail ends a request, and it is the last call.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  // Writes complete events of the response, in order. Returns false if the client reads too slowly: the core
  // then pauses the attempt until the server calls Broker::on_client_writable.
  virtual bool write_events(std::string_view events) = 0;
  // The response is complete.
  virtual void finish() = 0;
  // The response broke after its first event.
  virtual void abort_stream() = 0;
  // No replica has done any work on the request, and a retry is harmless, after retry_after (0: not
  // specified). late: the request's deadline has passed.
  virtual void reject(Micros retry_after, bool late) = 0;
  // The request has failed before its first event.
  virtual void fail(Failure reason) = 0;
};

}  // namespace flintglade::core
