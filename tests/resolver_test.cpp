// Tests of the DNS resolver on stand-in sockets. Time advances only through ResolverFixture::advance().
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

struct ResolverFixture final : Transport, ResolverListener {
  struct SentQuery {
    HostPort server;
    Message query;
    bool tcp;
  };
  Micros now = kSecond;
  std::map<QueryId, SentQuery> open_queries;
  std::vector<SentQuery> sent;
  std::map<std::string, SrvAnswer> answers_by_name;
  std::vector<std::string> failures;
  std::mt19937_64 random{5};
  ResolverSettings settings;
  Resolver resolver;
  // Changes the response, or returns false to send none. Unset: all servers answer from `zone`.
  std::function<bool(const SentQuery&, Message&)> server_behavior;
  std::vector<Record> zone;
  bool servers_down = false;  // no server answers

  explicit ResolverFixture(std::size_t servers = 2, ResolverSettings base = {})
      : settings(with_servers(base, servers)),
        resolver(
            settings, [this] { return random(); }, *this, *this) {
    resolver.configure(now, settings, {"_m._TCP.hall.test"});
  }
  static ResolverSettings with_servers(ResolverSettings settings, std::size_t servers) {
    for (std::size_t i = 0; i < servers; ++i)
      settings.servers.push_back({"127.0.0." + std::to_string(i + 1), 53});
    return settings;
  }
  void send(QueryId id, const HostPort& server, std::string message) override {
    add_query(id, server, message, false);
  }
  void open(QueryId id, const HostPort& server, std::string framed) override {
    add_query(id, server, framed.substr(2), true);
  }
  void add_query(QueryId id, const HostPort& server, const std::string& message, bool tcp) {
    const auto query = decode(message, 10);
    CHECK(query && !query->is_response);
    open_queries[id] = {server, *query, tcp};
    sent.push_back(open_queries[id]);
    CHECK(open_queries.size() <= settings.outstanding);
  }
  void close(QueryId id) override { open_queries.erase(id); }
  void answered(const std::string& name, const SrvAnswer& answer) override { answers_by_name[name] = answer; }
  void failed(const std::string&, const std::string& why) override { failures.push_back(why); }

  Message reply(const SentQuery& sent_query) const {
    Message response = sent_query.query;
    response.is_response = true;
    response.additional.clear();
    for (const Record& r : zone) {
      if (r.owner == response.question_name &&
          (static_cast<std::uint16_t>(r.type) == response.question_type || r.type == Type::cname))
        response.answers.push_back(r);
    }
    if (response.answers.empty()) {
      Record soa = record("hall.test.", Type::soa, "", 7);
      soa.minimum = 3;
      response.authority.push_back(soa);
    }
    return response;
  }
  void deliver(QueryId id, const Message& response) {
    const SentQuery sent_query = open_queries.at(id);
    const std::string bytes = encode(response);
    if (sent_query.tcp) {
      const std::string framed = {static_cast<char>(bytes.size() >> 8),
                                  static_cast<char>(bytes.size() & 0xff)};
      for (const char c : framed + bytes) resolver.stream(now, id, std::string_view(&c, 1));
    } else {
      resolver.datagram(now, id, sent_query.server, bytes);
    }
  }
  void answer_open_queries() {
    for (bool any_answered = true; any_answered;) {
      any_answered = false;
      const auto ids = open_queries;
      for (const auto& [id, sent_query] : ids) {
        if (open_queries.count(id) == 0) continue;
        Message response = reply(sent_query);
        if (servers_down || (server_behavior && !server_behavior(sent_query, response))) continue;
        deliver(id, response);
        any_answered = true;
      }
      resolver.wake(now);
    }
  }
  void advance(Micros duration) {
    const Micros end = now + duration;
    resolver.wake(now);
    answer_open_queries();
    while (resolver.next_timer() <= end) {
      now = std::max(now + 1, resolver.next_timer());
      resolver.wake(now);
      answer_open_queries();
    }
    now = end;
  }
  std::size_t query_count(Type type) const {
    return static_cast<std::size_t>(
        std::count_if(sent.begin(), sent.end(), [type](const SentQuery& sent_query) {
          return sent_query.query.question_type == static_cast<std::uint16_t>(type);
        }));
  }
  const SrvAnswer& last_answer() { return answers_by_name[kName]; }
};

void answers_are_refreshed_when_their_ttl_ends() {
  ResolverFixture fixture;
  fixture.zone = {srv("h1.hall.test.", 60), srv("h2.hall.test.", 60),
                  record("h1.hall.test.", Type::a, "10.0.0.1", 60),
                  record("h2.hall.test.", Type::a, "10.0.0.2", 20)};
  fixture.advance(kSecond);
  CHECK(fixture.last_answer().state == SrvAnswer::State::present &&
        fixture.last_answer().targets.size() == 2);
  CHECK(fixture.last_answer().targets[0].addresses == std::vector<std::string>{"10.0.0.1"});
  CHECK(fixture.query_count(Type::srv) == 1 && fixture.query_count(Type::a) == 2 &&
        fixture.query_count(Type::aaaa) == 0);
  // h2's address is queried about every 20 s, h1's about every 60 s.
  fixture.zone.push_back(record("h1.hall.test.", Type::aaaa, "2001:db8::1", 600));
  fixture.sent.clear();
  fixture.advance(59 * kSecond);
  CHECK(fixture.query_count(Type::srv) == 1 && fixture.query_count(Type::a) >= 3 &&
        fixture.query_count(Type::a) <= 5);
  // IPv6 is not used beside IPv4: one replica would count as two.
  CHECK(fixture.last_answer().targets[0].addresses.size() == 1);
  fixture.zone.erase(fixture.zone.begin());  // removes h1
  fixture.advance(60 * kSecond);
  CHECK(fixture.last_answer().targets.size() == 1 &&
        fixture.last_answer().targets[0].host == "h2.hall.test.");
  CHECK(fixture.resolver.cached() == 2);  // no entries for h1 are left
  // IPv6 addresses are queried if there are no IPv4 addresses.
  fixture.zone = {srv("h1.hall.test.", 5), record("h1.hall.test.", Type::aaaa, "2001:db8::1", 5)};
  fixture.advance(70 * kSecond);
  CHECK(fixture.last_answer().targets.size() == 1 &&
        fixture.last_answer().targets[0].addresses == std::vector<std::string>{"2001:db8::1"});
}

void ttls_are_clamped() {
  ResolverSettings settings;
  settings.least_ttl = 2 * kSecond;
  settings.most_ttl = 10 * kSecond;
  for (const std::uint32_t ttl : {0u, 0x80000000u, 0xffffffffu}) {
    ResolverFixture fixture(1, settings);
    fixture.zone = {srv("h1.hall.test.", ttl), record("h1.hall.test.", Type::a, "10.0.0.1", 5)};
    fixture.advance(20 * kSecond);
    CHECK(fixture.query_count(Type::srv) >= 9 && fixture.query_count(Type::srv) <= 14);
  }
  ResolverFixture fixture(1, settings);
  fixture.zone = {srv("h1.hall.test.", 0x7fffffff), record("h1.hall.test.", Type::a, "10.0.0.1", 5)};
  fixture.advance(30 * kSecond);
  CHECK(fixture.query_count(Type::srv) >= 3 && fixture.query_count(Type::srv) <= 5);
}

void expired_answers_are_served_while_servers_fail() {
  ResolverSettings settings;
  settings.stale = 100 * kSecond;
  ResolverFixture fixture(2, settings);
  fixture.zone = {srv("h1.hall.test.", 5), record("h1.hall.test.", Type::a, "10.0.0.1", 5)};
  fixture.advance(kSecond);
  fixture.servers_down = true;
  fixture.sent.clear();
  fixture.advance(60 * kSecond);
  const SrvAnswer answer = fixture.resolver.answer(fixture.now, kName);
  CHECK(answer.state == SrvAnswer::State::present && answer.stale && answer.targets[0].addresses.size() == 1);
  CHECK(!fixture.failures.empty());
  // Backoff: a failing SRV name is queried every few seconds, its addresses are not queried.
  CHECK(fixture.sent.size() < 80 && fixture.query_count(Type::a) < 10);
  fixture.advance(60 * kSecond);
  CHECK(fixture.resolver.answer(fixture.now, kName).state == SrvAnswer::State::none);
  fixture.servers_down = false;
  fixture.advance(6 * kSecond);
  CHECK(!fixture.resolver.answer(fixture.now, kName).stale &&
        fixture.resolver.answer(fixture.now, kName).targets.size() == 1);
}

void failing_servers_get_fewer_queries() {
  ResolverFixture fixture(3);
  fixture.zone = {srv("h1.hall.test.", 2), record("h1.hall.test.", Type::a, "10.0.0.1", 2)};
  fixture.server_behavior = [](const ResolverFixture::SentQuery& sent_query, Message& response) {
    if (sent_query.server.host == "127.0.0.1") return false;  // does not answer
    if (sent_query.server.host == "127.0.0.2") response.rcode = 2, response.answers.clear();  // SERVFAIL
    return true;
  };
  fixture.advance(60 * kSecond);
  CHECK(fixture.last_answer().state == SrvAnswer::State::present && fixture.failures.empty());
  std::map<std::string, int> by_server;
  for (const auto& sent_query : fixture.sent) ++by_server[sent_query.server.host];
  CHECK(by_server["127.0.0.3"] > 5 * by_server["127.0.0.1"] && by_server["127.0.0.1"] > 1);
}

void truncated_responses_are_repeated_over_tcp() {
  ResolverFixture fixture(1);
  fixture.zone = {srv("h1.hall.test.", 60), record("h1.hall.test.", Type::a, "10.0.0.1", 60)};
  fixture.server_behavior = [](const ResolverFixture::SentQuery& sent_query, Message& response) {
    if (!sent_query.tcp) response.truncated = true, response.answers.clear(), response.authority.clear();
    return true;
  };
  fixture.advance(kSecond);
  CHECK(fixture.last_answer().targets.size() == 1 && fixture.resolver.counters().truncated == 2 &&
        fixture.resolver.counters().tcp == 2);
  // A response that is truncated over TCP as well is a failure.
  ResolverFixture always_truncated(1);
  always_truncated.zone = fixture.zone;
  always_truncated.server_behavior = [](const ResolverFixture::SentQuery&, Message& response) {
    return response.truncated = true;
  };
  always_truncated.advance(5 * kSecond);
  CHECK(always_truncated.answers_by_name.empty() && !always_truncated.failures.empty());
}

void forged_datagrams_are_dropped() {
  ResolverFixture fixture(1);
  fixture.zone = {srv("h1.hall.test.", 60), record("h1.hall.test.", Type::a, "10.0.0.1", 60)};
  fixture.servers_down = true;
  fixture.resolver.wake(fixture.now);
  CHECK(fixture.open_queries.size() == 1);
  const auto [id, sent_query] = *fixture.open_queries.begin();
  Message forged = fixture.reply(sent_query);
  forged.answers = {srv("evil.hall.test.", 3600, 666)};
  const std::string bytes = encode(forged);
  fixture.resolver.datagram(fixture.now, id, {"127.0.0.9", 53}, bytes);
  fixture.resolver.datagram(fixture.now, id, {sent_query.server.host, 54}, bytes);
  Message other = forged;
  other.id ^= 1;
  fixture.resolver.datagram(fixture.now, id, sent_query.server, encode(other));
  other = forged;
  other.question_name = "_m._tcp.other.test.";
  fixture.resolver.datagram(fixture.now, id, sent_query.server, encode(other));
  other = forged;
  other.question_type = 1;
  fixture.resolver.datagram(fixture.now, id, sent_query.server, encode(other));
  other = forged;
  other.is_response = false;
  fixture.resolver.datagram(fixture.now, id, sent_query.server, encode(other));
  fixture.resolver.datagram(fixture.now, id, sent_query.server, bytes.substr(0, 11));
  const ResolverCounters& counters = fixture.resolver.counters();
  CHECK(counters.wrong_source == 2 && counters.wrong_id == 1 && counters.wrong_question == 2 &&
        counters.no_answer == 1 && counters.malformed == 1);
  CHECK(fixture.open_queries.count(id) == 1 && counters.answers == 0);
  // After one more, the query is repeated over TCP, where responses cannot be forged blindly.
  fixture.resolver.datagram(fixture.now, id, sent_query.server, "x");
  CHECK(fixture.open_queries.count(id) == 0 && fixture.open_queries.size() == 1 &&
        fixture.open_queries.begin()->second.tcp);
  fixture.servers_down = false;
  fixture.advance(kSecond);
  CHECK(fixture.last_answer().targets.size() == 1 && fixture.last_answer().targets[0].port == 80);
}

void cname_chains_are_followed_and_bounded() {
  ResolverFixture fixture(1);
  Record remote = srv("h1.hall.test.", 60);
  remote.owner = "real.other.test.";
  fixture.zone = {record(kName, Type::cname, "real.other.test.", 60), remote,
                  record("h1.hall.test.", Type::cname, "h2.hall.test.", 60),
                  record("h2.hall.test.", Type::a, "10.0.0.2", 60)};
  fixture.advance(kSecond);  // each link in a response of its own
  CHECK(fixture.last_answer().targets.size() == 1 &&
        fixture.last_answer().targets[0].addresses == std::vector<std::string>{"10.0.0.2"});
  ResolverFixture loop(1);
  loop.zone = {record(kName, Type::cname, "a.hall.test.", 1), record("a.hall.test.", Type::cname, kName, 1)};
  loop.advance(30 * kSecond);
  CHECK(loop.answers_by_name.empty() && loop.sent.size() < 200 && loop.resolver.cached() <= 2);
}

void glue_outside_the_queried_domain_is_refused() {
  ResolverFixture fixture(1);
  fixture.zone = {srv("h1.hall.test.", 60), srv("h1.other.test.", 60),
                  record("h1.other.test.", Type::a, "10.0.0.9", 60),
                  record("h1.hall.test.", Type::a, "10.0.0.1", 60)};
  fixture.server_behavior = [](const ResolverFixture::SentQuery& sent_query, Message& response) {
    if (sent_query.query.question_type == 33) {
      response.additional = {record("h1.hall.test.", Type::a, "10.0.0.1", 60),
                             record("h1.other.test.", Type::a, "10.6.6.6", 60),
                             record("unasked.hall.test.", Type::a, "10.6.6.6", 60)};
    }
    return true;
  };
  fixture.advance(kSecond);
  CHECK(fixture.last_answer().targets.size() == 2 &&
        fixture.last_answer().targets[1].addresses == std::vector<std::string>{"10.0.0.9"});
  CHECK(fixture.resolver.counters().glue_refused == 2 && fixture.query_count(Type::a) == 1);
}

void negative_answers_are_cached_for_a_bounded_time() {
  ResolverFixture fixture(1);
  fixture.server_behavior = [](const ResolverFixture::SentQuery&, Message& response) {
    response.rcode = 3;
    response.authority[0].ttl = response.authority[0].minimum = 86400;
    return true;
  };
  fixture.advance(29 * kSecond);
  CHECK(fixture.last_answer().state == SrvAnswer::State::absent &&
        fixture.query_count(Type::srv) <= 2);  // for 30 s, although the SOA record allows a day
  fixture.zone = {srv(".", 5)};
  fixture.server_behavior = nullptr;
  fixture.advance(30 * kSecond);
  CHECK(fixture.last_answer().state == SrvAnswer::State::absent &&
        fixture.last_answer().why == "the service is not offered");
  // A referral is a failure, not a negative answer.
  ResolverFixture referring(1);
  referring.server_behavior = [](const ResolverFixture::SentQuery&, Message& response) {
    response.authority = {record("hall.test.", Type::ns, "ns.hall.test.", 60)};
    return true;
  };
  referring.advance(3 * kSecond);
  CHECK(referring.answers_by_name.empty() && !referring.failures.empty());
}

void servers_without_edns_get_queries_without_it() {
  ResolverFixture fixture(1);
  fixture.zone = {srv("h1.hall.test.", 2), record("h1.hall.test.", Type::a, "10.0.0.1", 2)};
  fixture.server_behavior = [](const ResolverFixture::SentQuery& sent_query, Message& response) {
    if (sent_query.query.edns) response.rcode = 1, response.edns = false, response.answers.clear();
    return true;
  };
  fixture.advance(20 * kSecond);
  CHECK(fixture.last_answer().targets.size() == 1 && fixture.failures.empty());
  CHECK(std::count_if(fixture.sent.begin(), fixture.sent.end(),
                      [](const ResolverFixture::SentQuery& sent_query) { return sent_query.query.edns; }) <=
        2);
}

void queries_records_and_cache_are_bounded() {
  ResolverSettings settings;
  settings.outstanding = 4;
  settings.cache_entries = 20;
  settings.records = 30;
  ResolverFixture fixture(1, settings);
  for (int i = 0; i < 500; ++i) {
    fixture.zone.push_back(srv("h" + std::to_string(i) + ".hall.test.", 5));
    fixture.zone.push_back(record("h" + std::to_string(i) + ".hall.test.", Type::a, "10.0.0.1", 5));
  }
  fixture.server_behavior = [](const ResolverFixture::SentQuery& sent_query, Message& response) {
    if (!sent_query.tcp && encode(response).size() > 1232)
      response.truncated = true, response.answers.clear();
    return true;
  };
  fixture.advance(20 * kSecond);  // add_query() checks the limit on queries in flight
  CHECK(fixture.last_answer().targets.size() == 30 && fixture.resolver.cached() <= 20);
  CHECK(fixture.resolver.counters().records_left_out > 0);
  // Without watched names, neither cache entries nor queries are left.
  fixture.resolver.configure(fixture.now, fixture.settings, {});
  fixture.resolver.wake(fixture.now);
  CHECK(fixture.resolver.cached() == 0 && fixture.resolver.outstanding() == 0 &&
        fixture.open_queries.empty());
}

void a_reload_keeps_cached_answers() {
  ResolverFixture fixture(1);
  fixture.zone = {srv("h1.hall.test.", 60), record("h1.hall.test.", Type::a, "10.0.0.1", 60)};
  fixture.advance(kSecond);
  fixture.sent.clear();
  ResolverSettings other = fixture.settings;
  other.servers = {{"127.0.0.7", 53}};
  fixture.resolver.configure(fixture.now, other, {kName, "_n._tcp.hall.test"});
  fixture.advance(kSecond);
  for (const auto& sent_query : fixture.sent) CHECK(sent_query.server.host == "127.0.0.7");
  CHECK(fixture.resolver.answer(fixture.now, kName).targets.size() == 1 &&
        fixture.query_count(Type::srv) == 1);
  fixture.resolver.refresh(fixture.now, kName);
  fixture.advance(kSecond);
  CHECK(fixture.query_count(Type::srv) == 2);
}

}  // namespace

int main() {
  const std::function<void()> tests[] = {
      answers_are_refreshed_when_their_ttl_ends,      ttls_are_clamped,
      expired_answers_are_served_while_servers_fail,  failing_servers_get_fewer_queries,
      truncated_responses_are_repeated_over_tcp,      forged_datagrams_are_dropped,
      cname_chains_are_followed_and_bounded,          glue_outside_the_queried_domain_is_refused,
      negative_answers_are_cached_for_a_bounded_time, servers_without_edns_get_queries_without_it,
      queries_records_and_cache_are_bounded,          a_reload_keeps_cached_answers};
  for (const auto& test : tests) test();
  std::printf("%zu passed, 0 failed\n", std::size(tests));
}
