#include "simulator_adapter/boot_info.h"

#include <gtest/gtest.h>

namespace flintglade::policy {
namespace {

TEST(BootInfo, ReadsKnownSettingsAndSkipsUnknownOnes) {
  Settings settings;
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
      settings);
  EXPECT_EQ(error, "");
  ASSERT_EQ(settings.classes.size(), 2u);
  EXPECT_DOUBLE_EQ(settings.classes[0].latency_objective, 0.4);
  EXPECT_DOUBLE_EQ(settings.classes[0].latency_objective_per_1000_tokens, 0.06);
  EXPECT_DOUBLE_EQ(settings.classes[1].latency_objective_per_1000_tokens, 0.04);
  EXPECT_EQ(settings.classes[0].semantics, Semantics::idempotency_key);
  EXPECT_EQ(settings.classes[0].idempotency_scope, IdempotencyScope::cell);
  EXPECT_DOUBLE_EQ(settings.classes[0].key_ttl, 2.5);
  EXPECT_TRUE(settings.classes[0].streamed);
  EXPECT_EQ(settings.classes[1].semantics, Semantics::not_idempotent);
  ASSERT_EQ(settings.tenants.size(), 1u);
  EXPECT_DOUBLE_EQ(settings.tenants[0].quota_per_s, 15.0);
  EXPECT_EQ(settings.balancers, 12);
  EXPECT_EQ(settings.zone, 1);
  EXPECT_EQ(settings.zones, 3);
  EXPECT_EQ(settings.max_attempts, 5);
  EXPECT_TRUE(settings.may_duplicate);
  EXPECT_TRUE(settings.list_on_request);
  EXPECT_TRUE(settings.priority_weight_by_work);
  EXPECT_EQ(settings.weights, WeightSource::rough);
  EXPECT_DOUBLE_EQ(settings.fall_multiple, 3.5);
  EXPECT_DOUBLE_EQ(settings.price_cross_zone, 0.03);
}

TEST(BootInfo, AbsentSettingsKeepTheirDefaults) {
  Settings settings;
  EXPECT_EQ(parse_boot_info("", settings), "");
  EXPECT_TRUE(settings.classes.empty());
  EXPECT_EQ(settings.balancers, 1);
  EXPECT_FALSE(settings.may_duplicate);
}

TEST(BootInfo, ReportsMalformedValuesInOneLine) {
  for (const char* text : {"balancers=many", "classes.count=-1", "classes.count=1e9", "classes.count=nan",
                           "permissions.may_cancel=yes", "registry_mode=sometimes", "just a line", "=3",
                           "classes.count=1\nclasses.0.semantics=odd", "invariants.fall=",
                           "classes.count=1\nfamily_info.aim_us_per_1000_prompt_tokens=x"}) {
    Settings settings;
    const std::string error = parse_boot_info(text, settings);
    EXPECT_NE(error, "") << text;
    EXPECT_EQ(error.find('\n'), std::string::npos) << text;
  }
}

}  // namespace
}  // namespace flintglade::policy
