// `fleet audit`: the log lines that it parses, of this version and of earlier ones, and the violations that
// it reports.
#include "coordination/audit.h"

#include <gtest/gtest.h>

namespace flintglade::coordination {
namespace {

// The event names of one version.
struct EventNames {
  const char* version;
  const char *granted, *acquired, *released, *effect_applied, *stale_token;
};

constexpr EventNames kCurrentNames{"current",        "lease_granted",        "lease_acquired",
                                   "lease_released", "lease_effect_applied", "stale_fencing_token"};
constexpr EventNames kEarlierNames{"earlier",   "job_granted", "job_starts",
                                   "job_stops", "effect_of",   "effect_refused"};

std::string line(int second, const std::string& event, const std::string& fields) {
  return "ts=2026-01-02T03:04:0" + std::to_string(second) + ".500Z event=" + event + " " + fields + "\n";
}

class AuditOfVersion : public ::testing::TestWithParam<EventNames> {};

TEST_P(AuditOfVersion, ListsOwnershipsWithoutViolations) {
  const EventNames& names = GetParam();
  Audit audit;
  audit.add_log("a", line(1, names.granted, "job=j number=1 to=a") +
                         line(1, names.acquired, "job=j number=1") +
                         line(3, names.released, "job=j number=1 why=\"moved by an operator\""));
  audit.add_log("b",
                line(4, names.granted, "job=j number=2 to=b") + line(4, names.acquired, "job=j number=2") +
                    line(5, names.stale_token, "job=j number=1 seen=2 from=a") + line(6, "other", "x=1"));
  EXPECT_TRUE(audit.violations().empty());
  EXPECT_EQ(audit.stale_effects(), 1u);
  const std::vector<Audit::Ownership> ownerships = audit.ownerships();
  ASSERT_EQ(ownerships.size(), 2u);
  EXPECT_EQ(ownerships[0].router, "a");
  EXPECT_EQ(ownerships[0].to_ms - ownerships[0].from_ms, 2000);
  EXPECT_EQ(ownerships[0].end_reason, "moved by an operator");
  EXPECT_EQ(ownerships[1].router, "b");
  EXPECT_EQ(ownerships[1].number, 2u);
  EXPECT_EQ(ownerships[1].end_reason, "its log ends");
}

TEST_P(AuditOfVersion, ReportsANumberThatTwoRoutersOwned) {
  const EventNames& names = GetParam();
  Audit audit;
  audit.add_log("a",
                line(1, names.granted, "job=j number=1 to=a") + line(1, names.acquired, "job=j number=1"));
  audit.add_log("b", line(1, names.acquired, "job=j number=1"));
  EXPECT_EQ(audit.violations(), (std::vector<std::string>{"j number 1 ran at a and at b",
                                                          "j number 1 ran at b and was granted to a"}));
}

// Issue 45: number 3 was granted for one job at a voter and for another one at another voter.
TEST_P(AuditOfVersion, ReportsANumberThatWasGrantedForTwoJobs) {
  const EventNames& names = GetParam();
  Audit audit;
  audit.add_log("a", line(1, names.granted, "job=bank number=3 to=r4"));
  audit.add_log("b", line(2, names.granted, "job=job0 number=3 to=r2"));
  EXPECT_EQ(audit.violations(),
            (std::vector<std::string>{"number 3 was granted for bank and, at b, for job0"}));
}

TEST(Audit, ReportsVotersWhoseLeaseTablesDiffer) {
  Audit audit;
  audit.add_log("a", line(1, "lease_tables_differ", "voter=3 index=19"));
  EXPECT_EQ(
      audit.violations(),
      (std::vector<std::string>{"the lease table of voter 3 differs from that of a, seen after entry 19"}));
}

TEST_P(AuditOfVersion, ReportsANumberThatWasGrantedTwice) {
  const EventNames& names = GetParam();
  Audit audit;
  audit.add_log("a", line(1, names.granted, "job=j number=1 to=a"));
  audit.add_log("b", line(1, names.granted, "job=j number=1 to=b"));
  EXPECT_EQ(audit.violations(), std::vector<std::string>{"j 1 was granted to a and, at b, to b"});
}

TEST_P(AuditOfVersion, ReportsAnEffectThatWasAppliedAfterAHigherNumber) {
  const EventNames& names = GetParam();
  Audit audit;
  audit.add_log("c", line(1, names.effect_applied, "job=j number=2 from=b") +
                         line(2, names.effect_applied, "job=j number=1 from=a"));
  EXPECT_EQ(audit.violations(), std::vector<std::string>{"c applied an effect of j 1 after number 2"});
}

INSTANTIATE_TEST_SUITE_P(Versions, AuditOfVersion, ::testing::Values(kCurrentNames, kEarlierNames),
                         [](const auto& info) { return std::string(info.param.version); });

TEST(Audit, ReadsLogsOfMixedVersionsTogether) {
  Audit audit;
  audit.add_log("a", line(1, "job_granted", "job=j number=1 to=a") + line(1, "job_starts", "job=j number=1"));
  audit.add_log("b", line(1, "lease_granted", "job=j number=1 to=b"));
  EXPECT_EQ(audit.violations(), std::vector<std::string>{"j 1 was granted to a and, at b, to b"});
}

TEST(Audit, ANewProcessHasSeenNoTokenAndOwnsNothing) {
  Audit audit;
  audit.add_log("a", line(1, "lease_acquired", "job=j number=2") +
                         line(2, "lease_effect_applied", "job=j number=2 from=b") +
                         line(3, "listening", "wire=http") +
                         line(4, "lease_effect_applied", "job=j number=1 from=b"));
  EXPECT_TRUE(audit.violations().empty());
  ASSERT_EQ(audit.ownerships().size(), 1u);
  EXPECT_EQ(audit.ownerships()[0].end_reason, "its process ended");
}

TEST(Audit, CountsLinesThatCannotBeParsed) {
  Audit audit;
  audit.add_log("a", "no line\n\n" + line(1, "lease_acquired", "job=j number=2") + "ts=now event=x\n");
  EXPECT_EQ(audit.unparsed_lines(), 2u);
  EXPECT_EQ(audit.ownerships().size(), 1u);
}

TEST(ParseLogLine, ReadsTextAndJsonAlike) {
  const auto text = parse_log_line(R"(ts=2026-01-02T03:04:05.006Z event=e why="a \"b\" c" n=3)");
  const auto json =
      parse_log_line(R"({"ts":"2026-01-02T03:04:05.006Z","event":"e","why":"a \"b\" c","n":3})");
  ASSERT_TRUE(text.has_value());
  ASSERT_TRUE(json.has_value());
  EXPECT_EQ(text->fields, json->fields);
  EXPECT_EQ(text->ms, json->ms);
  EXPECT_EQ(text->event, "e");
  EXPECT_EQ((*text)["why"], "a \"b\" c");
  EXPECT_EQ((*text)["missing"], "");
}

TEST(ParseLogLine, RefusesAnIncompleteLine) {
  EXPECT_FALSE(parse_log_line(R"(ts=2026-01-02T03:04:05.006Z event=e why="a)").has_value());
  EXPECT_FALSE(parse_log_line(R"({"ts":"2026-01-02T03:04:05.006Z","event":)").has_value());
  EXPECT_FALSE(parse_log_line("ts=2026-01-02T03:04:05.006Z why=e").has_value());
  EXPECT_FALSE(parse_log_line("").has_value());
}

}  // namespace
}  // namespace flintglade::coordination
