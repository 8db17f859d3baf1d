// Fuzzes the resolver with arbitrary DNS responses: it must not crash, its tables must stay within their
// bounds, and only targets from responses to its own queries are used. The first two bytes of each chunk of
// the input control how the chunk is delivered (datagram or stream piece, sender, delay) and its length. A
// control bit replaces the id with the expected one, so that the fuzzer gets past the id check.
#include <cstdint>
#include <cstdlib>
#include <map>
#include <string>

#include "dns/resolver.h"

namespace {

using namespace flintglade;
using namespace flintglade::dns;

struct FakeTransport final : Transport, ResolverListener {
  std::map<QueryId, std::pair<HostPort, bool>> open_queries;
  std::map<QueryId, std::string> query_messages;
  void send(QueryId id, const HostPort& server, std::string message) override {
    open_queries[id] = {server, false};
    query_messages[id] = std::move(message);
  }
  void open(QueryId id, const HostPort& server, std::string message) override {
    open_queries[id] = {server, true};
    query_messages[id] = message.substr(2);
  }
  void close(QueryId id) override {
    open_queries.erase(id);
    query_messages.erase(id);
  }
  void answered(const std::string&, const SrvAnswer& answer) override {
    for (const Target& t : answer.targets) {
      if (t.addresses.size() > 64) std::abort();
    }
  }
  void failed(const std::string&, const std::string&) override {}
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  FakeTransport transport;
  ResolverSettings settings;
  settings.servers = {{"127.0.0.1", 53}, {"127.0.0.2", 53}};
  settings.records = 64;
  settings.cache_entries = 64;
  settings.outstanding = 4;
  std::uint64_t random_state = 1;
  Resolver resolver(
      settings,
      [&random_state] {
        return random_state = random_state * 6364136223846793005ull + 1442695040888963407ull;
      },
      transport, transport);
  Micros now = core::kSecond;
  resolver.configure(now, settings, {"_m._tcp.hall.test"});
  resolver.wake(now);
  std::string_view remaining(reinterpret_cast<const char*>(data), size);
  while (remaining.size() > 3) {
    const unsigned char control = static_cast<unsigned char>(remaining[0]);
    const std::size_t length =
        std::min<std::size_t>(remaining.size() - 2, static_cast<unsigned char>(remaining[1]) * 4u);
    std::string bytes(remaining.substr(2, length));
    remaining.remove_prefix(2 + length);
    if (!transport.open_queries.empty()) {
      const auto [id, destination] =
          *std::next(transport.open_queries.begin(), control % transport.open_queries.size());
      const std::string query = transport.query_messages[id];
      if ((control & 0x10) != 0 && bytes.size() > 12 && query.size() > 12) {
        bytes[0] = query[0];
        bytes[1] = query[1];
        if ((control & 0x20) != 0)
          bytes = query.substr(0, 2) + bytes.substr(2, 10) + query.substr(12) + bytes.substr(12);
      }
      if (destination.second) {
        if ((control & 0x40) != 0)
          bytes.insert(0, {static_cast<char>(bytes.size() >> 8), static_cast<char>(bytes.size() & 0xff)});
        resolver.stream(now, id, bytes);
      } else {
        resolver.datagram(
            now, id,
            (control & 0x80) != 0 && (control & 7) == 0 ? HostPort{"127.0.0.9", 53} : destination.first,
            bytes);
      }
    }
    now += (control & 0x08) != 0 ? core::kSecond : core::kMilli;
    resolver.wake(now);
    if (resolver.cached() > settings.cache_entries + 1 || resolver.outstanding() > settings.outstanding ||
        transport.open_queries.size() > settings.outstanding)
      std::abort();
  }
  // Names and addresses from forged responses are bounded like any others, and responses from a wrong source
  // are discarded. So nothing is left once no name is configured.
  resolver.configure(now, settings, {});
  resolver.wake(now);
  if (resolver.cached() != 0 || !transport.open_queries.empty()) std::abort();
  return 0;
}
