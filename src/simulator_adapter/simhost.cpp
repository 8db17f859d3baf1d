// The adapter: hosts many isolated Balancer instances behind the simulator's pipe. It decides nothing.
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
  // Handles one batch; gives an empty string, or one line that says what was wrong.
  std::string batch(double clock, const std::uint8_t* bytes, std::size_t size, std::uint32_t records) {
    wire::BatchReader reader(bytes, size, records);
    clock_ = clock;
    current_ = instances_.end();
    addressed_ = false;
    while (error_.empty() && reader.next(event_)) {
      std::visit([this](auto& e) { handle(e); }, event_);
    }
    return error_.empty() ? reader.error() : error_;
  }
  wire::ReplyWriter& reply() { return reply_; }

 private:
  Balancer* balancer() {
    if (current_ != instances_.end()) return &current_->second;
    if (error_.empty())
      error_ = addressed_ ? "an event for an instance that was not started" : "an event before INSTANCE";
    return nullptr;
  }
  void handle(const wire::Instance& e) {
    index_ = e.index;
    addressed_ = true;
    current_ = instances_.find(index_);
    reply_.set_instance(index_);
  }
  void handle(const wire::Provision& e) {
    if (!addressed_) {
      error_ = "PROVISION before INSTANCE";
      return;
    }
    Settings settings;
    error_ = parse_boot_info(e.boot_info, settings);
    if (!error_.empty()) return;
    instances_.erase(index_);
    current_ = instances_.emplace(index_, Balancer(std::move(settings), e.seed, clock_)).first;
  }
  void handle(const wire::Detach&) {
    instances_.erase(index_);
    current_ = instances_.end();
  }
  void handle(const EndpointListChange& e) {
    if (auto* b = balancer()) b->on_endpoint_list(clock_, e, reply_);
  }
  void handle(const NewRequest& e) {
    if (auto* b = balancer()) b->on_request(clock_, e, reply_);
  }
  void handle(const FirstEvent& e) {
    if (auto* b = balancer()) b->on_first_event(clock_, e, reply_);
  }
  void handle(const AttemptResult& e) {
    if (auto* b = balancer()) b->on_attempt_result(clock_, e, reply_);
  }
  void handle(const wire::Gone& e) {
    if (auto* b = balancer()) b->on_client_disconnected(clock_, e.id, reply_);
  }
  void handle(const wire::Wake& e) {
    if (auto* b = balancer()) b->on_timer(clock_, e.cookie, reply_);
  }
  void handle(const HealthCheckResult& e) {
    if (auto* b = balancer()) b->on_health_check_result(clock_, e, reply_);
  }
  void handle(const wire::Peer& e) {
    if (auto* b = balancer()) b->on_gossip(clock_, e.from, e.bytes, reply_);
  }

  std::map<std::uint32_t, Balancer> instances_;
  std::map<std::uint32_t, Balancer>::iterator current_ = instances_.end();
  std::uint32_t index_ = 0;
  bool addressed_ = false;
  double clock_ = 0.0;
  wire::Event event_;
  wire::ReplyWriter reply_;
  std::string error_;
};

int diagnose(const std::string& text) {
  std::fprintf(stderr, "flintglade_simhost: %s\n", text.c_str());
  return 1;
}

// Reads in pieces, so that a length nobody follows up on takes no memory. Gives the number of bytes read.
std::size_t read_body(std::vector<std::uint8_t>& body, std::size_t length) {
  constexpr std::size_t kPiece = 1 << 20;
  std::size_t have = 0;
  while (have < length) {
    const std::size_t want = std::min(kPiece, length - have);
    if (body.size() < have + want) body.resize(have + want);
    const std::size_t got = std::fread(body.data() + have, 1, want, stdin);
    have += got;
    if (got < want) break;
  }
  return have;
}

}  // namespace

int main() {
  Host host;
  std::vector<std::uint8_t> body;
  std::uint8_t head[wire::kBatchHeader];
  while (true) {
    const std::size_t got = std::fread(head, 1, sizeof head, stdin);
    if (got == 0) return 0;
    if (got < sizeof head) return diagnose("the input ends inside a frame's header");
    const wire::BatchHeader header = wire::parse_header(head);
    if (header.length > wire::kMaxFrame)
      return diagnose("a frame of " + std::to_string(header.length) + " bytes");
    if (read_body(body, header.length) < header.length) return diagnose("the input ends inside a frame");
    const std::string error = host.batch(header.clock, body.data(), header.length, header.records);
    if (!error.empty()) host.reply().bail_out(error);
    const std::string& frame = host.reply().finish();
    if (std::fwrite(frame.data(), 1, frame.size(), stdout) != frame.size() || std::fflush(stdout) != 0) {
      return diagnose("the reply could not be written");
    }
    if (!error.empty()) return diagnose(error);
    host.reply().clear();
  }
}
