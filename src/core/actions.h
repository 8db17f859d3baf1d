// What the decision module asks the core to do. The module's calls are only collected; the core executes
// them, in order, once the module has seen everything that happened in the iteration.
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
  double timeout_seconds;  // 0: until the client's deadline
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
  double span_seconds;
  std::uint64_t cookie;  // given back by Balancer::on_timer
};
struct SubscribeToList {
  bool on;
};

using Action =
    std::variant<StartAttempt, RejectRequest, FailRequest, StopAttempt, SetModuleTimer, SubscribeToList>;

class ActionCollector final : public policy::ActionSink {
 public:
  // What was collected since the last call, in order.
  std::vector<Action> take() { return std::exchange(actions_, {}); }

  void attempt(RequestId id, ReplicaId replica, double attempt_timeout) override {
    actions_.emplace_back(StartAttempt{id, replica, attempt_timeout});
  }
  void reject(RequestId id, double retry_after) override {
    actions_.emplace_back(RejectRequest{id, retry_after});
  }
  void fail(RequestId id) override { actions_.emplace_back(FailRequest{id}); }
  void stop_attempt(RequestId id, std::uint16_t attempt) override {
    actions_.emplace_back(StopAttempt{{id, attempt}});
  }
  void set_timer(double span, std::uint64_t cookie) override {
    actions_.emplace_back(SetModuleTimer{span, cookie});
  }
  void subscribe(bool on) override { actions_.emplace_back(SubscribeToList{on}); }

 private:
  std::vector<Action> actions_;
};

}  // namespace flintglade::core
