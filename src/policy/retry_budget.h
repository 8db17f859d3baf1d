// The budget of retries: in a storm of failures, retries without one would be the larger part of the load.
// After the retry throttling of gRPC (gRFC A6). Not thread-safe.
#pragma once

#include <algorithm>

#include "policy/learned_state.h"

namespace flintglade::policy {

class RetryBudget {
 public:
  static constexpr double kRetriesPerRequest = 0.2;
  static constexpr double kMaxTokens = 10.0;  // retries that may be saved up

  // learned outlives this.
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
