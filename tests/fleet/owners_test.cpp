// Routers of one fleet as processes, whose links can be cut, delayed or lossy, and which are stopped, killed
// and restarted: owners_test PROGRAM CASE [N [SEED]]. Every case runs the checks of `fleet audit` over the
// logs of all processes.
#include <functional>
#include <random>

#include "fleet/fleet.h"

namespace {

using namespace flintglade::tests;

// ---- cases

// Owners are killed one after another, and restart as processes that own no job.
void killed(int rounds, std::uint64_t seed) {
  Fleet fleet(5, 3, seed);
  std::vector<double> durations;
  int owner = fleet.wait_owner(0, 10000);
  CHECK(owner >= 0);
  for (int i = 0; i < rounds; ++i) {
    const std::uint64_t before = fleet.highest_ownership_number();
    fleet.kill(static_cast<std::size_t>(owner));
    const auto from = now();
    const int next = fleet.wait_owner(before, 10000);
    durations.push_back(since(from));
    CHECK(next >= 0 && next != owner);
    fleet.start(static_cast<std::size_t>(owner));
    owner = next;
  }
  std::printf("owner killed, to the next one: p50 %.0f ms, most %.0f ms (lease %d ms)\n",
              percentile(durations, 0.5), percentile(durations, 1.0), kLeaseMs);
  fleet.check_invariants();
}

// Owners are stopped for less and for more than the duration of their lease, and continue afterwards.
void stopped(int rounds, std::uint64_t seed) {
  Fleet fleet(5, 3, seed);
  std::mt19937_64 random(seed);
  int owner = fleet.wait_owner(0, 10000);
  CHECK(owner >= 0);
  std::size_t owner_changes = 0;
  for (int i = 0; i < rounds; ++i) {
    const std::uint64_t before = fleet.highest_ownership_number();
    // Stops the owner while it sends: the list changes just before.
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
    owner_changes += fleet.highest_ownership_number() > before;
  }
  const Audit audit = fleet.audit();
  std::printf("%d stops, %zu changes of owner, %llu effects of former owners refused\n", rounds,
              owner_changes, static_cast<unsigned long long>(audit.stale_effects()));
  fleet.check_invariants();
}

// Cuts: the owner from the voters only, from the non-voters only, in one direction only; the voters from each
// other. Also a leader that is stopped.
void cuts(int, std::uint64_t seed) {
  Fleet fleet(6, 3, seed);
  const Link cut{true, 0, 0, 0, 0};
  int owner = fleet.wait_owner(0, 10000);
  CHECK(owner >= 0);
  const auto wait_next_owner = [&](std::uint64_t above, const std::vector<std::size_t>& excluded) {
    const int next = fleet.wait_owner(above, 10000, excluded);
    if (next < 0) fleet.print_logs();
    CHECK(next >= 0);
    return next;
  };
  // The owner has to be a router that is not a voter.
  if (owner < 3) {
    CHECK(fleet.command({"fleet", "move", kJob, "n4", "--at", fleet.address(0)}) == 0);
    CHECK(within(5000, [&] { return fleet.owner() == 4; }));
    owner = 4;
  }
  const std::size_t first = static_cast<std::size_t>(owner);
  // The owner still reaches the receivers of its effects, but its datagrams are delayed until after those of
  // the next owner.
  std::uint64_t number = fleet.highest_ownership_number();
  std::vector<std::size_t> receivers;
  for (std::size_t i = 3; i < fleet.size(); ++i) {
    if (i != first) receivers.push_back(i);
  }
  fleet.links.between({first}, receivers, {false, 0, 0, 2500, 0}, false);
  fleet.links.between({first}, {0, 1, 2}, cut);
  const int second_owner = wait_next_owner(number, {first});
  CHECK(within(8000, [&] { return fleet.audit().stale_effects() > 0; }));
  fleet.links.all({});
  number = fleet.highest_ownership_number();
  // The second owner is cut from the non-voters, not from the voters: it keeps its lease, and the non-voters
  // open their own watches.
  const std::size_t second = static_cast<std::size_t>(second_owner);
  std::vector<std::size_t> cut_off;
  for (const std::size_t i : others(fleet, second)) {
    if (i >= 3) cut_off.push_back(i);
  }
  fleet.links.between({second}, cut_off, cut);
  CHECK(within(8000, [&] { return fleet.reads_as("alone") >= cut_off.size(); }));
  fleet.links.all({});
  fleet.wait_until_all_follow();
  // Cut in one direction: the third owner receives datagrams, but its own are lost.
  int third = fleet.owner();
  CHECK(third >= 0);
  number = fleet.highest_ownership_number();
  fleet.links.between({static_cast<std::size_t>(third)}, others(fleet, static_cast<std::size_t>(third)), cut,
                      false);
  wait_next_owner(number, {static_cast<std::size_t>(third)});
  fleet.links.all({});
  // The leader is stopped: another voter becomes the leader, and the job still has an owner.
  CHECK(within(10000, [&] { return fleet.leader() >= 0; }));
  const int leader = fleet.leader();
  fleet.signal(static_cast<std::size_t>(leader), SIGSTOP);
  CHECK(within(10000, [&] { return fleet.leader() != leader && fleet.wait_owner(0, 10) >= 0; }));
  fleet.signal(static_cast<std::size_t>(leader), SIGCONT);
  // All voters are cut from each other: no job has an owner, and every router opens its own watch.
  fleet.links.between({0}, {1, 2}, cut);
  fleet.links.between({1}, {2}, cut);
  CHECK(within(8000, [&] { return fleet.owner() < 0 && fleet.reads_as("alone") == fleet.size(); }));
  number = fleet.highest_ownership_number();
  fleet.links.all({});
  wait_next_owner(0, {});
  fleet.wait_until_all_follow();
  // The network loses, duplicates, delays and reorders datagrams: the rules hold.
  fleet.links.all({false, 0.1, 0.1, 2, 20});
  fleet.change("Terminating");
  pause(2000);
  fleet.links.all({});
  fleet.check_invariants();
}

// Five voters, partitioned into two and three: the jobs continue on the side of the three, and the routers on
// the side of the two open their own watches.
void two_to_three(int, std::uint64_t seed) {
  Fleet fleet(7, 5, seed);
  CHECK(fleet.wait_owner(0, 10000) >= 0);
  fleet.wait_until_all_follow();
  for (const std::vector<std::size_t>& minority :
       {std::vector<std::size_t>{0, 1, 5}, std::vector<std::size_t>{3, 4, 6}}) {
    std::vector<std::size_t> majority;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      if (std::find(minority.begin(), minority.end(), i) == minority.end()) majority.push_back(i);
    }
    fleet.links.between(minority, majority, {true, 0, 0, 0, 0});
    CHECK(within(10000, [&] {
      const int owner = fleet.owner();
      return owner >= 0 &&
             std::find(minority.begin(), minority.end(), static_cast<std::size_t>(owner)) == minority.end() &&
             fleet.reads_as("alone") == minority.size() && fleet.reads_as("following") == majority.size() - 1;
    }));
    fleet.links.all({});
    fleet.wait_until_all_follow();
  }
  fleet.check_invariants();
}

// The leader shuts down: it transfers the leadership, so that another voter leads at once.
void leader_leaves(int rounds, std::uint64_t seed) {
  Fleet fleet(6, 3, seed);
  CHECK(fleet.wait_owner(0, 10000) >= 0);
  std::vector<double> durations;
  for (int i = 0; i < rounds; ++i) {
    CHECK(within(10000, [&] { return fleet.leader() >= 0; }));
    const auto leader = static_cast<std::size_t>(fleet.leader());
    const auto from = now();
    fleet.signal(leader, SIGTERM);
    CHECK(within(5000,
                 [&] { return fleet.leader() >= 0 && static_cast<std::size_t>(fleet.leader()) != leader; }));
    durations.push_back(since(from));
    const bool transferred = within(
        500, [&] { return fleet.log(leader).find("event=leadership_transferred") != std::string::npos; });
    if (!transferred) fleet.print_logs();
    CHECK(transferred);
    pause(600);
    fleet.kill(leader);
    fleet.start(leader);
    CHECK(fleet.wait_owner(0, 10000) >= 0);
    fleet.wait_until_all_follow();
  }
  std::printf("the leader ends, to the next one: p50 %.0f ms, most %.0f ms (elections after 300 ms)\n",
              percentile(durations, 0.5), percentile(durations, 1.0));
  fleet.check_invariants();
}

// All routers are killed at once and restart; then disks are lost, finally those of a majority of the voters,
// from which the fleet cannot recover by itself.
void all_at_once(int, std::uint64_t seed) {
  Fleet fleet(5, 3, seed);
  CHECK(fleet.wait_owner(0, 10000) >= 0);
  const std::uint64_t before = fleet.highest_ownership_number();
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.kill(i);
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.start(i);
  CHECK(fleet.wait_owner(before, 10000) >= 0);  // under a new number
  // A disk is lost: its router does not vote, and two voters are enough.
  const std::uint64_t number = fleet.highest_ownership_number();
  fleet.kill(0);
  std::filesystem::remove_all(fleet.disk(0));
  fleet.start(0);
  CHECK(within(3000, [&] { return fleet.log(0).find("event=raft_node_start_failed") != std::string::npos; }));
  const int owner = fleet.wait_owner(0, 10000);
  CHECK(owner >= 0);
  // Its voter id cannot be used again: the router joins under a new id, and the old voter is removed.
  CHECK(fleet.command({"fleet", "voters", fleet.address(1), "--remove", "1"}) == 0);
  std::string text = contents(fleet.file(0));
  const std::size_t id_position = text.find("id: 1 ");
  CHECK(id_position != std::string::npos);
  text.replace(id_position, 5, "id: 9");
  std::ofstream(fleet.file(0)) << text;
  CHECK(fleet.command({"fleet", "init", fleet.file(0), "--router", "n0", "--join"}) == 0);
  // A second initialization is refused.
  CHECK(fleet.command({"fleet", "init", fleet.file(0), "--router", "n0", "--join"}) == 1);
  fleet.kill(0);
  fleet.start(0);
  CHECK(fleet.command(
            {"fleet", "voters", fleet.address(1), "--add", "9=" + fleet.links.advertised_address(0)}) == 0);
  // It votes now, so one of the two old voters can fail.
  const std::size_t failed = fleet.leader() == 1 ? 1 : 2;
  fleet.kill(failed);
  CHECK(fleet.wait_owner(fleet.highest_ownership_number() - 1, 10000) >= 0);
  CHECK(fleet.highest_ownership_number() >= number);
  fleet.check_invariants();
  // A damaged log file: the router reports it and runs without voting.
  const std::string record = fleet.disk(failed) + "/record.log";
  std::string bytes = contents(record);
  bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
  std::ofstream(record, std::ios::binary) << bytes;
  fleet.start(failed);
  CHECK(within(3000,
               [&] { return fleet.log(failed).find("event=raft_node_start_failed") != std::string::npos; }));
  // The disks of a majority are lost: no job has an owner any more, and every router opens its own watch.
  for (const std::size_t i : {std::size_t{1}, std::size_t{2}}) {
    if (fleet.runs(i)) fleet.kill(i);
    std::filesystem::remove_all(fleet.disk(i));
    fleet.start(i);
  }
  CHECK(within(10000, [&] { return fleet.reads_as("alone") == fleet.size(); }));
  CHECK(within(8000, [&] { return fleet.log(4).find("event=leader_unknown") != std::string::npos; }));
}

// Jobs are moved by an operator while the list changes: the time without an owner is short.
void moved(int rounds, std::uint64_t seed) {
  Fleet fleet(5, 3, seed);
  CHECK(fleet.wait_owner(0, 10000) >= 0);
  std::vector<double> gaps;
  for (int i = 0; i < rounds; ++i) {
    const std::string to = "n" + std::to_string(i % 5);
    const int before = fleet.owner();
    CHECK(before >= 0);
    if (Fleet::id(static_cast<std::size_t>(before)) == to) continue;
    const std::uint64_t number = fleet.highest_ownership_number();
    CHECK(fleet.command(
              {"fleet", "move", kJob, to, "--at", fleet.address(static_cast<std::size_t>(i) % 5)}) == 0);
    CHECK(within(5000, [&] { return fleet.highest_ownership_number() > number && fleet.owner() == i % 5; }));
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
  fleet.check_invariants();
}

// Many routers, some of which are killed each second and restart.
void many(int routers, std::uint64_t seed) {
  Fleet fleet(static_cast<std::size_t>(routers), 5, seed);
  std::mt19937_64 random(seed);
  CHECK(fleet.wait_owner(0, 15000) >= 0);
  const int seconds = 10;
  std::vector<std::size_t> down;
  const auto from = now();
  const std::uint64_t forwarded_before = fleet.links.forwarded_datagrams();
  for (int second = 0; second < seconds; ++second) {
    for (const std::size_t i : std::exchange(down, {})) fleet.start(i);
    for (int attempt = 0; attempt < std::max(1, routers / 10); ++attempt) {
      const std::size_t i = random() % fleet.size();
      // At most two of the five voters are down at once.
      const auto voters_down =
          static_cast<int>(std::count_if(down.begin(), down.end(), [](auto router) { return router < 5; }));
      if (!fleet.runs(i) || (i < 5 && voters_down >= 2)) continue;
      fleet.kill(i);
      down.push_back(i);
    }
    pause(std::max(0, 1000 * (second + 1) - static_cast<int>(since(from))));
  }
  for (const std::size_t i : down) fleet.start(i);
  const double elapsed_s = since(from) / 1e3;
  if (fleet.wait_owner(0, 15000) < 0) {
    fleet.print_logs();
    CHECK(!"no owner at the end");
  }
  fleet.wait_until_all_follow();
  double longest = 0;
  const auto owners = fleet.audit().ownerships();
  for (std::size_t i = 1; i < owners.size(); ++i)
    longest = std::max(longest, static_cast<double>(owners[i].from_ms - owners[i - 1].to_ms));
  std::printf(
      "%zu routers, %zu owners, longest time without one %.0f ms, %.0f datagrams a second and router\n",
      fleet.size(), owners.size(), longest,
      static_cast<double>(fleet.links.forwarded_datagrams() - forwarded_before) / elapsed_s /
          static_cast<double>(fleet.size()));
  fleet.check_invariants();
}

// Two processes of one name: the later one replaces the earlier one, which continues without the fleet.
void one_name(int, std::uint64_t seed) {
  Fleet fleet(4, 3, seed);
  CHECK(fleet.wait_owner(0, 10000) >= 0);
  // A second process of the name n3, at another address.
  const std::string second_file = fleet.folder + "/twin.textproto";
  std::string text = contents(fleet.file(3));
  const std::size_t address_position = text.find(fleet.links.advertised_address(3));
  CHECK(address_position != std::string::npos);
  text.replace(address_position, fleet.links.advertised_address(3).size(), fleet.links.advertised_address(4));
  std::ofstream(second_file) << text;
  Process second(ProcessOptions{g_program,
                                {"serve", "--operator", second_file},
                                {{"GW_CONFIG", fleet.folder + "/n3.json"}, {"TMPDIR", fleet.folder}},
                                -1});
  unsigned short port = 0;
  CHECK(within(5000, [&] { return (port = second.port("wire=fleet at=127.0.0.1:")) != 0; }));
  fleet.links.set_listen_port(4, port);
  CHECK(within(10000,
               [&] { return fleet.log(3).find("event=displaced_by_newer_process") != std::string::npos; }));
  CHECK(second.log().find("event=displaced_by_newer_process") == std::string::npos);
  fleet.check_invariants();
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
