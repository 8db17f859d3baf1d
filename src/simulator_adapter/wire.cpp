#include "simulator_adapter/wire.h"

#include <bit>
#include <cstring>
#include <utility>

namespace flintglade::policy::wire {
namespace {

static_assert(std::endian::native == std::endian::little, "the frames are little-endian");

// Reads the fields of one record and never reads beyond its end. After the first overrun, ok() is false and
// all reads return 0.
class RecordReader {
 public:
  RecordReader(const std::uint8_t* begin, const std::uint8_t* end) : position_(begin), end_(end) {}
  template <typename T>
  T get() {
    T value{};
    if (!advance(sizeof(T))) return value;
    std::memcpy(&value, position_ - sizeof(T), sizeof(T));
    return value;
  }
  ReplicaId replica() {
    const auto address = get<std::uint32_t>();
    return (static_cast<ReplicaId>(address) << 16) | get<std::uint16_t>();
  }
  std::string text(std::size_t length) {
    if (!advance(length)) return {};
    return std::string(reinterpret_cast<const char*>(position_ - length), length);
  }
  std::vector<float> report() {
    std::vector<float> values;
    const std::size_t count = get<std::uint8_t>();
    for (std::size_t i = 0; i < count && ok_; ++i) values.push_back(get<float>());
    return values;
  }
  std::size_t remaining() const { return static_cast<std::size_t>(end_ - position_); }
  bool ok() const { return ok_; }
  void mark_invalid() { ok_ = false; }

 private:
  bool advance(std::size_t size) {
    if (!ok_ || size > remaining()) return ok_ = false;
    position_ += size;
    return true;
  }
  const std::uint8_t* position_;
  const std::uint8_t* end_;
  bool ok_ = true;
};

EndpointListChange read_endpoint_list(RecordReader& record) {
  EndpointListChange list;
  const auto kind = record.get<std::uint8_t>();
  if (kind > 3) record.mark_invalid();
  list.kind = static_cast<ListKind>(kind);
  list.version = record.get<std::uint32_t>();
  const std::size_t count = record.get<std::uint32_t>();
  constexpr std::size_t kEntrySize = 23;
  if (count > record.remaining() / kEntrySize) {  // checked before memory is reserved for the entries
    record.mark_invalid();
    return list;
  }
  list.replicas.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    Replica replica;
    replica.id = record.replica();
    replica.zone = record.get<std::uint8_t>();
    replica.kind = record.get<std::uint8_t>();
    replica.cell = record.get<std::uint16_t>();
    const auto health = record.get<std::uint8_t>();
    if (health > 2) record.mark_invalid();
    replica.health = static_cast<Health>(health);
    replica.size = record.get<float>();
    replica.started_at = record.get<double>();
    list.replicas.push_back(replica);
  }
  return list;
}

NewRequest read_request(RecordReader& record) {
  NewRequest request;
  request.id = record.get<std::uint64_t>();
  request.request_class = record.get<std::uint16_t>();
  request.tenant = record.get<std::uint16_t>();
  request.key = record.get<std::uint64_t>();
  request.deadline = record.get<double>();
  request.hint = record.get<double>();
  request.prefix_id = record.get<std::uint64_t>();
  request.prompt_tokens = record.get<float>();
  request.prefix_tokens = record.get<float>();
  request.output_cap = record.get<float>();
  const auto flags = record.get<std::uint8_t>();
  if ((flags & 1) == 0) request.hint = 0.0;
  request.is_retry = (flags & 2) != 0;
  request.is_write = (flags & 4) != 0;
  request.resumed = (flags & 16) != 0;
  return request;
}

FirstEvent read_first_event(RecordReader& record) {
  FirstEvent event;
  event.id = record.get<std::uint64_t>();
  event.attempt = record.get<std::uint16_t>();
  event.replica = record.replica();
  event.latency = record.get<double>();
  return event;
}

Outcome read_outcome(RecordReader& record) {
  const auto value = record.get<std::uint16_t>();
  if (value > 7) record.mark_invalid();
  return static_cast<Outcome>(value);
}

AttemptResult read_attempt_result(RecordReader& record) {
  AttemptResult result;
  result.id = record.get<std::uint64_t>();
  result.attempt = record.get<std::uint16_t>();
  result.replica = record.replica();
  result.outcome = read_outcome(record);
  result.latency = record.get<double>();
  result.closed = record.get<std::uint8_t>() != 0;
  result.cached_tokens = record.get<std::uint32_t>();
  result.report = record.report();
  return result;
}

HealthCheckResult read_health_check_result(RecordReader& record) {
  HealthCheckResult result;
  result.latency = record.get<double>();
  result.replica = record.replica();
  result.outcome = read_outcome(record);
  result.report = record.report();
  return result;
}

Provision read_provision(RecordReader& record) {
  Provision provision;
  provision.seed = record.get<std::uint64_t>();
  provision.boot_info = record.text(record.get<std::uint32_t>());
  return provision;
}

PeerMessage read_peer_message(RecordReader& record) {
  PeerMessage message;
  message.from = record.get<std::uint32_t>();
  message.bytes = record.text(record.get<std::uint16_t>());
  return message;
}

// Returns false for an unknown code.
bool read_record(std::uint8_t code, RecordReader& record, Event& event) {
  switch (code) {
    case 1:
      event = read_provision(record);
      return true;
    case 2:
      event = read_endpoint_list(record);
      return true;
    case 3:
      event = read_request(record);
      return true;
    case 4:
      event = read_first_event(record);
      return true;
    case 5:
      event = read_attempt_result(record);
      return true;
    case 6:
      event = ClientDisconnected{record.get<std::uint64_t>()};
      return true;
    case 7:
      event = TimerExpired{record.get<std::uint64_t>()};
      return true;
    case 8:
      event = read_health_check_result(record);
      return true;
    case 9:
      event = read_peer_message(record);
      return true;
    case 10:
      event = Detach{};
      return true;
    case 11:
      event = Instance{record.get<std::uint32_t>()};
      return true;
    default:
      return false;
  }
}

}  // namespace

BatchHeader parse_header(const std::uint8_t* bytes) {
  BatchHeader header;
  std::memcpy(&header.length, bytes, 4);
  std::memcpy(&header.clock, bytes + 4, 8);
  std::memcpy(&header.records, bytes + 12, 4);
  return header;
}

bool BatchReader::fail(std::string text) {
  error_ = "record " + std::to_string(records_read_) + ": " + std::move(text);
  return false;
}

bool BatchReader::next(Event& event) {
  if (!error_.empty()) return false;
  const auto remaining = static_cast<std::size_t>(end_ - position_);
  if (records_read_ == records_)
    return remaining == 0 ? false : fail(std::to_string(remaining) + " bytes after the last record");
  if (remaining < 5) return fail("the frame ends inside a record's head");
  const std::uint8_t code = position_[0];
  std::uint32_t length = 0;
  std::memcpy(&length, position_ + 1, 4);
  if (length > remaining - 5) return fail("its length " + std::to_string(length) + " overruns the frame");
  RecordReader record(position_ + 5, position_ + 5 + length);
  if (!read_record(code, record, event)) return fail("unknown code " + std::to_string(code));
  if (!record.ok()) return fail("code " + std::to_string(code) + " holds a count or value out of bounds");
  if (record.remaining() != 0) return fail("code " + std::to_string(code) + " has bytes to spare");
  position_ += 5 + length;
  ++records_read_;
  return true;
}

namespace {
template <typename T>
void put(std::string& out, T value) {
  char bytes[sizeof(T)];
  std::memcpy(bytes, &value, sizeof(T));
  out.append(bytes, sizeof(T));
}
void put_replica(std::string& out, ReplicaId id) {
  put(out, static_cast<std::uint32_t>(id >> 16));
  put(out, static_cast<std::uint16_t>(id & 0xffff));
}
}  // namespace

void ReplyWriter::begin(std::uint8_t code, std::uint32_t length) {
  if (written_instance_ != static_cast<std::int64_t>(instance_)) {
    written_instance_ = instance_;
    put(bytes_, std::uint8_t{78});
    put(bytes_, std::uint32_t{4});
    put(bytes_, instance_);
    ++records_;
  }
  put(bytes_, code);
  put(bytes_, length);
  ++records_;
}

void ReplyWriter::attempt(RequestId id, ReplicaId replica, double attempt_timeout) {
  begin(65, 22);
  put(bytes_, id);
  put_replica(bytes_, replica);
  put(bytes_, attempt_timeout);
}

void ReplyWriter::reject(RequestId id, double retry_after) {
  begin(66, 16);
  put(bytes_, id);
  put(bytes_, retry_after);
}

void ReplyWriter::fail(RequestId id) {
  begin(67, 8);
  put(bytes_, id);
}

void ReplyWriter::stop_attempt(RequestId id, std::uint16_t attempt) {
  begin(68, 10);
  put(bytes_, id);
  put(bytes_, attempt);
}

void ReplyWriter::set_timer(double span, std::uint64_t cookie) {
  begin(69, 16);
  put(bytes_, span);
  put(bytes_, cookie);
}

void ReplyWriter::subscribe(bool on) {
  begin(75, 1);
  put(bytes_, static_cast<std::uint8_t>(on ? 1 : 0));
}

void ReplyWriter::bail_out(std::string_view text) {
  text = text.substr(0, 1000);
  begin(74, static_cast<std::uint32_t>(2 + text.size()));
  put(bytes_, static_cast<std::uint16_t>(text.size()));
  bytes_.append(text);
}

const std::string& ReplyWriter::finish() {
  const auto length = static_cast<std::uint32_t>(bytes_.size() - 8);
  std::memcpy(bytes_.data(), &records_, 4);
  std::memcpy(bytes_.data() + 4, &length, 4);
  return bytes_;
}

void ReplyWriter::clear() {
  bytes_.resize(8);
  records_ = 0;
  written_instance_ = -1;
}

}  // namespace flintglade::policy::wire
