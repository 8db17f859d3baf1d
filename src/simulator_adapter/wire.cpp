#include "simulator_adapter/wire.h"

#include <bit>
#include <cstring>
#include <utility>

namespace flintglade::policy::wire {
namespace {

static_assert(std::endian::native == std::endian::little, "the frames are little-endian");

// Reads fields and never leaves its record; after the first overrun ok() stays false and all reads give 0.
class Fields {
 public:
  Fields(const std::uint8_t* at, const std::uint8_t* end) : at_(at), end_(end) {}
  template <typename T>
  T get() {
    T value{};
    if (!take(sizeof(T))) return value;
    std::memcpy(&value, at_ - sizeof(T), sizeof(T));
    return value;
  }
  ReplicaId replica() {
    const auto address = get<std::uint32_t>();
    return (static_cast<ReplicaId>(address) << 16) | get<std::uint16_t>();
  }
  std::string text(std::size_t length) {
    if (!take(length)) return {};
    return std::string(reinterpret_cast<const char*>(at_ - length), length);
  }
  std::vector<float> report() {
    std::vector<float> values;
    const std::size_t n = get<std::uint8_t>();
    for (std::size_t i = 0; i < n && ok_; ++i) values.push_back(get<float>());
    return values;
  }
  std::size_t left() const { return static_cast<std::size_t>(end_ - at_); }
  bool ok() const { return ok_; }
  void spoil() { ok_ = false; }

 private:
  bool take(std::size_t n) {
    if (!ok_ || n > left()) return ok_ = false;
    at_ += n;
    return true;
  }
  const std::uint8_t* at_;
  const std::uint8_t* end_;
  bool ok_ = true;
};

EndpointListChange read_list(Fields& f) {
  EndpointListChange list;
  const auto kind = f.get<std::uint8_t>();
  if (kind > 3) f.spoil();
  list.kind = static_cast<ListKind>(kind);
  list.version = f.get<std::uint32_t>();
  const std::size_t n = f.get<std::uint32_t>();
  constexpr std::size_t kEntry = 23;
  if (n > f.left() / kEntry) {  // checked before anything is set aside for the entries
    f.spoil();
    return list;
  }
  list.replicas.reserve(n);
  for (std::size_t i = 0; i < n; ++i) {
    Replica w;
    w.id = f.replica();
    w.zone = f.get<std::uint8_t>();
    w.kind = f.get<std::uint8_t>();
    w.cell = f.get<std::uint16_t>();
    const auto health = f.get<std::uint8_t>();
    if (health > 2) f.spoil();
    w.health = static_cast<Health>(health);
    w.size = f.get<float>();
    w.started_at = f.get<double>();
    list.replicas.push_back(w);
  }
  return list;
}

NewRequest read_query(Fields& f) {
  NewRequest q;
  q.id = f.get<std::uint64_t>();
  q.request_class = f.get<std::uint16_t>();
  q.tenant = f.get<std::uint16_t>();
  q.key = f.get<std::uint64_t>();
  q.deadline = f.get<double>();
  q.hint = f.get<double>();
  q.prefix_id = f.get<std::uint64_t>();
  q.prompt_tokens = f.get<float>();
  q.prefix_tokens = f.get<float>();
  q.output_cap = f.get<float>();
  const auto marks = f.get<std::uint8_t>();
  if ((marks & 1) == 0) q.hint = 0.0;
  q.is_retry = (marks & 2) != 0;
  q.is_write = (marks & 4) != 0;
  q.resumed = (marks & 16) != 0;
  return q;
}

FirstEvent read_accepted(Fields& f) {
  FirstEvent a;
  a.id = f.get<std::uint64_t>();
  a.attempt = f.get<std::uint16_t>();
  a.replica = f.replica();
  a.latency = f.get<double>();
  return a;
}

Outcome read_outcome(Fields& f) {
  const auto value = f.get<std::uint16_t>();
  if (value > 7) f.spoil();
  return static_cast<Outcome>(value);
}

AttemptResult read_response(Fields& f) {
  AttemptResult r;
  r.id = f.get<std::uint64_t>();
  r.attempt = f.get<std::uint16_t>();
  r.replica = f.replica();
  r.outcome = read_outcome(f);
  r.latency = f.get<double>();
  r.closed = f.get<std::uint8_t>() != 0;
  r.cached_tokens = f.get<std::uint32_t>();
  r.report = f.report();
  return r;
}

HealthCheckResult read_pong(Fields& f) {
  HealthCheckResult p;
  p.latency = f.get<double>();
  p.replica = f.replica();
  p.outcome = read_outcome(f);
  p.report = f.report();
  return p;
}

Provision read_provision(Fields& f) {
  Provision p;
  p.seed = f.get<std::uint64_t>();
  p.boot_info = f.text(f.get<std::uint32_t>());
  return p;
}

Peer read_peer(Fields& f) {
  Peer p;
  p.from = f.get<std::uint32_t>();
  p.bytes = f.text(f.get<std::uint16_t>());
  return p;
}

// Gives false for a code that the wire page does not know.
bool read_fields(std::uint8_t code, Fields& f, Event& event) {
  switch (code) {
    case 1:
      event = read_provision(f);
      return true;
    case 2:
      event = read_list(f);
      return true;
    case 3:
      event = read_query(f);
      return true;
    case 4:
      event = read_accepted(f);
      return true;
    case 5:
      event = read_response(f);
      return true;
    case 6:
      event = Gone{f.get<std::uint64_t>()};
      return true;
    case 7:
      event = Wake{f.get<std::uint64_t>()};
      return true;
    case 8:
      event = read_pong(f);
      return true;
    case 9:
      event = read_peer(f);
      return true;
    case 10:
      event = Detach{};
      return true;
    case 11:
      event = Instance{f.get<std::uint32_t>()};
      return true;
    default:
      return false;
  }
}

}  // namespace

BatchHeader parse_header(const std::uint8_t* bytes) {
  BatchHeader h;
  std::memcpy(&h.length, bytes, 4);
  std::memcpy(&h.clock, bytes + 4, 8);
  std::memcpy(&h.records, bytes + 12, 4);
  return h;
}

bool BatchReader::bad(std::string text) {
  error_ = "record " + std::to_string(seen_) + ": " + std::move(text);
  return false;
}

bool BatchReader::next(Event& event) {
  if (!error_.empty()) return false;
  const auto left = static_cast<std::size_t>(end_ - at_);
  if (seen_ == records_)
    return left == 0 ? false : bad(std::to_string(left) + " bytes after the last record");
  if (left < 5) return bad("the frame ends inside a record's head");
  const std::uint8_t code = at_[0];
  std::uint32_t length = 0;
  std::memcpy(&length, at_ + 1, 4);
  if (length > left - 5) return bad("its length " + std::to_string(length) + " overruns the frame");
  Fields fields(at_ + 5, at_ + 5 + length);
  if (!read_fields(code, fields, event)) return bad("unknown code " + std::to_string(code));
  if (!fields.ok()) return bad("code " + std::to_string(code) + " holds a count or value out of bounds");
  if (fields.left() != 0) return bad("code " + std::to_string(code) + " has bytes to spare");
  at_ += 5 + length;
  ++seen_;
  return true;
}

namespace {
template <typename T>
void put(std::string& out, T value) {
  char raw[sizeof(T)];
  std::memcpy(raw, &value, sizeof(T));
  out.append(raw, sizeof(T));
}
void put_worker(std::string& out, ReplicaId id) {
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
  put_worker(bytes_, replica);
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
