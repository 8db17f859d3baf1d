// The output and the descriptors of a process that a test has started.
#include "fleet/process.h"

#include <fcntl.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "net/unique_fd.h"

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

// fleet_upgrades_30: a process that was forked and had not executed the program yet was counted with the
// descriptors of the test.
TEST(Process, HasNoDescriptorsOfTheTestOnceItIsStarted) {
  constexpr std::size_t kDescriptorsOfTheTest = 200, kMostOfTheProgram = 10;
  std::vector<net::UniqueFd> held;
  for (std::size_t i = 0; i < kDescriptorsOfTheTest; ++i) {
    held.emplace_back(::open("/dev/null", O_RDONLY | O_CLOEXEC));
    ASSERT_TRUE(held.back());
  }
  for (int i = 0; i < kRounds; ++i) {
    const Process process({"/bin/sleep", {"60"}, {}, -1});
    ASSERT_LE(process.descriptors(), kMostOfTheProgram) << "in round " << i;
  }
}

}  // namespace
}  // namespace flintglade::tests
