#include "shared/replicated_counter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace flintglade::shared {
namespace {

coordination::CounterRow row(const std::string& name, std::uint64_t birth, std::uint64_t version,
                             std::uint64_t served) {
  coordination::CounterRow out;
  out.set_name(name);
  out.set_birth(birth);
  out.set_version(version);
  coordination::RequestCounts& count = *out.add_counts();
  count.set_team("t");
  count.set_served(served);
  return out;
}

const coordination::RequestCounts& count_of(std::uint64_t served) {
  static coordination::RequestCounts count;
  count = row("", 0, 0, served).counts(0);
  return count;
}

TEST(ReplicatedCounter, FoldsTheRowOfAnEarlierProcessIntoItsOwn) {
  ReplicatedCounter later(Settings{}, "a", 5, "");
  later.seal(0, {{{"t", "c"}, count_of(7)}});
  EXPECT_TRUE(later.merge(0, row("a", 3, 4, 100), 0, 0).ok());
  EXPECT_TRUE(later.seal(1, {{{"t", "c"}, count_of(8)}}));
  const coordination::CounterRow sealed = later.table().rows().begin()->second.entry;
  EXPECT_EQ(later.table().rows().size(), 1u);
  ASSERT_EQ(sealed.folded_size(), 1);
  EXPECT_EQ(sealed.folded(0).version(), 4u);

  ReplicatedCounter other(Settings{}, "b", 1, "");
  EXPECT_TRUE(other.merge(0, row("a", 3, 4, 100), 0, 0).ok());
  EXPECT_TRUE(other.merge(0, sealed, 0, 0).ok());
  EXPECT_TRUE(other.merge(0, row("a", 3, 2, 50), 0, 0).ok());  // the dropped row is not added again
  EXPECT_EQ(other.table().rows().size(), 1u);
  std::uint64_t sum = 0;
  for (const auto& [key, total] : other.totals(0)) sum += total.count.served();
  EXPECT_EQ(sum, 108u);
}

std::uint64_t served(const ReplicatedCounter& counter) {
  std::uint64_t sum = 0;
  for (const auto& [key, total] : counter.totals(0)) sum += total.count.served();
  return sum;
}

// The newest version of a process's own row.
coordination::CounterRow sealed(ReplicatedCounter& counter, std::uint64_t birth, std::uint64_t counted) {
  counter.seal(0, {{{"t", "c"}, count_of(counted)}});
  return counter.table().rows().at({"a", birth}).entry;
}

// Process 1 of router a counts 100 and its row reaches b; process 2 starts cut off and counts 10; process 3
// receives the row of 2 first and that of 1 later. Guards against process 3 treating every process before the
// first one it has folded as folded too: the 100 of process 1 were then missing from all totals.
TEST(ReplicatedCounter, KeepsTheCountsOfAProcessWhoseRowDidNotReachTheNextOne) {
  ReplicatedCounter first(Settings{}, "a", 1, "");
  ReplicatedCounter second(Settings{}, "a", 2, "");
  ReplicatedCounter third(Settings{}, "a", 3, "");
  ReplicatedCounter other(Settings{}, "b", 1, "");
  const coordination::CounterRow first_row = sealed(first, 1, 100);
  EXPECT_TRUE(other.merge(0, first_row, 0, 0).ok());
  EXPECT_TRUE(third.merge(0, sealed(second, 2, 10), 0, 0).ok());
  EXPECT_TRUE(other.merge(0, sealed(third, 3, 0), 0, 0).ok());
  EXPECT_EQ(served(other), 110u);
  EXPECT_TRUE(third.merge(0, first_row, 0, 0).ok());
  EXPECT_TRUE(other.merge(0, sealed(third, 3, 0), 0, 0).ok());
  EXPECT_EQ(served(third), 110u);
  EXPECT_EQ(served(other), 110u);
}

// Process 2 folds version 1 of its predecessor's row, with 100 served; version 2, with 180 served, reaches
// process 3 after the row of process 2. Guards against process 3 treating process 1 as folded regardless of
// the version, which left its count at 100.
TEST(ReplicatedCounter, FoldsALaterVersionOfAFoldedRow) {
  ReplicatedCounter first(Settings{}, "a", 1, "");
  ReplicatedCounter second(Settings{}, "a", 2, "");
  ReplicatedCounter third(Settings{}, "a", 3, "");
  ReplicatedCounter other(Settings{}, "b", 1, "");
  EXPECT_TRUE(second.merge(0, sealed(first, 1, 100), 0, 0).ok());
  EXPECT_TRUE(third.merge(0, sealed(second, 2, 0), 0, 0).ok());
  EXPECT_TRUE(third.merge(0, sealed(first, 1, 180), 0, 0).ok());
  EXPECT_TRUE(other.merge(0, sealed(third, 3, 0), 0, 0).ok());
  EXPECT_EQ(served(third), 180u);
  EXPECT_EQ(served(other), 180u);
}

// Processes 2 and 3 both fold process 1, and the row of 2 has not reached 3. Guards against a reader with the
// rows of both counting process 1 twice, which put its lower bound above the true count.
TEST(ReplicatedCounter, CountsAProcessFoldedByTwoLaterOnesOnce) {
  ReplicatedCounter first(Settings{}, "a", 1, "");
  ReplicatedCounter second(Settings{}, "a", 2, "");
  ReplicatedCounter third(Settings{}, "a", 3, "");
  ReplicatedCounter other(Settings{}, "b", 1, "");
  const coordination::CounterRow first_row = sealed(first, 1, 100);
  EXPECT_TRUE(second.merge(0, first_row, 0, 0).ok());
  EXPECT_TRUE(third.merge(0, first_row, 0, 0).ok());
  EXPECT_TRUE(other.merge(0, sealed(second, 2, 10), 0, 0).ok());
  EXPECT_TRUE(other.merge(0, sealed(third, 3, 1), 0, 0).ok());
  EXPECT_EQ(served(other), 111u);
}

// Random histories: successive processes of one router count requests, each folds the rows that happen to
// reach it, two other routers receive some of the rows in any order, and every router forwards rows that it
// holds. No reader's lower bound may ever exceed the true count. Once all rows have reached all routers, each
// reader must have the full count.
TEST(ReplicatedCounter, ConvergesForAnyHistoryOfRowsWithoutOvercounting) {
  constexpr int kHistories = 2000, kSteps = 60;
  for (std::uint32_t seed = 1; seed <= kHistories; ++seed) {
    std::mt19937 random(seed);
    const auto one_of = [&](std::size_t size) { return static_cast<std::size_t>(random() % size); };
    std::deque<ReplicatedCounter> processes, readers;
    std::vector<std::uint64_t> counted;  // by each process, as it last sealed it
    std::vector<coordination::CounterRow> rows;
    for (const char* name : {"b", "c"}) readers.emplace_back(Settings{}, name, 1, "");
    const auto start_process = [&] {
      processes.emplace_back(Settings{}, "a", processes.size() + 1, "");
      counted.push_back(0);
    };
    const auto truth = [&] {
      std::uint64_t sum = 0;
      for (const std::uint64_t count : counted) sum += count;
      return sum;
    };
    const auto seal_last = [&](std::uint64_t more) {
      counted.back() += more;
      rows.push_back(sealed(processes.back(), processes.size(), counted.back()));
    };
    start_process();
    for (int step = 0; step < kSteps; ++step) {
      switch (one_of(6)) {
        case 0:
          if (processes.size() < 8) start_process();
          break;
        case 1:
          seal_last(1 + one_of(50));
          break;
        case 2:
          if (!rows.empty()) {
            EXPECT_TRUE(processes.back().merge(0, rows[one_of(rows.size())], 0, 0).ok());
          }
          break;
        case 3: {  // a reader forwards a row that it holds
          const auto& held = readers[one_of(2)].table().rows();
          if (!held.empty())
            rows.push_back(std::next(held.begin(), static_cast<int>(one_of(held.size())))->second.entry);
          break;
        }
        default:
          if (!rows.empty()) {
            EXPECT_TRUE(readers[one_of(2)].merge(0, rows[one_of(rows.size())], 0, 0).ok());
          }
      }
      for (const ReplicatedCounter& reader : readers) ASSERT_LE(served(reader), truth()) << "seed " << seed;
    }
    std::shuffle(rows.begin(), rows.end(), random);
    for (const coordination::CounterRow& each : rows) {
      for (ReplicatedCounter& reader : readers) EXPECT_TRUE(reader.merge(0, each, 0, 0).ok());
      EXPECT_TRUE(processes.back().merge(0, each, 0, 0).ok());
    }
    seal_last(1);
    for (ReplicatedCounter& reader : readers) {
      EXPECT_TRUE(reader.merge(0, rows.back(), 0, 0).ok());
      ASSERT_EQ(served(reader), truth()) << "seed " << seed;
      ASSERT_EQ(std::count_if(reader.table().rows().begin(), reader.table().rows().end(),
                              [](const auto& entry) { return entry.first.router == "a"; }),
                1)
          << "seed " << seed;
    }
  }
}

// Folded counts are published even if the process counts no request of its own. Guards against a router
// without traffic after its start never publishing the counts of its earlier processes.
TEST(ReplicatedCounter, SealsFoldedCountsWithoutANewCount) {
  ReplicatedCounter counter(Settings{}, "a", 5, "");
  counter.seal(0, {{{"t", "c"}, count_of(7)}});
  EXPECT_FALSE(counter.seal_folds(1));
  EXPECT_TRUE(counter.merge(1, row("a", 3, 4, 100), 0, 0).ok());
  EXPECT_TRUE(counter.has_unsealed_folds());
  EXPECT_TRUE(counter.seal_folds(2));
  EXPECT_EQ(served(counter), 107u);
  EXPECT_TRUE(counter.merge(3, row("a", 3, 4, 100), 0, 0).ok());
  EXPECT_FALSE(counter.seal_folds(4));
}

// With more processes than a row has room for entries, the first ones are merged into a sum; nothing is
// counted twice.
TEST(ReplicatedCounter, SumsUpTheFirstOfManyProcesses) {
  constexpr std::uint64_t kProcesses = 60;
  ReplicatedCounter other(Settings{}, "b", 1, "");
  coordination::CounterRow last_row;
  for (std::uint64_t birth = 1; birth <= kProcesses; ++birth) {
    ReplicatedCounter process(Settings{}, "a", birth, "");
    if (birth > 1) {
      EXPECT_TRUE(process.merge(0, last_row, 0, 0).ok());
    }
    last_row = sealed(process, birth, 10);
    EXPECT_LE(last_row.parts_size(), 17);
    EXPECT_LE(last_row.folded_size(), 16);
    EXPECT_TRUE(other.merge(0, last_row, 0, 0).ok());
    EXPECT_EQ(served(other), 10 * birth);
  }
  EXPECT_TRUE(other.merge(0, row("a", 2, 1, 10), 0, 0).ok());  // the sum includes it
  EXPECT_EQ(served(other), 10 * kProcesses);
}

// If the entries become too large for a row, the row is a single sum from then on.
TEST(ReplicatedCounter, ARowWhoseEntriesAreTooLargeIsOneSum) {
  const std::string long_name(60, 'x');
  ReplicatedCounter::Counts many;
  for (int team = 0; team < 200; ++team) many[{long_name + std::to_string(team), long_name}] = count_of(1);
  ReplicatedCounter first(Settings{}, "a", 1, "");
  first.seal(0, many);
  ReplicatedCounter second(Settings{}, "a", 2, "");
  EXPECT_TRUE(second.merge(0, first.table().rows().at({"a", 1}).entry, 0, 0).ok());
  second.seal(0, {{{"t", "c"}, count_of(5)}});
  const coordination::CounterRow row_of_second = second.table().rows().at({"a", 2}).entry;
  EXPECT_EQ(row_of_second.parts_size(), 0);
  ReplicatedCounter other(Settings{}, "b", 1, "");
  EXPECT_TRUE(other.merge(0, first.table().rows().at({"a", 1}).entry, 0, 0).ok());
  EXPECT_TRUE(other.merge(0, row_of_second, 0, 0).ok());
  EXPECT_EQ(served(other), 205u);
}

// A row from an older program version, without entries, that has folded others is a single sum: it is never
// added to the processes that it includes, but an entry that it does not include counts in addition.
TEST(ReplicatedCounter, TreatsRowsOfOlderProgramVersionsAsSums) {
  const auto old_row = [](std::uint64_t birth, std::uint64_t counted, std::uint64_t folded) {
    coordination::CounterRow out = row("a", birth, 4, counted);
    coordination::VersionMark& mark = *out.add_folded();
    mark.set_name("a");
    mark.set_birth(folded);
    mark.set_version(1);
    return out;
  };
  ReplicatedCounter other(Settings{}, "b", 1, "");
  EXPECT_TRUE(other.merge(0, row("a", 1, 1, 100), 0, 0).ok());
  EXPECT_TRUE(other.merge(0, old_row(3, 110, 1), 0, 0).ok());
  EXPECT_EQ(served(other), 110u);
  EXPECT_TRUE(other.merge(0, row("a", 2, 1, 7), 0, 0).ok());
  EXPECT_EQ(served(other), 117u);
  EXPECT_TRUE(other.merge(0, old_row(2, 107, 1), 0, 0).ok());  // both sums include process 1
  EXPECT_LE(served(other), 117u);

  ReplicatedCounter next(Settings{}, "a", 4, "");
  EXPECT_TRUE(next.merge(0, old_row(3, 110, 1), 0, 0).ok());
  EXPECT_TRUE(next.merge(0, row("a", 2, 1, 7), 0, 0).ok());
  EXPECT_TRUE(next.merge(0, row("a", 1, 9, 180), 0, 0).ok());
  EXPECT_EQ(next.counters().not_counted, 1u);
  EXPECT_TRUE(other.merge(0, sealed(next, 4, 1), 0, 0).ok());
  EXPECT_EQ(served(other), 118u);
}

TEST(ReplicatedCounter, RejectsImplausibleRows) {
  ReplicatedCounter counter(Settings{}, "b", 1, "");
  EXPECT_FALSE(counter.merge(0, row("a", 0, 1, 1), 0, 0).ok());
  EXPECT_FALSE(counter.merge(0, row(std::string(65, 'x'), 1, 1, 1), 0, 0).ok());
  EXPECT_FALSE(counter.merge(0, row("c", 1, 1, UINT64_MAX), 0, 0).ok());
  EXPECT_FALSE(counter.merge(0, row("b", 1, 99, 1), 0, 0).ok());
}

TEST(ReplicatedCounter, CountsTheRowsDroppedBecauseTheTableIsFull) {
  Settings settings;
  settings.max_rows = 3;
  ReplicatedCounter counter(settings, "s", 1, "");
  for (int i = 0; i < 9; ++i) {
    EXPECT_TRUE(counter.merge(0, row("n" + std::to_string(i), 1, 1, 1), 0, 0).ok());
  }
  EXPECT_EQ(counter.table().rows().size(), 3u);
  EXPECT_EQ(counter.table().dropped(), 6u);
}

}  // namespace
}  // namespace flintglade::shared
