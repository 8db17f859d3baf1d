// The fleet's machines without a socket: whole fleets on a network of the test's own, and the parts by
// themselves. fleet_machines_test [RUNS [SEED]]
#include <rapidcheck.h>

#include <cstdlib>
#include <functional>

#include "check.h"
#include "coordination/shared_endpoint_list.h"
#include "fleet/sim.h"

namespace {

using namespace flintglade;
using namespace flintglade::tests;

// ---- whole fleets

rc::Gen<Fault> fault() {
  const auto number = [](int least, int most) { return rc::gen::inRange<unsigned>(least, most); };
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind, rc::gen::map(number(0, static_cast<int>(Fault::Kind::kKinds)),
                                              [](unsigned k) { return static_cast<Fault::Kind>(k); })),
      rc::gen::set(&Fault::who, number(0, 7)), rc::gen::set(&Fault::whom, number(0, 7)),
      rc::gen::set(&Fault::at, number(1500, 18000)), rc::gen::set(&Fault::length, number(50, 10000)));
}

bool one_owner_at_a_time() {
  return rc::check("whatever breaks: one owner at a time, and all jobs owned soon after", [] {
    const auto faults = *rc::gen::container<std::vector<Fault>>(fault());
    World world;
    world.seed = *rc::gen::arbitrary<std::uint32_t>();
    const Seen seen = play(world, faults);
    if (!seen.broken.empty()) {
      std::string text = seen.broken + "; world " + std::to_string(world.seed);
      for (const Fault& f : faults)
        text += "; kind " + std::to_string(static_cast<int>(f.kind)) + " who " + std::to_string(f.who) +
                " whom " + std::to_string(f.whom) + " at " + std::to_string(f.at) + " for " +
                std::to_string(f.length);
      RC_FAIL(text);
    }
  });
}

// A check that cannot fail proves nothing: each rule finds the fault that breaks it.
void planted_faults_are_found() {
  const auto found = [](const World& base, std::vector<Fault::Kind> kinds, unsigned length,
                        unsigned from_router = 0, std::uint64_t seeds = 40) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      World world = base;
      world.seed = seed;
      std::vector<Fault> faults;
      for (unsigned who = from_router; who < 7; ++who) {
        for (unsigned k = 0; k < 3; ++k) {
          for (const Fault::Kind kind : kinds)
            faults.push_back(
                {kind, who, who, 3000 + 400 * who + 4500 * k + static_cast<unsigned>(seed) * 13, length});
        }
      }
      if (!play(world, faults).broken.empty()) return true;
    }
    return false;
  };
  World sound;
  CHECK(!found(sound, {Fault::Kind::cut_from}, 4000, 0, 3));
  CHECK(!found(sound, {Fault::Kind::stuck}, 4000, 3, 3));
  World early = sound;  // voters grant anew long before the owner's lease is over
  early.leaders.lease = 300 * core::kMilli;
  CHECK(found(early, {Fault::Kind::cut_from}, 4000));
  World open = sound;
  open.fenced = false;
  CHECK(found(open, {Fault::Kind::stuck}, 4000, 3));
}

void forgetful_voters_are_found() {
  // Voters whose last write is lost at a crash: entries that were committed can vanish.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    World world;
    world.seed = seed;
    world.disks_forget = true;
    std::vector<Fault> faults;
    for (unsigned k = 0; k < 9; ++k) {
      const unsigned at = 4000 + 3500 * (k / 3) + static_cast<unsigned>(seed) * 7;
      faults.push_back({Fault::Kind::crash, k % 3, 0, at, 300});
      faults.push_back({Fault::Kind::move, k, k, at - 900, 1});  // owners change before
    }
    if (!play(world, faults).broken.empty()) return;
  }
  CHECK(!"a voter that forgets its last writes was not noticed");
}

void an_owner_that_dies_is_followed_soon() {
  double worst = 0;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    World world;
    world.seed = seed;
    std::vector<Fault> faults;
    for (unsigned who = 0; who < 7; ++who)
      faults.push_back({Fault::Kind::crash, who, 0, 4000 + 2000 * who, 60000});
    faults.resize(3 + seed % 2);
    faults.erase(faults.begin(), faults.begin() + 2);  // a voter and some others; two voters stay
    const Seen seen = play(world, faults);
    CHECK(seen.broken.empty());
    worst = std::max(worst, seen.gap_ms);
  }
  std::printf("longest time without an owner, simulated crashes: %.0f ms\n", worst);
  CHECK(worst < 4500);
}

// ---- peers

void absurd_words_change_nothing() {
  membership::Settings set;
  set.fleet = "f";
  set.most_peers = 8;
  membership::Swim swim(set, {"a", "north", "10.0.0.1:1", 1000}, 1);
  swim.start(0);
  const auto hear = [&](const std::function<void(coordination::Packet&)>& fill,
                        const std::string& fleet_name = "f") {
    coordination::Packet p;
    p.set_fleet(fleet_name);
    p.set_from("b");
    p.set_birth(7);
    p.mutable_sync();
    fill(p);
    swim.receive(1000, "10.0.0.2:1", p.SerializeAsString());
  };
  const auto word = [](coordination::Packet& p, const std::string& name, std::uint64_t birth,
                       std::uint64_t incarnation, const std::string& at) {
    coordination::MemberState* w = p.add_words();
    w->set_name(name);
    w->set_birth(birth);
    w->set_incarnation(incarnation);
    w->set_at(at);
  };
  hear([&](coordination::Packet& p) { word(p, "c", 5, 1, "10.0.0.3:1"); }, "another");
  CHECK(swim.others().empty() && swim.counters().other_fleet == 1);
  swim.receive(1000, "x", "garbage");
  CHECK(swim.counters().unreadable == 1);
  hear([&](coordination::Packet& p) { word(p, "c", UINT64_MAX, 1, "10.0.0.3:1"); });
  hear([&](coordination::Packet& p) { word(p, "c", 5, UINT64_MAX, "10.0.0.3:1"); });
  hear([&](coordination::Packet& p) { word(p, std::string(65, 'x'), 5, 1, "10.0.0.3:1"); });
  hear([&](coordination::Packet& p) { word(p, "c", 5, 1, "nowhere"); });
  CHECK(swim.others().empty() && swim.counters().absurd == 4);
  for (int i = 0; i < 20; ++i)
    hear([&](coordination::Packet& p) {
      word(p, "n" + std::to_string(i), 5, 1, "10.0.0.3:" + std::to_string(i + 1));
    });
  CHECK(swim.others().size() == 8 && swim.counters().too_many == 12);
  // What is said of this router it denies, by a higher incarnation.
  hear([&](coordination::Packet& p) {
    word(p, "a", 1000, 3, "10.0.0.1:1");
    p.mutable_words(0)->set_standing(coordination::DEAD);
  });
  CHECK(swim.self().incarnation == 4 && swim.counters().refuted == 1);
}

void one_name_is_one_process() {
  const auto meet = [](bool lives) {
    membership::Settings set;
    set.fleet = "f";
    membership::Swim early(set, {"a", "", "10.0.0.1:1", 1000}, 1),
        late(set, {"a", "", "10.0.0.2:1", 2000}, 2);
    early.start(0);
    coordination::Packet p;
    p.set_fleet("f");
    p.set_from("b");
    p.mutable_sync();
    coordination::MemberState* w = p.add_words();
    w->set_name("a");
    w->set_at("10.0.0.2:1");
    w->set_birth(2000);
    w->set_incarnation(1);
    early.receive(1000, "10.0.0.3:1", p.SerializeAsString());
    if (lives) {
      for (const auto& d : early.take()) {
        if (d.to == "10.0.0.2:1") late.receive(2000, "10.0.0.1:1", d.bytes);
      }
      for (const auto& d : late.take()) {
        if (d.to == "10.0.0.1:1") early.receive(3000, "10.0.0.2:1", d.bytes);
      }
    }
    for (Micros t = 0; t < 20 * core::kSecond; t += 100 * core::kMilli) early.tick(t);
    return std::pair(early.displaced(), early.self().birth);
  };
  CHECK(meet(true).first);
  // A word of a life that does not answer, such as our own last one under a clock that ran ahead.
  CHECK(meet(false) == std::pair(false, std::uint64_t{2001}));
}

// ---- owners

void a_release_that_is_on_its_way_is_never_taken_back() {
  coordination::LeaseTimes times;
  coordination::LeaseHolder lease_holder(times, "a");
  coordination::LeaseTable table;
  coordination::Job* job = table.add_jobs();
  job->set_name("j");
  job->set_owner("a");
  job->set_birth(1);
  job->set_number(5);
  lease_holder.record(table, 1);
  const auto renew = lease_holder.renewal(0);
  CHECK(renew && renew->held_size() == 1);
  std::vector<coordination::HeldLease> held(renew->held().begin(), renew->held().end());
  lease_holder.renewed(0, held);
  CHECK(lease_holder.proved(times.lease - times.margin() - 1, "j") &&
        !lease_holder.proved(times.lease - times.margin(), "j"));
  job->set_wanted("b");
  lease_holder.record(table, 1);
  CHECK(lease_holder.releases(1000).size() == 1 && !lease_holder.proved(1001, "j"));
  // The operator changes his mind, and an answer of before comes: neither proves it again.
  job->clear_wanted();
  lease_holder.record(table, 1);
  lease_holder.renewed(900, held);
  CHECK(!lease_holder.proved(1001, "j") && !lease_holder.renewal(10 * core::kSecond));
  // Under a new number it begins anew. A new life of this router has nothing.
  job->set_number(6);
  lease_holder.record(table, 1);
  CHECK(lease_holder.renewal(11 * core::kSecond));
  lease_holder.record(table, 2);
  CHECK(!lease_holder.renewal(12 * core::kSecond));
}

// ---- the list that one reads for all

struct HandClock final : core::Clock {
  Micros at = 0;
  Micros now() override { return at; }
};

void a_list_is_read_by_one_and_by_all_when_it_is_silent() {
  HandClock clock;
  struct Site {
    bool watch = false;
    std::vector<std::string> fed;
    std::vector<coordination::Effect> sent;
    std::vector<std::uint32_t> wants;
  } r, f;
  const auto ports = [](Site& s) {
    coordination::SharedEndpointList::Ports p;
    p.watch = [&s](bool on) { s.watch = on; };
    p.feed = [&s](std::string_view text) {
      s.fed.emplace_back(text);
      return true;
    };
    p.publish = [&s](coordination::Effect e) { s.sent.push_back(e); };
    p.send = [&s](coordination::Effect e, const std::string&) { s.sent.push_back(e); };
    p.want = [&s](std::uint32_t rev) { s.wants.push_back(rev); };
    return p;
  };
  coordination::SharedEndpointList::Settings set;
  coordination::SharedEndpointList reader(clock, set, ports(r), "d", 1),
      follower(clock, set, ports(f), "d", 2);
  using State = coordination::SharedEndpointList::State;
  for (coordination::SharedEndpointList* l : {&reader, &follower}) {
    l->subscribe(true);
    l->line(0, 1, "whole");
  }
  reader.reader(true);
  reader.tick();
  CHECK(r.sent.size() == 1 && r.sent[0].rev() == 1);
  follower.effect(r.sent[0]);
  CHECK(follower.state() == State::following && !f.watch && r.watch);
  reader.line(1, 2, "two");
  reader.line(2, 3, "three");
  reader.line(3, 4, "four");
  // The second one is lost: the third is not taken before it, and what is missing is asked for.
  follower.effect(r.sent[1]);
  clock.at += set.beat;
  follower.effect(r.sent[3]);
  CHECK(f.fed == std::vector<std::string>{"two"} && f.wants == std::vector<std::uint32_t>{2});
  reader.wanted(2, "x");
  follower.effect(r.sent.back());
  CHECK(f.fed.size() == 3 && f.fed.back() == "four" && follower.state() == State::following);
  // Of another discovery service, or of one that reads no more: neither counts.
  coordination::Effect other;
  other.set_source("elsewhere");
  other.set_rev(9);
  clock.at += set.silence;
  follower.effect(other);
  clock.at += set.spread;
  follower.tick();
  CHECK(follower.state() == State::alone && f.watch);
  // It begins again only once it holds what the reader holds.
  coordination::Effect ahead = r.sent.back();
  ahead.clear_lines();
  ahead.set_rev(7);
  follower.effect(ahead);
  CHECK(follower.state() == State::alone && f.watch);
  reader.reader(false);
  CHECK(reader.state() == State::alone && r.watch);
  follower.moved("elsewhere");
  CHECK(f.watch);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc > 1) {
    const std::string runs = argv[1], seed = argc > 2 ? argv[2] : "7";
    ::setenv("RC_PARAMS", ("seed=" + seed + " max_success=" + runs).c_str(), 1);
  }
  absurd_words_change_nothing();
  one_name_is_one_process();
  a_release_that_is_on_its_way_is_never_taken_back();
  a_list_is_read_by_one_and_by_all_when_it_is_silent();
  an_owner_that_dies_is_followed_soon();
  planted_faults_are_found();
  forgetful_voters_are_found();
  return one_owner_at_a_time() ? 0 : 1;
}
