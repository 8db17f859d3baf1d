// Admission of effects by their fencing tokens.
#include "coordination/fencing_token.h"

#include <gtest/gtest.h>

namespace flintglade::coordination {
namespace {

TEST(FencingTokens, AdmitsTheHighestTokenAgainAndRejectsALowerOne) {
  FencingTokens tokens;
  EXPECT_TRUE(tokens.admit("j", 5));
  EXPECT_TRUE(tokens.admit("j", 5));
  EXPECT_TRUE(tokens.admit("j", 7));
  EXPECT_FALSE(tokens.admit("j", 6));
  EXPECT_EQ(tokens.highest("j"), 7u);
  EXPECT_EQ(tokens.rejected(), 1u);
}

TEST(FencingTokens, TracksEachJobSeparately) {
  FencingTokens tokens;
  EXPECT_TRUE(tokens.admit("j", 5));
  EXPECT_TRUE(tokens.admit("k", 1));
  EXPECT_EQ(tokens.highest("k"), 1u);
  EXPECT_EQ(tokens.highest("never seen"), 0u);
}

TEST(FencingTokens, StoresTokensOfALimitedNumberOfJobs) {
  FencingTokens tokens;
  for (std::size_t i = 0; i < FencingTokens::kMaxJobs; ++i)
    ASSERT_TRUE(tokens.admit("job" + std::to_string(i), 1));
  EXPECT_FALSE(tokens.admit("one more", 1));
  EXPECT_TRUE(tokens.admit("job0", 2));
}

}  // namespace
}  // namespace flintglade::coordination
