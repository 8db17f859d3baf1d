// The resolver on stand-in sockets: time moves only when a test says so.
#include "dns/resolver.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <random>

#include "check.h"
#include "dns_records.h"

namespace {

using namespace flintglade;
using namespace flintglade::dns;
using core::kMilli;
using core::kSecond;
using flintglade::tests::record;

const std::string kName = "_m._tcp.hall.test.";

Record srv(const std::string& target, std::uint32_t ttl, std::uint16_t port = 80) {
  Record r = record(kName, Type::srv, target, ttl);
  r.port = port;
  r.weight = 1;
  return r;
}

struct World final : Transport, ResolverListener {
  struct Sent {
    HostPort server;
    Message query;
    bool tcp;
  };
  Micros now = kSecond;
  std::map<QueryId, Sent> open_;
  std::vector<Sent> sent;
  std::map<std::string, SrvAnswer> told;
  std::vector<std::string> failures;
  std::mt19937_64 random{5};
  ResolverSettings settings;
  Resolver resolver;
  // What servers say: by default the zone below, from each that is not down.
  std::function<bool(const Sent&, Message&)> serve;
  std::vector<Record> zone;
  bool down = false;

  explicit World(std::size_t servers = 2, ResolverSettings set = {})
      : settings(with(set, servers)),
        resolver(
            settings, [this] { return random(); }, *this, *this) {
    resolver.configure(now, settings, {"_m._TCP.hall.test"});
  }
  static ResolverSettings with(ResolverSettings s, std::size_t servers) {
    for (std::size_t i = 0; i < servers; ++i) s.servers.push_back({"127.0.0." + std::to_string(i + 1), 53});
    return s;
  }
  void send(QueryId id, const HostPort& server, std::string message) override {
    put(id, server, message, false);
  }
  void open(QueryId id, const HostPort& server, std::string framed) override {
    put(id, server, framed.substr(2), true);
  }
  void put(QueryId id, const HostPort& server, const std::string& message, bool tcp) {
    const auto query = decode(message, 10);
    CHECK(query && !query->answer);
    open_[id] = {server, *query, tcp};
    sent.push_back(open_[id]);
    CHECK(open_.size() <= settings.outstanding);
  }
  void close(QueryId id) override { open_.erase(id); }
  void answered(const std::string& name, const SrvAnswer& answer) override { told[name] = answer; }
  void failed(const std::string&, const std::string& why) override { failures.push_back(why); }

  Message reply(const Sent& s) const {
    Message m = s.query;
    m.answer = true;
    m.additional.clear();
    for (const Record& r : zone) {
      if (r.owner == m.question && (static_cast<std::uint16_t>(r.type) == m.asked || r.type == Type::cname))
        m.answers.push_back(r);
    }
    if (m.answers.empty()) {
      Record soa = record("hall.test.", Type::soa, "", 7);
      soa.minimum = 3;
      m.authority.push_back(soa);
    }
    return m;
  }
  void deliver(QueryId id, const Message& m) {
    const Sent s = open_.at(id);
    const std::string bytes = encode(m);
    if (s.tcp) {
      const std::string framed = {static_cast<char>(bytes.size() >> 8),
                                  static_cast<char>(bytes.size() & 0xff)};
      for (const char c : framed + bytes) resolver.stream(now, id, std::string_view(&c, 1));
    } else {
      resolver.datagram(now, id, s.server, bytes);
    }
  }
  void answer_all() {
    for (bool some = true; some;) {
      some = false;
      const auto ids = open_;
      for (const auto& [id, s] : ids) {
        if (open_.count(id) == 0) continue;
        Message m = reply(s);
        if (down || (serve && !serve(s, m))) continue;
        deliver(id, m);
        some = true;
      }
      resolver.wake(now);
    }
  }
  void pass(Micros span) {
    const Micros end = now + span;
    resolver.wake(now);
    answer_all();
    while (resolver.next_timer() <= end) {
      now = std::max(now + 1, resolver.next_timer());
      resolver.wake(now);
      answer_all();
    }
    now = end;
  }
  std::size_t asked(Type type) const {
    return static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), [type](const Sent& s) {
      return s.query.asked == static_cast<std::uint16_t>(type);
    }));
  }
  const SrvAnswer& last() { return told[kName]; }
};

void names_are_followed_for_their_lifetime() {
  World w;
  w.zone = {srv("h1.hall.test.", 60), srv("h2.hall.test.", 60),
            record("h1.hall.test.", Type::a, "10.0.0.1", 60),
            record("h2.hall.test.", Type::a, "10.0.0.2", 20)};
  w.pass(kSecond);
  CHECK(w.last().state == SrvAnswer::State::present && w.last().targets.size() == 2);
  CHECK(w.last().targets[0].addresses == std::vector<std::string>{"10.0.0.1"});
  CHECK(w.asked(Type::srv) == 1 && w.asked(Type::a) == 2 && w.asked(Type::aaaa) == 0);
  // h2's address is asked for once in 20 s, h1's once in 60.
  w.zone.push_back(record("h1.hall.test.", Type::aaaa, "2001:db8::1", 600));
  w.sent.clear();
  w.pass(59 * kSecond);
  CHECK(w.asked(Type::srv) == 1 && w.asked(Type::a) >= 3 && w.asked(Type::a) <= 5);
  // IPv4 is used where there is any: both at once would be one replica twice.
  CHECK(w.last().targets[0].addresses.size() == 1);
  w.zone.erase(w.zone.begin());  // h1 is left out
  w.pass(60 * kSecond);
  CHECK(w.last().targets.size() == 1 && w.last().targets[0].host == "h2.hall.test.");
  CHECK(w.resolver.cached() == 2);  // and nothing of it is kept
  // An IPv6 address is asked for where there is no other.
  w.zone = {srv("h1.hall.test.", 5), record("h1.hall.test.", Type::aaaa, "2001:db8::1", 5)};
  w.pass(70 * kSecond);
  CHECK(w.last().targets.size() == 1 &&
        w.last().targets[0].addresses == std::vector<std::string>{"2001:db8::1"});
}

void lifetimes_have_bounds() {
  ResolverSettings set;
  set.least_ttl = 2 * kSecond;
  set.most_ttl = 10 * kSecond;
  for (const std::uint32_t ttl : {0u, 0x80000000u, 0xffffffffu}) {
    World w(1, set);
    w.zone = {srv("h1.hall.test.", ttl), record("h1.hall.test.", Type::a, "10.0.0.1", 5)};
    w.pass(20 * kSecond);
    CHECK(w.asked(Type::srv) >= 9 && w.asked(Type::srv) <= 14);
  }
  World w(1, set);
  w.zone = {srv("h1.hall.test.", 0x7fffffff), record("h1.hall.test.", Type::a, "10.0.0.1", 5)};
  w.pass(30 * kSecond);
  CHECK(w.asked(Type::srv) >= 3 && w.asked(Type::srv) <= 5);
}

void what_expired_serves_while_servers_fail() {
  ResolverSettings set;
  set.stale = 100 * kSecond;
  World w(2, set);
  w.zone = {srv("h1.hall.test.", 5), record("h1.hall.test.", Type::a, "10.0.0.1", 5)};
  w.pass(kSecond);
  w.down = true;
  w.sent.clear();
  w.pass(60 * kSecond);
  const SrvAnswer held = w.resolver.answer(w.now, kName);
  CHECK(held.state == SrvAnswer::State::present && held.stale && held.targets[0].addresses.size() == 1);
  CHECK(!w.failures.empty());
  // No flood: a failing name is asked for every few seconds, its addresses not at all.
  CHECK(w.sent.size() < 80 && w.asked(Type::a) < 10);
  w.pass(60 * kSecond);
  CHECK(w.resolver.answer(w.now, kName).state == SrvAnswer::State::none);
  w.down = false;
  w.pass(6 * kSecond);
  CHECK(!w.resolver.answer(w.now, kName).stale && w.resolver.answer(w.now, kName).targets.size() == 1);
}

void a_failing_server_is_passed_over() {
  World w(3);
  w.zone = {srv("h1.hall.test.", 2), record("h1.hall.test.", Type::a, "10.0.0.1", 2)};
  w.serve = [](const World::Sent& s, Message& m) {
    if (s.server.host == "127.0.0.1") return false;                    // silent
    if (s.server.host == "127.0.0.2") m.rcode = 2, m.answers.clear();  // SERVFAIL
    return true;
  };
  w.pass(60 * kSecond);
  CHECK(w.last().state == SrvAnswer::State::present && w.failures.empty());
  std::map<std::string, int> by_server;
  for (const auto& s : w.sent) ++by_server[s.server.host];
  CHECK(by_server["127.0.0.3"] > 5 * by_server["127.0.0.1"] && by_server["127.0.0.1"] > 1);
}

void truncated_answers_come_over_tcp() {
  World w(1);
  w.zone = {srv("h1.hall.test.", 60), record("h1.hall.test.", Type::a, "10.0.0.1", 60)};
  w.serve = [](const World::Sent& s, Message& m) {
    if (!s.tcp) m.truncated = true, m.answers.clear(), m.authority.clear();
    return true;
  };
  w.pass(kSecond);
  CHECK(w.last().targets.size() == 1 && w.resolver.counters().truncated == 2 &&
        w.resolver.counters().tcp == 2);
  // One that is truncated over TCP too has failed.
  World t(1);
  t.zone = w.zone;
  t.serve = [](const World::Sent&, Message& m) { return m.truncated = true; };
  t.pass(5 * kSecond);
  CHECK(t.told.empty() && !t.failures.empty());
}

void lies_are_dropped() {
  World w(1);
  w.zone = {srv("h1.hall.test.", 60), record("h1.hall.test.", Type::a, "10.0.0.1", 60)};
  w.down = true;
  w.resolver.wake(w.now);
  CHECK(w.open_.size() == 1);
  const auto [id, s] = *w.open_.begin();
  Message lie = w.reply(s);
  lie.answers = {srv("evil.hall.test.", 3600, 666)};
  const std::string whole = encode(lie);
  w.resolver.datagram(w.now, id, {"127.0.0.9", 53}, whole);
  w.resolver.datagram(w.now, id, {s.server.host, 54}, whole);
  Message other = lie;
  other.id ^= 1;
  w.resolver.datagram(w.now, id, s.server, encode(other));
  other = lie;
  other.question = "_m._tcp.other.test.";
  w.resolver.datagram(w.now, id, s.server, encode(other));
  other = lie;
  other.asked = 1;
  w.resolver.datagram(w.now, id, s.server, encode(other));
  other = lie;
  other.answer = false;
  w.resolver.datagram(w.now, id, s.server, encode(other));
  w.resolver.datagram(w.now, id, s.server, whole.substr(0, 11));
  const ResolverCounters& c = w.resolver.counters();
  CHECK(c.wrong_source == 2 && c.wrong_id == 1 && c.wrong_question == 2 && c.no_answer == 1 &&
        c.malformed == 1);
  CHECK(w.open_.count(id) == 1 && c.answers == 0);
  // One more, and the question goes over TCP, where a guess is worth nothing.
  w.resolver.datagram(w.now, id, s.server, "x");
  CHECK(w.open_.count(id) == 0 && w.open_.size() == 1 && w.open_.begin()->second.tcp);
  w.down = false;
  w.pass(kSecond);
  CHECK(w.last().targets.size() == 1 && w.last().targets[0].port == 80);
}

void aliases_are_followed_and_end() {
  World w(1);
  Record far = srv("h1.hall.test.", 60);
  far.owner = "real.other.test.";
  w.zone = {record(kName, Type::cname, "real.other.test.", 60), far,
            record("h1.hall.test.", Type::cname, "h2.hall.test.", 60),
            record("h2.hall.test.", Type::a, "10.0.0.2", 60)};
  w.pass(kSecond);  // each link in a message of its own
  CHECK(w.last().targets.size() == 1 &&
        w.last().targets[0].addresses == std::vector<std::string>{"10.0.0.2"});
  World loop(1);
  loop.zone = {record(kName, Type::cname, "a.hall.test.", 1), record("a.hall.test.", Type::cname, kName, 1)};
  loop.pass(30 * kSecond);
  CHECK(loop.told.empty() && loop.sent.size() < 200 && loop.resolver.cached() <= 2);
}

void glue_counts_in_bailiwick_only() {
  World w(1);
  w.zone = {srv("h1.hall.test.", 60), srv("h1.other.test.", 60),
            record("h1.other.test.", Type::a, "10.0.0.9", 60),
            record("h1.hall.test.", Type::a, "10.0.0.1", 60)};
  w.serve = [](const World::Sent& s, Message& m) {
    if (s.query.asked == 33) {
      m.additional = {record("h1.hall.test.", Type::a, "10.0.0.1", 60),
                      record("h1.other.test.", Type::a, "10.6.6.6", 60),
                      record("unasked.hall.test.", Type::a, "10.6.6.6", 60)};
    }
    return true;
  };
  w.pass(kSecond);
  CHECK(w.last().targets.size() == 2 &&
        w.last().targets[1].addresses == std::vector<std::string>{"10.0.0.9"});
  CHECK(w.resolver.counters().glue_refused == 2 && w.asked(Type::a) == 1);
}

void negative_answers_are_kept_and_bounded() {
  World w(1);
  w.serve = [](const World::Sent&, Message& m) {
    m.rcode = 3;
    m.authority[0].ttl = m.authority[0].minimum = 86400;
    return true;
  };
  w.pass(29 * kSecond);
  CHECK(w.last().state == SrvAnswer::State::absent &&
        w.asked(Type::srv) <= 2);  // 30 s, whatever the SOA says
  w.zone = {srv(".", 5)};
  w.serve = nullptr;
  w.pass(30 * kSecond);
  CHECK(w.last().state == SrvAnswer::State::absent && w.last().why == "the service is not offered");
  // A server that only refers elsewhere does not say that there is nothing.
  World lame(1);
  lame.serve = [](const World::Sent&, Message& m) {
    m.authority = {record("hall.test.", Type::ns, "ns.hall.test.", 60)};
    return true;
  };
  lame.pass(3 * kSecond);
  CHECK(lame.told.empty() && !lame.failures.empty());
}

void servers_without_edns_are_asked_without() {
  World w(1);
  w.zone = {srv("h1.hall.test.", 2), record("h1.hall.test.", Type::a, "10.0.0.1", 2)};
  w.serve = [](const World::Sent& s, Message& m) {
    if (s.query.edns) m.rcode = 1, m.edns = false, m.answers.clear();
    return true;
  };
  w.pass(20 * kSecond);
  CHECK(w.last().targets.size() == 1 && w.failures.empty());
  CHECK(std::count_if(w.sent.begin(), w.sent.end(), [](const World::Sent& s) { return s.query.edns; }) <= 2);
}

void everything_is_bounded() {
  ResolverSettings set;
  set.outstanding = 4;
  set.cache_entries = 20;
  set.records = 30;
  World w(1, set);
  for (int i = 0; i < 500; ++i) {
    w.zone.push_back(srv("h" + std::to_string(i) + ".hall.test.", 5));
    w.zone.push_back(record("h" + std::to_string(i) + ".hall.test.", Type::a, "10.0.0.1", 5));
  }
  w.serve = [](const World::Sent& s, Message& m) {
    if (!s.tcp && encode(m).size() > 1232) m.truncated = true, m.answers.clear();
    return true;
  };
  w.pass(20 * kSecond);  // put() checks the cap on questions
  CHECK(w.last().targets.size() == 30 && w.resolver.cached() <= 20);
  CHECK(w.resolver.counters().records_left_out > 0);
  // Configured away, nothing is left.
  w.resolver.configure(w.now, w.settings, {});
  w.resolver.wake(w.now);
  CHECK(w.resolver.cached() == 0 && w.resolver.outstanding() == 0 && w.open_.empty());
}

void a_reload_keeps_what_is_cached() {
  World w(1);
  w.zone = {srv("h1.hall.test.", 60), record("h1.hall.test.", Type::a, "10.0.0.1", 60)};
  w.pass(kSecond);
  w.sent.clear();
  ResolverSettings other = w.settings;
  other.servers = {{"127.0.0.7", 53}};
  w.resolver.configure(w.now, other, {kName, "_n._tcp.hall.test"});
  w.pass(kSecond);
  for (const auto& s : w.sent) CHECK(s.server.host == "127.0.0.7");
  CHECK(w.resolver.answer(w.now, kName).targets.size() == 1 && w.asked(Type::srv) == 1);
  w.resolver.refresh(w.now, kName);
  w.pass(kSecond);
  CHECK(w.asked(Type::srv) == 2);
}

}  // namespace

int main() {
  const std::function<void()> tests[] = {names_are_followed_for_their_lifetime,
                                         lifetimes_have_bounds,
                                         what_expired_serves_while_servers_fail,
                                         a_failing_server_is_passed_over,
                                         truncated_answers_come_over_tcp,
                                         lies_are_dropped,
                                         aliases_are_followed_and_end,
                                         glue_counts_in_bailiwick_only,
                                         negative_answers_are_kept_and_bounded,
                                         servers_without_edns_are_asked_without,
                                         everything_is_bounded,
                                         a_reload_keeps_what_is_cached};
  for (const auto& test : tests) test();
  std::printf("%zu passed, 0 failed\n", std::size(tests));
}
