// Runs many independent Balancer instances for the simulator, which sends batches of events to standard input
// and reads the replies from standard output. Contains no decision logic.
#include <cstdio>
#include <cstring>
#include <map>
#include <string>
#include <vector>

#include "flintglade/policy/balancer.h"
#include "simulator_adapter/boot_info.h"
#include "simulator_adapter/wire.h"

namespace {

using namespace flintglade::policy;

class Host {
 public:
  // Handles one batch. Returns an empty string or an error message of one line.
  std::string handle_batch(double clock, const std::uint8_t* bytes, std::size_t size, std::uint32_t records) {
    wire::BatchReader reader(bytes, size, records);
    clock_ = clock;
    current_ = instances_.end();
    instance_selected_ = false;
    while (error_.empty() && reader.next(event_)) {
      std::visit([this](auto& event) { handle(event); }, event_);
    }
    return error_.empty() ? reader.error() : error_;
  }
  wire::ReplyWriter& reply() { return reply_; }

 private:
  Balancer* balancer() {
    if (current_ != instances_.end()) return &current_->second;
    if (error_.empty())
      error_ =
          instance_selected_ ? "an event for an instance that was not started" : "an event before INSTANCE";
    return nullptr;
  }
  void handle(const wire::Instance& event) {
    index_ = event.index;
    instance_selected_ = true;
    current_ = instances_.find(index_);
    reply_.set_instance(index_);
  }
  void handle(const wire::Provision& event) {
    if (!instance_selected_) {
      error_ = "PROVISION before INSTANCE";
      return;
    }
    Settings settings;
    error_ = parse_boot_info(event.boot_info, settings);
    if (!error_.empty()) return;
    instances_.erase(index_);
    current_ = instances_.emplace(index_, Balancer(std::move(settings), event.seed, clock_)).first;
  }
  void handle(const wire::Detach&) {
    instances_.erase(index_);
    current_ = instances_.end();
  }
  void handle(const EndpointListChange& event) {
    if (auto* instance = balancer()) instance->on_endpoint_list(clock_, event, reply_);
  }
  void handle(const NewRequest& event) {
    if (auto* instance = balancer()) instance->on_request(clock_, event, reply_);
  }
  void handle(const FirstEvent& event) {
    if (auto* instance = balancer()) instance->on_first_event(clock_, event, reply_);
  }
  void handle(const AttemptResult& event) {
    if (auto* instance = balancer()) instance->on_attempt_result(clock_, event, reply_);
  }
  void handle(const wire::ClientDisconnected& event) {
    if (auto* instance = balancer()) instance->on_client_disconnected(clock_, event.id, reply_);
  }
  void handle(const wire::TimerExpired& event) {
    if (auto* instance = balancer()) instance->on_timer(clock_, event.cookie, reply_);
  }
  void handle(const HealthCheckResult& event) {
    if (auto* instance = balancer()) instance->on_health_check_result(clock_, event, reply_);
  }
  void handle(const wire::PeerMessage& event) {
    if (auto* instance = balancer()) instance->on_gossip(clock_, event.from, event.bytes, reply_);
  }

  std::map<std::uint32_t, Balancer> instances_;
  std::map<std::uint32_t, Balancer>::iterator current_ = instances_.end();
  std::uint32_t index_ = 0;
  bool instance_selected_ = false;
  double clock_ = 0.0;
  wire::Event event_;
  wire::ReplyWriter reply_;
  std::string error_;
};

int diagnose(const std::string& text) {
  std::fprintf(stderr, "flintglade_simhost: %s\n", text.c_str());
  return 1;
}

// Reads in chunks, so that a header with a large length that no data follows does not allocate that much
// memory. Returns the number of bytes read.
std::size_t read_body(std::vector<std::uint8_t>& body, std::size_t length) {
  constexpr std::size_t kChunkSize = 1 << 20;
  std::size_t total = 0;
  while (total < length) {
    const std::size_t chunk = std::min(kChunkSize, length - total);
    if (body.size() < total + chunk) body.resize(total + chunk);
    const std::size_t received = std::fread(body.data() + total, 1, chunk, stdin);
    total += received;
    if (received < chunk) break;
  }
  return total;
}

}  // namespace

int main() {
  Host host;
  std::vector<std::uint8_t> body;
  std::uint8_t header_bytes[wire::kBatchHeaderSize];
  while (true) {
    const std::size_t received = std::fread(header_bytes, 1, sizeof header_bytes, stdin);
    if (received == 0) return 0;
    if (received < sizeof header_bytes) return diagnose("the input ends inside a frame's header");
    const wire::BatchHeader header = wire::parse_header(header_bytes);
    if (header.length > wire::kMaxFrameSize)
      return diagnose("a frame of " + std::to_string(header.length) + " bytes is larger than the limit of " +
                      std::to_string(wire::kMaxFrameSize) + " bytes");
    if (read_body(body, header.length) < header.length) return diagnose("the input ends inside a frame");
    const std::string error = host.handle_batch(header.clock, body.data(), header.length, header.records);
    if (!error.empty()) host.reply().bail_out(error);
    const std::string& frame = host.reply().finish();
    if (std::fwrite(frame.data(), 1, frame.size(), stdout) != frame.size() || std::fflush(stdout) != 0) {
      return diagnose("the reply could not be written");
    }
    if (!error.empty()) return diagnose(error);
    host.reply().clear();
  }
}
