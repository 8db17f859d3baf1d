#include "simulator_adapter/boot_info.h"

#include <gtest/gtest.h>

namespace flintglade::policy {
namespace {

TEST(BootInfo, ReadsWhatDecisionsNeedAndSkipsTheRest) {
  Settings s;
  const std::string error = parse_boot_info(
      "accounts.count=1\naccounts.0.quota_per_s=15.0\naccounts.0.share=0.28\naz=1\nbalancers=12\n"
      "classes.count=2\nclasses.0.aim=0.4\nclasses.0.hard_limit=1.5\nclasses.0.late_value=0.5\n"
      "classes.0.semantics=keyed\nclasses.0.group=cell\nclasses.0.key_ttl=2.5\nclasses.0.streamed=true\n"
      "classes.1.semantics=unsafe\nfailure_domains=a,b,c\n"
      "family_info.aim_us_per_1000_prompt_tokens=60000.0,40000.0\ninvariants.cold=24.0\ninvariants.cold_from="
      "0.12\n"
      "invariants.fall=3.0\ninvariants.fall_multiple=3.5\npermissions.may_duplicate=true\npermissions.most_"
      "tries=5\n"
      "prices.cross_zone=0.03\nregistry_mode=on_request\nweight_source=rough\nworth_by=work\nsomething.new=x="
      "y\r\n\n",
      s);
  EXPECT_EQ(error, "");
  ASSERT_EQ(s.classes.size(), 2u);
  EXPECT_DOUBLE_EQ(s.classes[0].latency_objective, 0.4);
  EXPECT_DOUBLE_EQ(s.classes[0].latency_objective_per_1000_tokens, 0.06);
  EXPECT_DOUBLE_EQ(s.classes[1].latency_objective_per_1000_tokens, 0.04);
  EXPECT_EQ(s.classes[0].semantics, Semantics::idempotency_key);
  EXPECT_EQ(s.classes[0].idempotency_scope, IdempotencyScope::cell);
  EXPECT_DOUBLE_EQ(s.classes[0].key_ttl, 2.5);
  EXPECT_TRUE(s.classes[0].streamed);
  EXPECT_EQ(s.classes[1].semantics, Semantics::not_idempotent);
  ASSERT_EQ(s.tenants.size(), 1u);
  EXPECT_DOUBLE_EQ(s.tenants[0].quota_per_s, 15.0);
  EXPECT_EQ(s.balancers, 12);
  EXPECT_EQ(s.zone, 1);
  EXPECT_EQ(s.zones, 3);
  EXPECT_EQ(s.max_attempts, 5);
  EXPECT_TRUE(s.may_duplicate);
  EXPECT_TRUE(s.list_on_request);
  EXPECT_TRUE(s.priority_weight_by_work);
  EXPECT_EQ(s.weights, WeightSource::rough);
  EXPECT_DOUBLE_EQ(s.fall_multiple, 3.5);
  EXPECT_DOUBLE_EQ(s.price_cross_zone, 0.03);
}

TEST(BootInfo, AbsentSettingsKeepTheirDefaults) {
  Settings s;
  EXPECT_EQ(parse_boot_info("", s), "");
  EXPECT_TRUE(s.classes.empty());
  EXPECT_EQ(s.balancers, 1);
  EXPECT_FALSE(s.may_duplicate);
}

TEST(BootInfo, MalformedValuesAreNamedInOneLine) {
  for (const char* text : {"balancers=many", "classes.count=-1", "classes.count=1e9", "classes.count=nan",
                           "permissions.may_cancel=yes", "registry_mode=sometimes", "just a line", "=3",
                           "classes.count=1\nclasses.0.semantics=odd", "invariants.fall=",
                           "classes.count=1\nfamily_info.aim_us_per_1000_prompt_tokens=x"}) {
    Settings s;
    const std::string error = parse_boot_info(text, s);
    EXPECT_NE(error, "") << text;
    EXPECT_EQ(error.find('\n'), std::string::npos) << text;
  }
}

}  // namespace
}  // namespace flintglade::policy
