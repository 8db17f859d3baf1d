#include "shared/replicated_counter.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

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
  EXPECT_TRUE(other.merge(0, row("a", 3, 2, 50), 0, 0).ok());  // it does not come back
  EXPECT_EQ(other.table().rows().size(), 1u);
  std::uint64_t sum = 0;
  for (const auto& [key, total] : other.totals(0)) sum += total.count.served();
  EXPECT_EQ(sum, 108u);
}

TEST(ReplicatedCounter, RejectsImplausibleRows) {
  ReplicatedCounter counter(Settings{}, "b", 1, "");
  EXPECT_FALSE(counter.merge(0, row("a", 0, 1, 1), 0, 0).ok());
  EXPECT_FALSE(counter.merge(0, row(std::string(65, 'x'), 1, 1, 1), 0, 0).ok());
  EXPECT_FALSE(counter.merge(0, row("c", 1, 1, UINT64_MAX), 0, 0).ok());
  EXPECT_FALSE(counter.merge(0, row("b", 1, 99, 1), 0, 0).ok());
}

TEST(ReplicatedCounter, CountsTheRowsForWhichThereIsNoRoom) {
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
