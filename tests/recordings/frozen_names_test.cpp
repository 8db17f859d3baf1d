// Checks names that operators and the platform write and read (docs/frozen-names.md): the keys of config.json
// and the metrics of /_vars. The names in the operator's file are checked in proto_numbers_test.cpp, the
// command line in command_line.sh, the simulator's records in wire_test.cpp, headers and paths by the
// scenarios.
//
// A refactoring must not change these names. A name here changes only together with an intended change of the
// interface.
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

#include "admin/metrics.h"
#include "config/config.h"

namespace flintglade::tests {
namespace {

std::string contents(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

// ---- config.json

// Every key that the router reads, with a value that differs from its default.
constexpr char kEveryKey[] = R"({
  "name": "n7", "listen": "10.0.0.4:8000", "discovery": "10.2.0.1:8500", "admin_addr": "10.0.0.5:9100",
  "seed": "8c1f30d27a5be964", "limits": {"memory_mb": 333, "sockets": 777},
  "known": {"rev": 41, "all": true, "targets": []},
  "settings": {
    "balancers": 9, "rank": 4, "az": 1, "failure_domains": ["hall-a", "hall-b"], "models": ["big", "small"],
    "registry_mode": "pushed", "weight_source": "rough", "over_share_worth": 0.125, "worth_by": "work",
    "classes": [
      {"name": "chat", "aim": 1.25, "hard_limit": 6.5, "worth": 4.5, "late_value": 0.25, "key_ttl": 7.5,
       "semantics": "keyed", "group": "cell", "streamed": true},
      {"name": "bulk", "semantics": "unsafe", "group": "zone"}],
    "accounts": [{"name": "acme", "quota_per_s": 12.5, "share": 0.75}],
    "callers": {"marks_retry": true},
    "family_info": {"resume": true, "aim_us_per_1000_prompt_tokens": [30000, 40000]},
    "permissions": {"may_cancel": true, "may_duplicate": true, "probing": true, "peers": true,
                    "retry_after": true, "most_tries": 4, "max_retry_after": 2.5, "dial_timeout": 0.25,
                    "conn_idle": 6.5},
    "prices": {"cross_zone": 0.1875, "waste": 0.3125, "late_fail": 0.0625},
    "invariants": {"cold_from": 0.375, "cold": 8.5, "fall_multiple": 2.5, "fall": 3.5, "must_ask_in": 10.5,
                   "drain_grace": 2.5, "grace_to_answer": 0.125}}})";

class ConfigKeys : public testing::Test {
 protected:
  void SetUp() override { ASSERT_EQ(config::parse(kEveryKey, config_), ""); }
  config::Config config_;
};

TEST_F(ConfigKeys, OfThePlatform) {
  EXPECT_EQ(config_.name, "n7");
  EXPECT_EQ(config::host_port(config_.listen.host, config_.listen.port), "10.0.0.4:8000");
  EXPECT_EQ(config::host_port(config_.discovery.host, config_.discovery.port), "10.2.0.1:8500");
  EXPECT_EQ(config::host_port(config_.admin.host, config_.admin.port), "10.0.0.5:9100");
  EXPECT_EQ(config_.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(config_.memory_mb, 333u);
  EXPECT_EQ(config_.sockets, 777u);
  EXPECT_NE(config_.known.find("\"rev\":41"), std::string::npos);
}

TEST_F(ConfigKeys, OfClassesAndTenants) {
  const policy::Settings& settings = config_.module;
  EXPECT_EQ(config_.classes, (std::vector<std::string>{"chat", "bulk"}));
  EXPECT_EQ(config_.tenants, std::vector<std::string>{"acme"});
  ASSERT_EQ(settings.classes.size(), 2u);
  const policy::ClassSettings& chat = settings.classes[0];
  EXPECT_EQ(chat.latency_objective, 1.25);
  EXPECT_EQ(chat.hard_limit, 6.5);
  EXPECT_EQ(chat.priority_weight, 4.5);
  EXPECT_EQ(chat.late_value, 0.25);
  EXPECT_EQ(chat.key_ttl, 7.5);
  EXPECT_EQ(chat.semantics, policy::Semantics::idempotency_key);
  EXPECT_EQ(chat.idempotency_scope, policy::IdempotencyScope::cell);
  EXPECT_TRUE(chat.streamed);
  EXPECT_DOUBLE_EQ(chat.latency_objective_per_1000_tokens, 0.03);
  EXPECT_EQ(settings.classes[1].semantics, policy::Semantics::not_idempotent);
  EXPECT_EQ(settings.classes[1].idempotency_scope, policy::IdempotencyScope::zone);
  EXPECT_DOUBLE_EQ(settings.classes[1].latency_objective_per_1000_tokens, 0.04);
  ASSERT_EQ(settings.tenants.size(), 1u);
  EXPECT_EQ(settings.tenants[0].quota_per_s, 12.5);
  EXPECT_EQ(settings.tenants[0].share, 0.75);
}

TEST_F(ConfigKeys, OfTheFleetAndTheList) {
  const policy::Settings& settings = config_.module;
  EXPECT_EQ(config_.zones, (std::vector<std::string>{"hall-a", "hall-b"}));
  EXPECT_EQ(config_.kinds, (std::vector<std::string>{"big", "small"}));
  EXPECT_EQ(settings.balancers, 9);
  EXPECT_EQ(settings.rank, 4);
  EXPECT_EQ(settings.zone, 1);
  EXPECT_EQ(settings.zones, 2);
  EXPECT_EQ(settings.over_quota_weight, 0.125);
  EXPECT_TRUE(settings.priority_weight_by_work);
  EXPECT_TRUE(settings.list_pushed);
  EXPECT_EQ(settings.weights, policy::WeightSource::rough);
  EXPECT_TRUE(settings.marks_retry);
  EXPECT_TRUE(settings.resume);
}

TEST_F(ConfigKeys, OfPermissionsPricesAndInvariants) {
  const policy::Settings& settings = config_.module;
  EXPECT_TRUE(settings.may_cancel && settings.may_duplicate && settings.may_probe && settings.may_peer);
  EXPECT_TRUE(settings.retry_after);
  EXPECT_EQ(settings.max_attempts, 4);
  EXPECT_EQ(settings.max_retry_after, 2.5);
  EXPECT_EQ(settings.dial_timeout, 0.25);
  EXPECT_EQ(config_.dial_timeout, 250 * core::kMilli);
  EXPECT_EQ(config_.conn_idle, 6500 * core::kMilli);
  EXPECT_EQ(settings.price_cross_zone, 0.1875);
  EXPECT_EQ(settings.price_waste, 0.3125);
  EXPECT_EQ(settings.price_late_fail, 0.0625);
  EXPECT_EQ(settings.cold_from, 0.375);
  EXPECT_EQ(settings.cold_s, 8.5);
  EXPECT_EQ(settings.fall_multiple, 2.5);
  EXPECT_EQ(settings.fall_s, 3.5);
  EXPECT_EQ(settings.must_ask_in, 10.5);
  EXPECT_EQ(config_.drain_grace, 2500 * core::kMilli);
  EXPECT_EQ(config_.answer_grace, 125 * core::kMilli);
}

TEST(ConfigFile, TheExampleIsRead) {
  config::Config config;
  ASSERT_EQ(config::parse(contents(FLINTGLADE_EXAMPLE_CONFIG), config), "");
  EXPECT_EQ(config.name, "n1");
  EXPECT_EQ(config.classes, std::vector<std::string>{"chat"});
  EXPECT_EQ(config.tenants, std::vector<std::string>{"acme"});
  EXPECT_EQ(config.module.max_attempts, 3);
  EXPECT_EQ(config.sockets, 1024u);
}

// ---- /_vars

// Omits the help lines, whose texts may change.
std::string without_help(const std::string& text) {
  std::istringstream in(text);
  std::string out;
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("# HELP", 0) != 0) out += line + "\n";
  }
  return out;
}

TEST(VarsNames, AreThoseRecorded) {
  core::Counters counters;
  counters.attempts_written = 4;
  counters.answers = {{11, 12, 13}, {21, 22, 23}};
  admin::Metrics metrics;
  metrics.counters = &counters;
  metrics.classes = {"chat", "bulk"};
  metrics.active = 5;
  metrics.pool_size = 6;
  metrics.pool_ejected = 7;
  EXPECT_EQ(without_help(admin::render(metrics)), contents(FLINTGLADE_TEST_DATA "/vars_names.txt"));
}

}  // namespace
}  // namespace flintglade::tests
