#include "policy/settings_validation.h"

#include <gtest/gtest.h>

#include <cmath>

#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

TEST(SettingsValidation, SettingsOutOfRangeStillLeadToAnswers) {
  Settings invalid[5];
  invalid[1].classes.emplace_back();
  invalid[1].classes[0].latency_objective = -1.0;
  invalid[1].classes[0].hard_limit = 0.0;
  invalid[2] = test_settings();
  invalid[2].max_attempts = 0;
  invalid[2].balancers = -5;
  invalid[2].cold_from = std::nan("");
  invalid[2].fall_multiple = 0.0;
  invalid[3] = test_settings();
  invalid[3].zones = 0;
  invalid[3].zone = 99;
  invalid[3].price_cross_zone = 1.0;
  invalid[4] = test_settings();
  invalid[4].tenants = {{-3.0, 0.0}, {std::nan(""), 1.0}};
  for (const Settings& settings : invalid) {
    ScriptedRouter router(settings);
    auto replicas = ready_replicas(3);
    replicas[0].size = 0.0;
    replicas[1].size = std::nan("");
    router.list(ListKind::cached, replicas);
    for (RequestId id = 1; id <= 50; ++id) {
      NewRequest request = new_request(id, id % 3 == 0 ? 0 : id);
      request.request_class = static_cast<std::uint32_t>(id % 4);
      request.tenant = static_cast<std::uint32_t>(id % 4);
      request.hint = id % 5 == 0 ? std::nan("") : 1.0;
      router.receive(request);
    }
    router.run_to(120.0);
    for (RequestId id = 1; id <= 50; ++id) {
      EXPECT_EQ(router.final_answers(id), 1u);
      EXPECT_GE(router.attempts_sent[id], 1u);
    }
  }
}

TEST(SettingsValidation, ClampsNumbersAndAddsAClass) {
  Settings settings;
  settings.balancers = 0;
  settings.zones = -1;
  settings.max_attempts = 0;
  settings.slots = 1 << 30;
  settings.cold_from = std::nan("");
  settings.fall_s = 0.0;
  const Settings clamped = clamped_settings(settings);
  EXPECT_EQ(clamped.classes.size(), 1u);
  EXPECT_EQ(clamped.balancers, 1);
  EXPECT_EQ(clamped.zones, 1);
  EXPECT_EQ(clamped.max_attempts, 1);
  EXPECT_EQ(clamped.slots, 65536);
  EXPECT_EQ(clamped.cold_from, 0.01);
  EXPECT_EQ(clamped.fall_s, 0.01);
}

TEST(SettingsValidation, AnObjectiveIsNeverAboveTheHardLimit) {
  Settings settings;
  settings.classes.emplace_back();
  settings.classes[0].latency_objective = 10.0;
  settings.classes[0].hard_limit = 3.0;
  EXPECT_EQ(clamped_settings(settings).classes[0].latency_objective, 3.0);
}

}  // namespace
}  // namespace flintglade::policy
