// The comparison of voters' lease tables.
#include "coordination/table_checksums.h"

#include <gtest/gtest.h>

namespace flintglade::coordination {
namespace {

TEST(TableChecksums, FindsADifferenceAtTheSameEntryOnly) {
  TableChecksums checksums;
  checksums.record({5, 50});
  checksums.record({7, 70});
  checksums.compare(2, {5, 50});
  checksums.compare(3, {6, 99});  // an entry that is no command: not recorded here
  checksums.compare(3, {8, 99});  // not applied here yet
  EXPECT_TRUE(checksums.differing_voters().empty());
  checksums.compare(3, {7, 71});
  ASSERT_EQ(checksums.differing_voters().size(), 1u);
  EXPECT_EQ(checksums.differing_voters().at(3), 7u);
}

TEST(TableChecksums, ForgetsADifferenceThatIsGone) {
  TableChecksums checksums;
  checksums.record({5, 50});
  checksums.record({6, 60});
  checksums.compare(3, {5, 51});
  checksums.compare(3, {6, 60});
  EXPECT_TRUE(checksums.differing_voters().empty());
}

TEST(TableChecksums, IsBounded) {
  TableChecksums checksums;
  for (std::uint64_t index = 1; index <= 2 * TableChecksums::kMaxEntries; ++index)
    checksums.record({index, static_cast<std::uint32_t>(index)});
  checksums.compare(2, {TableChecksums::kMaxEntries, 0});  // older than what is kept
  EXPECT_TRUE(checksums.differing_voters().empty());
  checksums.compare(2, {TableChecksums::kMaxEntries + 1, 0});
  EXPECT_EQ(checksums.differing_voters().size(), 1u);
}

}  // namespace
}  // namespace flintglade::coordination
