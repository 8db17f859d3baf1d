// The requests in flight with their attempts and trace ids, and the memory used by their bodies. Used on the
// core's thread only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/ids.h"
#include "core/request.h"
#include "core/response_writer.h"
#include "core/time.h"

namespace flintglade::core {

// One attempt, from the time when the decision module requests it.
struct AttemptState {
  ReplicaId replica = 0;
  Micros started_at = 0;
  bool running = true;   // the module has not been notified of its outcome
  bool stopped = false;  // cancelled; its outcome is queued or on hold
  bool held = false;     // cancelled by its client; still counts as its replica's work until the hold expires
};

// One request, until it has its final response and none of its attempts is running.
struct RequestState {
  static constexpr int kNoAttempt = -1;

  std::shared_ptr<const Request> request;
  std::shared_ptr<ResponseWriter> response_writer;  // null once the request is closed
  Micros received_at = 0;
  Micros deadline = 0;  // for the first event
  std::vector<AttemptState> attempts;
  int streaming_attempt = kNoAttempt;  // the one whose response the client gets; set at its first event
  Micros last_event_at = 0;
  bool client_blocked = false;  // the client reads too slowly: the attempt is paused

  bool closed() const { return response_writer == nullptr; }
  bool streaming() const { return streaming_attempt != kNoAttempt; }
  bool is_streaming_attempt(AttemptId id) const { return streaming_attempt == static_cast<int>(id.attempt); }
  bool has_running_attempt() const;
};

// A running attempt and its request; both null if there is none.
struct RunningAttempt {
  RequestState* request = nullptr;
  AttemptState* attempt = nullptr;
  explicit operator bool() const { return attempt != nullptr; }
};

class RequestTable {
 public:
  // Reserves the id of a new request; returns 0 if an open request has this trace id.
  RequestId reserve(const std::string& trace_id);
  // Frees the trace id of a reserved request that is not inserted.
  void release(const std::string& trace_id) { open_trace_ids_.erase(trace_id); }
  // Inserts a reserved request, which is open from now on. Its body is not counted; see count_body.
  RequestState& insert(RequestId id, std::shared_ptr<const Request> request,
                       std::shared_ptr<ResponseWriter> response_writer);

  // Null if there is no such request. Valid until the request is erased.
  RequestState* find(RequestId id);
  RunningAttempt find_running(AttemptId id);

  // Closes the request, and returns the writer for its final response.
  std::shared_ptr<ResponseWriter> close(RequestState& state);
  // Marks the request for erase_finished, if it is closed and has no running attempt.
  void mark_if_finished(RequestId id, const RequestState& state);
  // Erases the marked requests, except those for which the module has requested an attempt in the meantime
  // (for example in the same iteration in which the client disconnected). Such an attempt is never sent, but
  // the module has to get its outcome.
  void erase_finished();

  // Counts the request's body against the budget, until the request is erased or its content dropped.
  void count_body(const Request& request) { body_bytes_ += request.bytes(); }
  // Frees the request's content, which no further attempt needs; its properties are kept.
  void drop_content(RequestState& state);
  std::size_t body_bytes() const { return body_bytes_; }
  // The bodies of requests that have arrived and wait for the next iteration, in which they are admitted or
  // rejected.
  void count_queued_body(const Request& request) { queued_body_bytes_ += request.bytes(); }
  void uncount_queued_body(const Request& request) { queued_body_bytes_ -= request.bytes(); }
  std::size_t queued_body_bytes() const { return queued_body_bytes_; }

  // Requests without a final response.
  std::size_t open_requests() const { return open_requests_; }
  // Whether the table has no request; a closed one stays until its attempts have ended.
  bool empty() const { return requests_.empty(); }
  // In no particular order.
  const std::unordered_map<RequestId, RequestState>& all() const { return requests_; }

 private:
  RequestId last_id_ = 0;
  std::size_t open_requests_ = 0;
  std::size_t body_bytes_ = 0;
  std::size_t queued_body_bytes_ = 0;
  std::unordered_map<RequestId, RequestState> requests_;
  std::vector<RequestId> finished_;
  std::unordered_set<std::string> open_trace_ids_;
};

}  // namespace flintglade::core
