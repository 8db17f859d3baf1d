// The retry budget: without it, retries would make up most of the load when many requests fail. Based on the
// retry throttling of gRPC (gRFC A6). Not thread-safe.
#pragma once

#include <algorithm>

#include "policy/learned_state.h"

namespace flintglade::policy {

class RetryBudget {
 public:
  static constexpr double kRetriesPerRequest = 0.2;
  static constexpr double kMaxTokens = 10.0;  // maximum number of retries in the budget

  // learned must outlive this object.
  explicit RetryBudget(LearnedState& learned) : learned_(learned) { learned_.retry_tokens = kMaxTokens; }

  void on_new_request() {
    learned_.retry_tokens = std::min(kMaxTokens, learned_.retry_tokens + kRetriesPerRequest);
  }
  bool exhausted() const { return learned_.retry_tokens < 1.0; }
  void spend() { learned_.retry_tokens -= 1.0; }

 private:
  LearnedState& learned_;
};

}  // namespace flintglade::policy
