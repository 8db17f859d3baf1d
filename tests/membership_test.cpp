// Tests EndpointMerger against the clauses of the merge rule (docs/membership.md), by examples and by random
// histories.
#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <set>

#include "check.h"
#include "endpoint_sources/endpoint_merger.h"
#include "endpoint_sources/source_settings.h"
#include "flintglade/policy/balancer.h"

namespace {

using namespace flintglade;
using namespace flintglade::endpoint_sources;
using core::EndpointListUpdate;
using core::kSecond;
using flintglade::policy::ListKind;

std::string address(int n) { return "10.0.0." + std::to_string(n) + ":8000"; }

core::Endpoint entry(std::uint64_t uid, int at, Health health, double started_at = 0.0) {
  core::Endpoint e;
  e.replica.id = uid;
  e.replica.health = health;
  e.replica.started_at = started_at;
  e.address = address(at);
  return e;
}
EndpointListUpdate list(ListKind kind, std::uint32_t version, std::vector<core::Endpoint> entries) {
  EndpointListUpdate update;
  update.kind = kind;
  update.version = version;
  update.entries = std::move(entries);
  return update;
}
DnsAddress dns_address(int n, int priority = 0, int weight = 1) {
  return {address(n), "h" + std::to_string(n) + ".", static_cast<std::uint16_t>(priority),
          static_cast<std::uint16_t>(weight)};
}
ResolvedAddresses dns_answer(std::initializer_list<int> addresses) {
  ResolvedAddresses answer;
  for (int n : addresses) answer.addresses.push_back(dns_address(n));
  return answer;
}
SourceSpec dns_source(const std::string& name) {
  SourceSpec spec;
  spec.name = name;
  spec.dns_name = "_m._tcp." + name + ".";
  spec.zero_weight_drains = true;
  return spec;
}
SourceSpec list_source() {
  SourceSpec spec;
  spec.name = "list";
  spec.list = true;
  return spec;
}

struct TestMerger {
  EndpointMerger merger{Settings{}, {list_source(), dns_source("a"), dns_source("b")}};
  Micros now = 100 * kSecond;
  Health health(int n) const {
    const auto it = merger.merged_endpoints().find(address(n));
    return it == merger.merged_endpoints().end() ? Health::gone : it->second.endpoint.replica.health;
  }
  Clause clause(int n) const { return merger.merged_endpoints().at(address(n)).clause; }
  double size(int n) const { return merger.merged_endpoints().at(address(n)).endpoint.replica.size; }
  void pass(Micros span) {
    const Micros end = now + span;
    while (merger.next_timer() <= end) {
      now = std::max(now, merger.next_timer());
      merger.on_timer(now);
    }
    now = end;
    merger.on_timer(now);
  }
};

void each_address_is_one_replica() {
  TestMerger test;
  // Two ids at one address: the ready one wins, otherwise the one that started last.
  test.merger.apply_list(
      test.now, list(ListKind::full, 1, {entry(1, 1, Health::draining), entry(2, 1, Health::ready, 50.0)}));
  CHECK(test.health(1) == Health::ready);
  CHECK(test.merger.merged_endpoints().at(address(1)).endpoint.replica.started_at == 50.0);
  // An id moves to another address: the old address is removed, the new one is a replica of its own.
  test.merger.apply_list(
      test.now, list(ListKind::delta, 2, {entry(2, 2, Health::ready, 50.0), entry(1, 1, Health::gone)}));
  CHECK(test.health(1) == Health::gone && test.clause(1) == Clause::removed &&
        test.health(2) == Health::ready);
  // Another id at the address of one that was removed.
  test.merger.apply_list(test.now, list(ListKind::delta, 3, {entry(3, 1, Health::ready, 90.0)}));
  CHECK(test.health(1) == Health::ready);
  CHECK(test.merger.merged_endpoints().at(address(1)).endpoint.replica.id == replica_id(address(1)));
}

// With several sources, an entry that a full list had unreadable was dropped: a replica in service
// disappeared.
void unreadable_entries_of_a_full_list_stay_in_force() {
  TestMerger test;
  test.merger.apply_list(test.now,
                         list(ListKind::full, 1, {entry(1, 1, Health::ready), entry(2, 2, Health::ready)}));
  EndpointListUpdate damaged = list(ListKind::full, 2, {entry(1, 1, Health::ready)});
  damaged.unreadable = {2};
  test.merger.apply_list(test.now, damaged);
  CHECK(test.health(2) == Health::ready && test.clause(2) == Clause::reported);
  test.merger.apply_list(test.now, list(ListKind::full, 3, {entry(1, 1, Health::ready)}));
  CHECK(test.health(2) == Health::gone);
}

void the_worst_report_wins() {
  TestMerger test;
  test.merger.apply_dns_answer(test.now, "a", dns_answer({1, 2, 3, 4}));
  test.merger.apply_list(
      test.now, list(ListKind::full, 1, {entry(1, 1, Health::ready), entry(2, 2, Health::draining)}));
  CHECK(test.clause(1) == Clause::reported && test.clause(2) == Clause::draining &&
        test.clause(3) == Clause::reported);
  test.merger.apply_dns_answer(test.now, "b", dns_answer({3, 5}));
  CHECK(test.health(5) == Health::ready);
  test.merger.apply_dns_answer(test.now, "b",
                               dns_answer({5}));  // one of the sources that reported 3 no longer does
  CHECK(test.clause(3) == Clause::removed);
  test.merger.apply_dns_answer(test.now, "b", dns_answer({3, 5}));
  CHECK(test.clause(3) == Clause::reappeared);
  test.pass(4 * kSecond);
  CHECK(test.clause(3) == Clause::reappeared);
  test.pass(2 * kSecond);
  CHECK(test.clause(3) == Clause::reported);
  // A replica that joins a known set counts as just started; those of the first answer started long ago.
  CHECK(test.merger.merged_endpoints().at(address(1)).endpoint.replica.started_at == 0.0);
  test.merger.apply_dns_answer(test.now, "a", dns_answer({1, 2, 3, 4, 6}));
  CHECK(test.merger.merged_endpoints().at(address(6)).endpoint.replica.started_at > 0.0);
}

void a_list_whose_version_goes_back_is_delayed() {
  TestMerger test;
  test.merger.apply_list(test.now,
                         list(ListKind::full, 9, {entry(1, 1, Health::ready), entry(2, 2, Health::ready)}));
  test.merger.apply_list(test.now, list(ListKind::delta, 10, {entry(2, 2, Health::gone)}));
  test.merger.on_source_failed(test.now, "list", "away");
  test.merger.apply_list(test.now,
                         list(ListKind::full, 4, {entry(1, 1, Health::ready), entry(2, 2, Health::ready)}));
  CHECK(test.clause(2) == Clause::reappeared && test.health(1) == Health::ready);
  test.pass(6 * kSecond);
  CHECK(test.health(2) == Health::ready);
  // Updates whose versions increase are applied at once.
  test.merger.apply_list(test.now, list(ListKind::delta, 5, {entry(2, 2, Health::draining)}));
  CHECK(test.health(2) == Health::draining);
  test.merger.apply_list(test.now, list(ListKind::delta, 6, {entry(2, 2, Health::ready)}));
  CHECK(test.health(2) == Health::ready);
}

void a_mass_removal_needs_confirmation() {
  TestMerger test;
  test.merger.apply_dns_answer(test.now, "a", dns_answer({1, 2, 3, 4}));
  test.merger.apply_dns_answer(test.now, "a", dns_answer({}));
  for (int n = 1; n <= 4; ++n)
    CHECK(test.clause(n) == Clause::removal_unconfirmed && test.health(n) == Health::ready);
  test.pass(16 * kSecond);
  CHECK(test.merger.names_to_confirm(test.now) == std::vector<std::string>{"_m._tcp.a."});
  CHECK(test.merger.names_to_confirm(test.now).empty());
  test.merger.apply_dns_answer(test.now, "a", dns_answer({}));
  CHECK(test.clause(1) == Clause::removal_unconfirmed);
  test.pass(15 * kSecond);
  CHECK(!test.merger.names_to_confirm(test.now).empty());
  test.merger.apply_dns_answer(test.now, "a", dns_answer({}));
  CHECK(test.clause(1) == Clause::removed);
  // After a mass removal the replicas return with their old start times: an empty zone does not mean that
  // they restarted.
  test.merger.apply_dns_answer(test.now, "a", dns_answer({1, 2, 3, 4}));
  test.pass(6 * kSecond);
  CHECK(test.clause(1) == Clause::reported &&
        test.merger.merged_endpoints().at(address(1)).endpoint.replica.started_at == 0.0);
  // Small steps: together they may remove at most max_removed_fraction within confirm_delay.
  TestMerger small_steps;
  small_steps.merger.apply_dns_answer(small_steps.now, "a", dns_answer({1, 2, 3, 4}));
  small_steps.merger.apply_dns_answer(small_steps.now, "a", dns_answer({1, 2, 3}));
  small_steps.merger.apply_dns_answer(small_steps.now, "a", dns_answer({1, 2}));
  CHECK(small_steps.clause(3) == Clause::removed && small_steps.clause(4) == Clause::removed);
  small_steps.merger.apply_dns_answer(small_steps.now, "a", dns_answer({1}));
  CHECK(small_steps.clause(2) == Clause::removal_unconfirmed);
  // A removal or drain that another source reports needs no confirmation.
  small_steps.merger.apply_list(small_steps.now, list(ListKind::full, 1, {entry(2, 2, Health::draining)}));
  CHECK(small_steps.health(2) == Health::draining);
}

void failing_sources_remove_no_replica() {
  TestMerger test;
  test.merger.apply_dns_answer(test.now, "a", dns_answer({1, 2}));
  test.merger.on_source_failed(test.now, "a", "no answer");
  test.pass(3600 * kSecond);
  CHECK(test.clause(1) == Clause::stale && test.health(1) == Health::ready);
  // Targets whose addresses are unknown keep their previous addresses.
  ResolvedAddresses partial = dns_answer({1});
  partial.unresolved = {"h2."};
  test.merger.apply_dns_answer(test.now, "a", partial);
  CHECK(test.health(2) == Health::ready && test.clause(1) == Clause::reported);
  // A failing source is ignored only after source_stale, and only if another source answers.
  test.merger.on_source_failed(test.now, "a", "no answer");
  test.pass(90000 * kSecond);
  CHECK(test.health(1) == Health::ready);
  test.merger.apply_dns_answer(test.now, "b", dns_answer({3}));
  CHECK(test.health(1) == Health::gone && test.health(3) == Health::ready);
}

void the_cached_list_holds_until_a_source_answers() {
  TestMerger test;
  test.merger.apply_cached_list(
      test.now, list(ListKind::cached, 7, {entry(1, 1, Health::ready), entry(2, 2, Health::ready)}));
  CHECK(test.clause(1) == Clause::cached && test.health(1) == Health::ready && !test.merger.any_answered());
  test.merger.on_source_failed(test.now, "list", "x");
  test.merger.on_source_failed(test.now, "a", "x");
  CHECK(!test.merger.all_failed());
  test.merger.on_source_failed(test.now, "b", "x");
  CHECK(test.merger.all_failed() && test.health(1) == Health::ready);
  test.merger.apply_list(test.now, list(ListKind::full, 8, {entry(1, 1, Health::ready)}));
  CHECK(test.clause(1) == Clause::reported && test.health(2) == Health::gone);
}

void groups_spill_a_share_of_the_traffic() {
  TestMerger test;
  ResolvedAddresses answer;
  for (int n = 1; n <= 10; ++n) answer.addresses.push_back(dns_address(n, 1));
  for (int n = 11; n <= 15; ++n) answer.addresses.push_back(dns_address(n, 2));
  test.merger.apply_dns_answer(test.now, "a", answer);
  CHECK(test.clause(11) == Clause::standby && test.merger.traffic_shares().at(1) == 1.0);
  for (int n = 1; n <= 4; ++n) answer.addresses[n - 1].weight = 0;  // 6 of 10 are ready: below spill_below
  test.merger.apply_dns_answer(test.now, "a", answer);
  CHECK(test.clause(11) == Clause::reported && test.merger.traffic_shares().at(1) == 0.75);
  double first = 0.0, second = 0.0;
  for (int n = 5; n <= 10; ++n) first += test.size(n);
  for (int n = 11; n <= 15; ++n) second += test.size(n);
  CHECK(std::abs(second / (first + second) - 0.25) < 1e-9);
  // While the ready fraction alternates around the threshold, the share does not move again.
  const auto flap = [&](int ready) {
    for (int n = 1; n <= 10; ++n) answer.addresses[n - 1].weight = n > 10 - ready ? 1 : 0;
    test.now += kSecond;
    test.merger.apply_dns_answer(test.now, "a", answer);
  };
  int moves = 0;
  double last = test.merger.traffic_shares().at(1);
  for (int i = 0; i < 200; ++i) {
    flap(i % 2 ? 6 : 8);  // 0.6 and 0.8: below spill_below, and not yet at spill_end
    test.pass(5 * kSecond);
    moves += test.merger.traffic_shares().at(1) != last;
    last = test.merger.traffic_shares().at(1);
  }
  CHECK(moves == 0);
  flap(10);
  test.pass(20 * kSecond);
  CHECK(test.merger.traffic_shares().at(1) == 1.0 && test.clause(11) == Clause::standby);
  for (int n = 1; n <= 10; ++n)
    answer.addresses[n - 1].weight = 0;  // if all weights are 0, they have no meaning (RFC 2782)
  test.merger.apply_dns_answer(test.now, "a", answer);
  CHECK(test.health(1) == Health::ready);
}

void weights_are_sizes() {
  TestMerger test;
  ResolvedAddresses answer;
  answer.addresses = {dns_address(1, 0, 10), dns_address(2, 0, 30), dns_address(3, 0, 20)};
  test.merger.apply_dns_answer(test.now, "a", answer);
  CHECK(test.size(1) == 0.5 && test.size(2) == 1.5 && test.size(3) == 1.0);
}

void a_reload_removes_no_replica_early() {
  TestMerger test;
  test.merger.apply_dns_answer(test.now, "a", dns_answer({1}));
  test.merger.apply_dns_answer(test.now, "b", dns_answer({2}));
  test.merger.take_changes();
  SourceSpec other = dns_source("c");
  test.merger.configure(test.now, Settings{}, {other});
  CHECK(test.health(1) == Health::ready && test.health(2) == Health::ready);
  test.merger.apply_dns_answer(test.now, "c", dns_answer({3}));
  CHECK(test.health(1) == Health::gone && test.health(3) == Health::ready);
  const auto update = test.merger.take_changes();
  CHECK(update && update->entries.size() == 3);
}

// Ends the test if the property does not hold; rc::check by itself only reports it.
void property(const char* what, const std::function<void()>& holds) {
  if (!rc::check(what, holds)) std::exit(1);
}

// ---- random histories

// One step of a random history, as plain numbers, so that RapidCheck can shrink it.
using Step = std::tuple<int, int, int, int>;
rc::Gen<std::vector<Step>> histories() {
  return rc::gen::container<std::vector<Step>>(rc::gen::tuple(rc::gen::inRange(0, 7), rc::gen::inRange(0, 3),
                                                              rc::gen::inRange(0, 1 << 6),
                                                              rc::gen::inRange(0, 8000)));
}

// The latest reports of each source, kept independently of the code under test.
struct Model {
  std::array<std::map<int, ReportedState>, 3> reported;  // by source: list, a, b
  std::array<bool, 3> failing{}, answered{};
  std::uint32_t version = 0;
};

void play(TestMerger& test, Model& model, const Step& step) {
  const auto& [kind, source, bits, wait] = step;
  const char* names[] = {"list", "a", "b"};
  test.pass(wait * core::kMilli);
  if (kind == 0) {
    test.merger.on_source_failed(test.now, names[source], "x");
    model.failing[source] = true;
    return;
  }
  if (kind == 1) return test.pass(40 * kSecond);
  if (source == 0) {
    std::vector<core::Endpoint> entries;
    std::map<int, ReportedState> states;
    for (int n = 1; n <= 6; ++n) {
      if ((bits >> (n - 1) & 1) == 0) continue;
      const bool drains = (kind + n) % 4 == 0;
      entries.push_back(entry(n, n, drains ? Health::draining : Health::ready));
      states[n] = drains ? ReportedState::draining : ReportedState::ready;
    }
    test.merger.apply_list(test.now, list(ListKind::full, ++model.version, entries));
    for (const auto& [n, state] : model.reported[0]) states.try_emplace(n, ReportedState::removed);
    model.reported[0] = states;
  } else {
    ResolvedAddresses answer;
    std::map<int, ReportedState> states;
    for (int n = 1; n <= 6; ++n) {
      if ((bits >> (n - 1) & 1) != 0) {
        answer.addresses.push_back(dns_address(n));
        states[n] = ReportedState::ready;
      }
    }
    test.merger.apply_dns_answer(test.now, names[source], answer);
    for (const auto& [n, state] : model.reported[source]) states.try_emplace(n, ReportedState::removed);
    model.reported[source] = states;
  }
  model.failing[source] = false;
  model.answered[source] = true;
}

void the_clauses_hold() {
  property("a replica that a source reports as draining or removed gets no new requests", [] {
    TestMerger test;
    Model model;
    for (const Step& step : *histories()) {
      play(test, model, step);
      for (int n = 1; n <= 6; ++n) {
        const bool listed_bad =
            model.reported[0].count(n) != 0 && model.reported[0][n] != ReportedState::ready;
        if (listed_bad) RC_ASSERT(test.health(n) != Health::ready);
        // Only a removal by DNS that is not confirmed yet leaves the replica ready.
        for (int s = 1; s <= 2; ++s) {
          const auto report = model.reported[s].find(n);
          if (report == model.reported[s].end() || report->second == ReportedState::ready) continue;
          const auto summaries = test.merger.report_summaries(address(n), test.now);
          const bool unconfirmed =
              std::any_of(summaries.begin(), summaries.end(), [&](const ReportSummary& summary) {
                return summary.source == (s == 1 ? "a" : "b") &&
                       summary.what == std::string("left out (doubted)");
              });
          if (!unconfirmed) RC_ASSERT(test.health(n) != Health::ready);
        }
      }
    }
  });
  property("failing sources remove no replica", [] {
    TestMerger test;
    Model model;
    for (const Step& step : *histories()) {
      play(test, model, step);
      std::map<int, Health> before;
      for (int n = 1; n <= 6; ++n) before[n] = test.health(n);
      for (const char* s : {"list", "a", "b"}) test.merger.on_source_failed(test.now, s, "x");
      for (int n = 1; n <= 6; ++n) {
        if (before[n] == Health::ready) RC_ASSERT(test.health(n) == Health::ready);
      }
      test.pass(60 * kSecond);
      for (int n = 1; n <= 6; ++n) {
        if (before[n] == Health::ready) RC_ASSERT(test.health(n) == Health::ready);
      }
    }
  });
  property("no replica is ready that no source has reported", [] {
    TestMerger test;
    Model model;
    for (const Step& step : *histories()) {
      play(test, model, step);
      for (const auto& [merged_address, merged] : test.merger.merged_endpoints()) {
        if (merged.endpoint.replica.health != Health::ready) continue;
        bool reported = false;
        for (int n = 1; n <= 6; ++n) {
          for (const auto& states : model.reported)
            reported = reported || (address(n) == merged_address && states.count(n) != 0);
        }
        RC_ASSERT(reported);
      }
    }
  });
  property("at most max_removed_fraction is removed without confirmation", [] {
    TestMerger test;
    ResolvedAddresses all = dns_answer({1, 2, 3, 4, 5, 6});
    test.merger.apply_dns_answer(test.now, "a", all);
    for (const Step& step : *histories()) {  // within confirm_delay
      ResolvedAddresses answer;
      for (int n = 1; n <= 6; ++n) {
        if ((std::get<2>(step) >> (n - 1) & 1) != 0) answer.addresses.push_back(dns_address(n));
      }
      test.now += 20 * core::kMilli;
      if (test.now > 120 * kSecond) break;
      test.merger.apply_dns_answer(test.now, "a", answer);
      int removed = 0;
      for (int n = 1; n <= 6; ++n) removed += test.clause(n) == Clause::removed;
      RC_ASSERT(removed <= 3);
    }
  });
  property("the changes and the full list give the same set", [] {
    TestMerger test;
    Model model;
    std::map<core::ReplicaId, Health> from_changes;
    for (const Step& step : *histories()) {
      play(test, model, step);
      if (const auto update = test.merger.take_changes()) {
        for (const auto& e : update->entries) from_changes[e.replica.id] = e.replica.health;
      }
      std::map<core::ReplicaId, Health> full;
      for (const auto& e : test.merger.full_list().entries) full[e.replica.id] = e.replica.health;
      for (const auto& [id, health] : from_changes) {
        if (health != Health::gone) RC_ASSERT(full.at(id) == health);
      }
      for (const auto& [id, health] : full) RC_ASSERT(from_changes.at(id) == health);
    }
  });
}

// ---- the same slot table on every router

struct PickedReplica final : flintglade::policy::ActionSink {
  std::uint64_t replica = 0;
  void attempt(flintglade::policy::RequestId, flintglade::policy::ReplicaId picked, double) override {
    replica = picked;
  }
  void reject(flintglade::policy::RequestId, double) override {}
  void fail(flintglade::policy::RequestId) override {}
  void stop_attempt(flintglade::policy::RequestId, std::uint16_t) override {}
  void set_timer(double, std::uint64_t) override {}
  void subscribe(bool) override {}
};

struct Router {
  explicit Router(std::uint64_t seed, int slots) : module(settings(slots), seed, 1000.0) {}
  static flintglade::policy::Settings settings(int slots) {
    flintglade::policy::Settings settings;
    settings.classes.emplace_back();
    settings.slots = slots;
    settings.weights = flintglade::policy::WeightSource::nominal;
    return settings;
  }
  void set(std::uint64_t members, double at) {
    flintglade::policy::EndpointListChange change;
    change.kind = ListKind::full;
    for (int n = 0; n < 12; ++n) {
      if ((members >> n & 1) == 0) continue;
      flintglade::policy::Replica replica;
      replica.id = replica_id(address(n));
      replica.health = Health::ready;
      replica.started_at = joined.try_emplace(n, at).first->second;  // the times differ between routers
      change.replicas.push_back(replica);
    }
    module.on_endpoint_list(at, change, picked);
  }
  std::uint64_t pick(std::uint64_t key, double at) {
    flintglade::policy::NewRequest request;
    request.id = ++last_id;
    request.key = key;
    request.deadline = at + 5.0;
    picked.replica = 0;
    module.on_request(at, request, picked);
    const std::uint64_t replica = picked.replica;
    flintglade::policy::AttemptResult result;
    result.id = request.id;
    result.replica = replica;
    result.outcome = flintglade::policy::Outcome::ok;
    result.closed = true;
    module.on_first_event(at, {request.id, 0, replica, 0.01}, picked);
    module.on_attempt_result(at, result, picked);
    return replica;
  }
  PickedReplica picked;
  flintglade::policy::Balancer module;
  std::map<int, double> joined;
  std::uint64_t last_id = 0;
};

void routers_with_the_same_set_pick_the_same_replicas() {
  property("the same set gives the same slot table, whatever sets came before", [] {
    const auto set = *rc::gen::inRange<std::uint64_t>(1, 1 << 12);
    Router a(1, 256), b(2, 256);
    for (std::uint64_t members :
         *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 1 << 12)))
      a.set(members, 1000.0);
    for (std::uint64_t members :
         *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 1 << 12)))
      b.set(members, 1010.0);
    a.set(set, 1020.0);
    b.set(set, 1020.0);
    for (std::uint64_t key = 1; key <= 40; ++key) {
      const std::uint64_t k = key * 0x9e3779b97f4a7c15ull;
      RC_ASSERT(a.pick(k, 1500.0 + static_cast<double>(key)) == b.pick(k, 1500.0 + static_cast<double>(key)));
    }
  });
  // A replica that joins takes over its share of the keys; no other key moves.
  Router router(3, 4096);
  router.set(0x3ff, 1000.0);
  std::map<std::uint64_t, std::uint64_t> before;
  for (std::uint64_t key = 1; key <= 2000; ++key)
    before[key] = router.pick(key * 0x9e3779b97f4a7c15ull, 2000.0 + static_cast<double>(key));
  router.set(0x7ff, 5000.0);
  int moved = 0;
  for (auto& [key, old_replica] : before) {
    const std::uint64_t new_replica =
        router.pick(key * 0x9e3779b97f4a7c15ull, 9000.0 + static_cast<double>(key));
    if (new_replica == old_replica) continue;
    ++moved;
    CHECK(new_replica == replica_id(address(10)));
  }
  CHECK(moved > 2000 / 11 / 2 && moved < 2000 / 11 * 2);
}

}  // namespace

int main() {
  const std::function<void()> tests[] = {each_address_is_one_replica,
                                         unreadable_entries_of_a_full_list_stay_in_force,
                                         the_worst_report_wins,
                                         a_list_whose_version_goes_back_is_delayed,
                                         a_mass_removal_needs_confirmation,
                                         failing_sources_remove_no_replica,
                                         the_cached_list_holds_until_a_source_answers,
                                         groups_spill_a_share_of_the_traffic,
                                         weights_are_sizes,
                                         a_reload_removes_no_replica_early,
                                         the_clauses_hold,
                                         routers_with_the_same_set_pick_the_same_replicas};
  for (const auto& test : tests) test();
  std::printf("%zu passed, 0 failed\n", std::size(tests));
}
