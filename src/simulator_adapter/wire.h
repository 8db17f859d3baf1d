// Codec for the simulator's frames: decodes events and encodes actions. Checks every length and count against
// the frame that it reads. Contains no decision logic.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "flintglade/policy/balancer.h"

namespace flintglade::policy::wire {

inline constexpr std::size_t kBatchHeaderSize = 16;
inline constexpr std::uint32_t kMaxFrameSize = 512u << 20;  // far larger than any batch in a simulated day

struct BatchHeader {
  std::uint32_t length = 0;
  double clock = 0.0;
  std::uint32_t records = 0;
};
BatchHeader parse_header(const std::uint8_t* bytes);

// The events that have no type in the decision module, with their record codes.
struct Instance {  // code 11: the following events are for this instance
  std::uint32_t index = 0;
};
struct Provision {  // code 1: start the instance
  std::uint64_t seed = 0;
  std::string boot_info;
};
struct Detach {};  // code 10: end the instance

struct ClientDisconnected {  // code 6
  RequestId id = 0;
};
struct TimerExpired {  // code 7
  std::uint64_t cookie = 0;
};
struct PeerMessage {  // code 9
  std::uint32_t from = 0;
  std::string bytes;
};
using Event = std::variant<Instance, Provision, Detach, EndpointListChange, NewRequest, FirstEvent,
                           AttemptResult, ClientDisconnected, TimerExpired, HealthCheckResult, PeerMessage>;

// Reads the records of one batch. next() returns false at the end or at the first malformed record; error()
// is then empty or an error message of one line.
class BatchReader {
 public:
  BatchReader(const std::uint8_t* bytes, std::size_t size, std::uint32_t records)
      : position_(bytes), end_(bytes + size), records_(records) {}
  bool next(Event& event);
  const std::string& error() const { return error_; }

 private:
  bool fail(std::string text);
  const std::uint8_t* position_;
  const std::uint8_t* end_;
  std::uint32_t records_;
  std::uint32_t records_read_ = 0;
  std::string error_;
};

// Collects the actions of one reply. Writes a CONTEXT record (code 78) before an action whenever the instance
// differs from that of the action before.
class ReplyWriter : public ActionSink {
 public:
  void set_instance(std::uint32_t index) { instance_ = index; }
  void attempt(RequestId id, ReplicaId replica, double attempt_timeout) override;
  void reject(RequestId id, double retry_after) override;
  void fail(RequestId id) override;
  void stop_attempt(RequestId id, std::uint16_t attempt) override;
  void set_timer(double span, std::uint64_t cookie) override;
  void subscribe(bool on) override;
  void bail_out(std::string_view text);
  // Completes the header and returns the frame with it; valid until clear().
  const std::string& finish();
  void clear();

 private:
  void begin(std::uint8_t code, std::uint32_t length);
  std::string bytes_ = std::string(8, '\0');
  std::uint32_t records_ = 0;
  std::uint32_t instance_ = 0;
  std::int64_t written_instance_ = -1;
};

}  // namespace flintglade::policy::wire
