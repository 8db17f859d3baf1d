// A bounded codec for the simulator's frames: bytes to events and actions to bytes. It decides nothing.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "flintglade/policy/balancer.h"

namespace flintglade::policy::wire {

inline constexpr std::size_t kBatchHeader = 16;
inline constexpr std::uint32_t kMaxFrame = 512u << 20;  // no batch of a day comes near this

struct BatchHeader {
  std::uint32_t length = 0;
  double clock = 0.0;
  std::uint32_t records = 0;
};
BatchHeader parse_header(const std::uint8_t* bytes);

struct Instance {
  std::uint32_t index = 0;
};
struct Provision {
  std::uint64_t seed = 0;
  std::string boot_info;
};
struct Detach {};
struct Gone {
  RequestId id = 0;
};
struct Wake {
  std::uint64_t cookie = 0;
};
struct Peer {
  std::uint32_t from = 0;
  std::string bytes;
};
using Event = std::variant<Instance, Provision, Detach, EndpointListChange, NewRequest, FirstEvent,
                           AttemptResult, Gone, Wake, HealthCheckResult, Peer>;

// Reads the records of one batch. next() gives false at the end or at the first malformed record; error() is
// then empty or says in one line what was wrong.
class BatchReader {
 public:
  BatchReader(const std::uint8_t* bytes, std::size_t size, std::uint32_t records)
      : at_(bytes), end_(bytes + size), records_(records) {}
  bool next(Event& event);
  const std::string& error() const { return error_; }

 private:
  bool bad(std::string text);
  const std::uint8_t* at_;
  const std::uint8_t* end_;
  std::uint32_t records_;
  std::uint32_t seen_ = 0;
  std::string error_;
};

// Collects the actions of one reply; a CONTEXT record goes out before the first action of another instance.
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
  const std::string& finish();  // the whole frame, header first; valid until clear()
  void clear();

 private:
  void begin(std::uint8_t code, std::uint32_t length);
  std::string bytes_ = std::string(8, '\0');
  std::uint32_t records_ = 0;
  std::uint32_t instance_ = 0;
  std::int64_t written_instance_ = -1;
};

}  // namespace flintglade::policy::wire
