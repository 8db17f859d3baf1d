// The output of a process that a test has started.
#include "fleet/process.h"

#include <gtest/gtest.h>

#include <string>

namespace flintglade::tests {
namespace {

constexpr int kRounds = 200;
constexpr int kTimeoutMs = 10'000;
constexpr std::size_t kOutputBytes = 60'000;  // less than a pipe buffer: the process exits without waiting

// tls_files.kserve, fleet_answers_move_9: a test read the log of a process that had ended before its last
// lines.
TEST(Process, HasItsWholeOutputOnceItHasEnded) {
  const std::string script = "head -c " + std::to_string(kOutputBytes) + " /dev/zero >&2";
  for (int i = 0; i < kRounds; ++i) {
    Process process({"/bin/sh", {"-c", script}, {}, -1});
    int status = -1;
    ASSERT_TRUE(within(kTimeoutMs, [&] { return process.ended(status); }));
    ASSERT_EQ(process.log().size(), kOutputBytes) << "in round " << i;
  }
}

}  // namespace
}  // namespace flintglade::tests
