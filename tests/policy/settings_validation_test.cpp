#include <gtest/gtest.h>

#include <cmath>

#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

TEST(SettingsValidation, SettingsOutOfRangeStillLeadToAnswers) {
  Settings odd[5];
  odd[1].classes.emplace_back();
  odd[1].classes[0].latency_objective = -1.0;
  odd[1].classes[0].hard_limit = 0.0;
  odd[2] = test_settings();
  odd[2].max_attempts = 0;
  odd[2].balancers = -5;
  odd[2].cold_from = std::nan("");
  odd[2].fall_multiple = 0.0;
  odd[3] = test_settings();
  odd[3].zones = 0;
  odd[3].zone = 99;
  odd[3].price_cross_zone = 1.0;
  odd[4] = test_settings();
  odd[4].tenants = {{-3.0, 0.0}, {std::nan(""), 1.0}};
  for (const Settings& settings : odd) {
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

}  // namespace
}  // namespace flintglade::policy
