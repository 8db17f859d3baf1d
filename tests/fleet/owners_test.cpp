// Routers of one fleet as processes, with a link between each pair that can be cut, delayed or lossy, and
// processes that are stopped, killed and started again: owners_test PROGRAM CASE [N [SEED]]. Every case ends
// with the audit that operators have, over the logs of all processes.
#include <functional>
#include <random>

#include "fleet/fleet.h"

namespace {

using namespace flintglade::tests;

// ---- cases

// Owners are killed, one after another, and come back as processes that own nothing.
void killed(int rounds, std::uint64_t seed) {
  Fleet fleet(5, 3, seed);
  std::vector<double> took;
  int owner = fleet.wait_owner(0, 10000);
  CHECK(owner >= 0);
  for (int i = 0; i < rounds; ++i) {
    const std::uint64_t before = fleet.number();
    fleet.kill(static_cast<std::size_t>(owner));
    const auto from = now();
    const int next = fleet.wait_owner(before, 10000);
    took.push_back(since(from));
    CHECK(next >= 0 && next != owner);
    fleet.start(static_cast<std::size_t>(owner));
    owner = next;
  }
  std::printf("owner killed, to the next one: p50 %.0f ms, most %.0f ms (lease %d ms)\n",
              percentile(took, 0.5), percentile(took, 1.0), kLeaseMs);
  fleet.sound();
}

// Owners are stopped for less and for more than their lease, and wake up late.
void stopped(int rounds, std::uint64_t seed) {
  Fleet fleet(5, 3, seed);
  std::mt19937_64 random(seed);
  int owner = fleet.wait_owner(0, 10000);
  CHECK(owner >= 0);
  std::size_t moved = 0;
  for (int i = 0; i < rounds; ++i) {
    const std::uint64_t before = fleet.number();
    // While it writes: the list changes in the moment of the stop.
    fleet.change(i % 2 == 0 ? "Ready" : "Terminating");
    pause(static_cast<int>(random() % 4));
    fleet.signal(static_cast<std::size_t>(owner), SIGSTOP);
    const int length = i % 3 == 0   ? kLeaseMs - 150
                       : i % 3 == 1 ? kLeaseMs * 4
                                    : kLeaseMs + static_cast<int>(random() % 600);
    pause(length);
    fleet.signal(static_cast<std::size_t>(owner), SIGCONT);
    if (length > 3 * kLeaseMs) CHECK(fleet.wait_owner(before, 10000) != owner);
    pause(300);
    owner = fleet.wait_owner(0, 10000);
    if (owner < 0) fleet.print_logs();
    CHECK(owner >= 0);
    moved += fleet.number() > before;
  }
  const Audit a = fleet.audit();
  std::printf("%d stops, %zu changes of owner, %llu effects of former owners refused\n", rounds, moved,
              static_cast<unsigned long long>(a.stale_effects()));
  fleet.sound();
}

// Cuts: the owner from the voters only, from the others only, one way; voters apart; the leader stopped.
void cuts(int, std::uint64_t seed) {
  Fleet fleet(6, 3, seed);
  const Link cut{true, 0, 0, 0, 0};
  int owner = fleet.wait_owner(0, 10000);
  CHECK(owner >= 0);
  const auto owned_again = [&](std::uint64_t above, const std::vector<std::size_t>& but) {
    const int o = fleet.wait_owner(above, 10000, but);
    if (o < 0) fleet.print_logs();
    CHECK(o >= 0);
    return o;
  };
  // The job is to be where no voter is.
  if (owner < 3) {
    CHECK(fleet.command({"fleet", "move", kJob, "n4", "--at", fleet.address(0)}) == 0);
    CHECK(within(5000, [&] { return fleet.owner() == 4; }));
    owner = 4;
  }
  const std::size_t o = static_cast<std::size_t>(owner);
  // It still reaches all that take its effects, but what it writes comes late: after the next owner's.
  std::uint64_t number = fleet.number();
  std::vector<std::size_t> hear;
  for (std::size_t i = 3; i < fleet.size(); ++i) {
    if (i != o) hear.push_back(i);
  }
  fleet.links.between({o}, hear, {false, 0, 0, 2500, 0}, false);
  fleet.links.between({o}, {0, 1, 2}, cut);
  const int second = owned_again(number, {o});
  CHECK(within(8000, [&] { return fleet.audit().stale_effects() > 0; }));
  fleet.links.all({});
  number = fleet.number();
  // From those that take, not from the voters: the lease is kept, and they read for themselves.
  const std::size_t s = static_cast<std::size_t>(second);
  std::vector<std::size_t> takers;
  for (const std::size_t i : others(fleet, s)) {
    if (i >= 3) takers.push_back(i);
  }
  fleet.links.between({s}, takers, cut);
  CHECK(within(8000, [&] { return fleet.reads_as("alone") >= takers.size(); }));
  fleet.links.all({});
  fleet.all_follow();
  // One way: it hears, and is not heard.
  int third = fleet.owner();
  CHECK(third >= 0);
  number = fleet.number();
  fleet.links.between({static_cast<std::size_t>(third)}, others(fleet, static_cast<std::size_t>(third)), cut,
                      false);
  owned_again(number, {static_cast<std::size_t>(third)});
  fleet.links.all({});
  // The leader is stopped: another one leads, and whoever owns goes on.
  CHECK(within(10000, [&] { return fleet.leader() >= 0; }));
  const int leader = fleet.leader();
  fleet.signal(static_cast<std::size_t>(leader), SIGSTOP);
  CHECK(within(10000, [&] { return fleet.leader() != leader && fleet.wait_owner(0, 10) >= 0; }));
  fleet.signal(static_cast<std::size_t>(leader), SIGCONT);
  // The voters apart, 1 : 1 : 1. Nobody can own anything, and everybody reads for himself.
  fleet.links.between({0}, {1, 2}, cut);
  fleet.links.between({1}, {2}, cut);
  CHECK(within(8000, [&] { return fleet.owner() < 0 && fleet.reads_as("alone") == fleet.size(); }));
  number = fleet.number();
  fleet.links.all({});
  owned_again(0, {});
  fleet.all_follow();
  // A network that loses, doubles, delays and reorders all the while: rules hold, and a change reaches all.
  fleet.links.all({false, 0.1, 0.1, 2, 20});
  fleet.change("Terminating");
  pause(2000);
  fleet.links.all({});
  fleet.sound();
}

// Five voters, parted two to three: the three go on, the two and who is with them do for themselves.
void two_to_three(int, std::uint64_t seed) {
  Fleet fleet(7, 5, seed);
  CHECK(fleet.wait_owner(0, 10000) >= 0);
  fleet.all_follow();
  for (const std::vector<std::size_t>& few :
       {std::vector<std::size_t>{0, 1, 5}, std::vector<std::size_t>{3, 4, 6}}) {
    std::vector<std::size_t> rest;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      if (std::find(few.begin(), few.end(), i) == few.end()) rest.push_back(i);
    }
    fleet.links.between(few, rest, {true, 0, 0, 0, 0});
    CHECK(within(10000, [&] {
      const int o = fleet.owner();
      return o >= 0 && std::find(few.begin(), few.end(), static_cast<std::size_t>(o)) == few.end() &&
             fleet.reads_as("alone") == few.size() && fleet.reads_as("following") == rest.size() - 1;
    }));
    fleet.links.all({});
    fleet.all_follow();
  }
  fleet.sound();
}

// The leader is told to end: another one leads at once, and jobs of others go on without a gap.
void leader_leaves(int rounds, std::uint64_t seed) {
  Fleet fleet(6, 3, seed);
  CHECK(fleet.wait_owner(0, 10000) >= 0);
  std::vector<double> took;
  for (int i = 0; i < rounds; ++i) {
    CHECK(within(10000, [&] { return fleet.leader() >= 0; }));
    const auto leader = static_cast<std::size_t>(fleet.leader());
    const auto from = now();
    fleet.signal(leader, SIGTERM);
    CHECK(within(5000,
                 [&] { return fleet.leader() >= 0 && static_cast<std::size_t>(fleet.leader()) != leader; }));
    took.push_back(since(from));
    const bool handed = within(
        500, [&] { return fleet.log(leader).find("event=leadership_transferred") != std::string::npos; });
    if (!handed) fleet.print_logs();
    CHECK(handed);
    pause(600);
    fleet.kill(leader);
    fleet.start(leader);
    CHECK(fleet.wait_owner(0, 10000) >= 0);
    fleet.all_follow();
  }
  std::printf("the leader ends, to the next one: p50 %.0f ms, most %.0f ms (elections after 300 ms)\n",
              percentile(took, 0.5), percentile(took, 1.0));
  fleet.sound();
}

// All are killed at once and come back; a majority of the disks is lost, and the fleet needs a person.
void all_at_once(int, std::uint64_t seed) {
  Fleet fleet(5, 3, seed);
  CHECK(fleet.wait_owner(0, 10000) >= 0);
  const std::uint64_t before = fleet.number();
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.kill(i);
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.start(i);
  CHECK(fleet.wait_owner(before, 10000) >= 0);  // under a number that nobody had
  // A disk that is gone: its router does not vote, and two are enough.
  const std::uint64_t number = fleet.number();
  fleet.kill(0);
  std::filesystem::remove_all(fleet.disk(0));
  fleet.start(0);
  CHECK(within(3000, [&] { return fleet.log(0).find("event=raft_node_start_failed") != std::string::npos; }));
  const int owner = fleet.wait_owner(0, 10000);
  CHECK(owner >= 0);
  // Its id is used up: it comes back as another voter, and the old one is let go.
  CHECK(fleet.command({"fleet", "voters", fleet.address(1), "--remove", "1"}) == 0);
  std::string text = contents(fleet.file(0));
  const std::size_t at = text.find("id: 1 ");
  CHECK(at != std::string::npos);
  text.replace(at, 5, "id: 9");
  std::ofstream(fleet.file(0)) << text;
  CHECK(fleet.command({"fleet", "init", fleet.file(0), "--router", "n0", "--join"}) == 0);
  CHECK(fleet.command({"fleet", "init", fleet.file(0), "--router", "n0", "--join"}) == 1);  // never twice
  fleet.kill(0);
  fleet.start(0);
  CHECK(fleet.command({"fleet", "voters", fleet.address(1), "--add", "9=" + fleet.links.at(0)}) == 0);
  // It votes now: of the three, one of the old ones may go.
  const std::size_t gone = fleet.leader() == 1 ? 1 : 2;
  fleet.kill(gone);
  CHECK(fleet.wait_owner(fleet.number() - 1, 10000) >= 0);
  CHECK(fleet.number() >= number);
  fleet.sound();
  // Damaged, of another fleet, and read by nobody else: stated, and the router serves on.
  const std::string record = fleet.disk(gone) + "/record.log";
  std::string bytes = contents(record);
  bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
  std::ofstream(record, std::ios::binary) << bytes;
  fleet.start(gone);
  CHECK(within(3000,
               [&] { return fleet.log(gone).find("event=raft_node_start_failed") != std::string::npos; }));
  // The majority's disks are lost: no job has an owner any more, and all read for themselves.
  for (const std::size_t i : {std::size_t{1}, std::size_t{2}}) {
    if (fleet.runs(i)) fleet.kill(i);
    std::filesystem::remove_all(fleet.disk(i));
    fleet.start(i);
  }
  CHECK(within(10000, [&] { return fleet.reads_as("alone") == fleet.size(); }));
  CHECK(within(8000, [&] { return fleet.log(4).find("event=leader_unknown") != std::string::npos; }));
}

// Jobs are moved by hand while the list changes: short gaps, and nobody misses a change.
void moved(int rounds, std::uint64_t seed) {
  Fleet fleet(5, 3, seed);
  CHECK(fleet.wait_owner(0, 10000) >= 0);
  std::vector<double> gaps;
  for (int i = 0; i < rounds; ++i) {
    const std::string to = "n" + std::to_string(i % 5);
    const int before = fleet.owner();
    CHECK(before >= 0);
    if (Fleet::id(static_cast<std::size_t>(before)) == to) continue;
    const std::uint64_t number = fleet.number();
    CHECK(fleet.command(
              {"fleet", "move", kJob, to, "--at", fleet.address(static_cast<std::size_t>(i) % 5)}) == 0);
    CHECK(within(5000, [&] { return fleet.number() > number && fleet.owner() == i % 5; }));
    const auto owners = fleet.audit().ownerships();
    gaps.push_back(static_cast<double>(owners.back().from_ms - owners[owners.size() - 2].to_ms));
    fleet.change(i % 2 == 0 ? "Terminating" : "Ready");
    pause(50);
  }
  std::printf("moved %zu times, gap p50 %.0f ms, most %.0f ms\n", gaps.size(), percentile(gaps, 0.5),
              percentile(gaps, 1.0));
  CHECK(fleet.command({"fleet", "move", "no-such-job", "n1", "--at", fleet.address(0)}) == 1);
  CHECK(fleet.command({"fleet", "move", kJob, "n77", "--at", fleet.address(0)}) == 1);
  CHECK(fleet.command({"fleet", "status", fleet.address(3)}) == 0);
  CHECK(fleet.command({"fleet", "jobs", fleet.address(3), "--json"}) == 0);
  CHECK(fleet.command({"fleet", "voters", "127.0.0.1:1"}) == 1);
  fleet.sound();
}

// Many, of which a part is killed each second, and comes back.
void many(int routers, std::uint64_t seed) {
  Fleet fleet(static_cast<std::size_t>(routers), 5, seed);
  std::mt19937_64 random(seed);
  CHECK(fleet.wait_owner(0, 15000) >= 0);
  const int seconds = 10;
  std::vector<std::size_t> down;
  const auto from = now();
  const std::uint64_t passed = fleet.links.passed();
  for (int second = 0; second < seconds; ++second) {
    for (const std::size_t i : std::exchange(down, {})) fleet.start(i);
    for (int k = 0; k < std::max(1, routers / 10); ++k) {
      const std::size_t i = random() % fleet.size();
      // Two of the five voters at the most.
      const auto voters =
          static_cast<int>(std::count_if(down.begin(), down.end(), [](auto d) { return d < 5; }));
      if (!fleet.runs(i) || (i < 5 && voters >= 2)) continue;
      fleet.kill(i);
      down.push_back(i);
    }
    pause(std::max(0, 1000 * (second + 1) - static_cast<int>(since(from))));
  }
  for (const std::size_t i : down) fleet.start(i);
  const double took = since(from) / 1e3;
  if (fleet.wait_owner(0, 15000) < 0) {
    fleet.print_logs();
    CHECK(!"no owner at the end");
  }
  fleet.all_follow();
  double longest = 0;
  const auto owners = fleet.audit().ownerships();
  for (std::size_t i = 1; i < owners.size(); ++i)
    longest = std::max(longest, static_cast<double>(owners[i].from_ms - owners[i - 1].to_ms));
  std::printf(
      "%zu routers, %zu owners, longest time without one %.0f ms, %.0f datagrams a second and router\n",
      fleet.size(), owners.size(), longest,
      static_cast<double>(fleet.links.passed() - passed) / took / static_cast<double>(fleet.size()));
  fleet.sound();
}

// Two processes of one name: the later one has it, the earlier one goes on serving without its fleet.
void one_name(int, std::uint64_t seed) {
  Fleet fleet(4, 3, seed);
  CHECK(fleet.wait_owner(0, 10000) >= 0);
  // A second process of the name n3, at another address.
  const std::string twin_file = fleet.folder + "/twin.textproto";
  std::string text = contents(fleet.file(3));
  const std::size_t at = text.find(fleet.links.at(3));
  CHECK(at != std::string::npos);
  text.replace(at, fleet.links.at(3).size(), fleet.links.at(4));
  std::ofstream(twin_file) << text;
  Process twin(Start{g_program,
                     {"serve", "--operator", twin_file},
                     {{"GW_CONFIG", fleet.folder + "/n3.json"}, {"TMPDIR", fleet.folder}},
                     -1});
  unsigned short port = 0;
  CHECK(within(5000, [&] { return (port = twin.port("wire=fleet at=127.0.0.1:")) != 0; }));
  fleet.links.real(4, port);
  CHECK(within(10000,
               [&] { return fleet.log(3).find("event=displaced_by_newer_process") != std::string::npos; }));
  CHECK(twin.log().find("event=displaced_by_newer_process") == std::string::npos);
  fleet.sound();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  g_program = argv[1];
  const int n = argc > 3 ? std::atoi(argv[3]) : 0;
  const std::uint64_t seed = argc > 4 ? std::strtoull(argv[4], nullptr, 10) : 7;
  const std::map<std::string, std::function<void(int, std::uint64_t)>> cases = {
      {"killed", killed},
      {"stopped", stopped},
      {"cuts", cuts},
      {"all_at_once", all_at_once},
      {"moved", moved},
      {"many", many},
      {"one_name", one_name},
      {"two_to_three", two_to_three},
      {"leader_leaves", leader_leaves}};
  const auto it = cases.find(argv[2]);
  if (it == cases.end()) return 2;
  it->second(n, seed);
}
