// The actions that the decision module requests from the core. The module's calls are only collected; the
// core executes them, in order, after the module has handled all events and timers of the iteration.
#pragma once

#include <cstdint>
#include <utility>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "flintglade/policy/balancer.h"

namespace flintglade::core {

struct StartAttempt {
  RequestId request;
  ReplicaId replica;
  double timeout_seconds;  // until the first event; 0: until the request's deadline
};
struct RejectRequest {
  RequestId request;
  double retry_after_seconds;
};
struct FailRequest {
  RequestId request;
};
struct StopAttempt {
  AttemptId attempt;
};
struct SetModuleTimer {
  double delay_seconds;
  std::uint64_t cookie;  // passed back in Balancer::on_timer
};
struct SubscribeToList {
  bool on;
};

using Action =
    std::variant<StartAttempt, RejectRequest, FailRequest, StopAttempt, SetModuleTimer, SubscribeToList>;

class ActionCollector final : public policy::ActionSink {
 public:
  // Returns the actions collected since the last call, in order.
  std::vector<Action> take() { return std::exchange(actions_, {}); }

  void attempt(RequestId id, ReplicaId replica, double timeout_seconds) override {
    actions_.emplace_back(StartAttempt{id, replica, timeout_seconds});
  }
  void reject(RequestId id, double retry_after_seconds) override {
    actions_.emplace_back(RejectRequest{id, retry_after_seconds});
  }
  void fail(RequestId id) override { actions_.emplace_back(FailRequest{id}); }
  void stop_attempt(RequestId id, std::uint16_t attempt) override {
    actions_.emplace_back(StopAttempt{{id, attempt}});
  }
  void set_timer(double delay_seconds, std::uint64_t cookie) override {
    actions_.emplace_back(SetModuleTimer{delay_seconds, cookie});
  }
  void subscribe(bool on) override { actions_.emplace_back(SubscribeToList{on}); }

 private:
  std::vector<Action> actions_;
};

}  // namespace flintglade::core
