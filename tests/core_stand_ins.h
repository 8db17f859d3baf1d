// A core on stand-in ports: time moves only when a test says so, and what the core asks of the outside is
// noted.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/broker.h"
#include "core/ports.h"

namespace flintglade::tests {

using core::Micros;

struct Ports final : core::Clock, core::EndpointList, core::ReplicaClient {
  Micros time = 1000 * core::kSecond;
  int subscribed = 0;
  std::vector<core::AttemptId> calls, cancelled;
  std::vector<bool> paused;
  std::vector<Micros> patience;
  Micros no_new_after = 0;
  Micros now() override { return time; }
  void subscribe(bool) override { ++subscribed; }
  void update_endpoint(const core::Endpoint&, Micros limit) override { no_new_after = limit; }
  void start_attempt(core::AttemptId id, core::ReplicaId, std::shared_ptr<const core::Request>,
                     Micros p) override {
    calls.push_back(id);
    patience.push_back(p);
  }
  void cancel_attempt(core::AttemptId id) override { cancelled.push_back(id); }
  void pause_attempt(core::AttemptId, bool on) override { paused.push_back(on); }
};

struct Answer final : core::ResponseWriter {
  std::string text, end;
  bool slow = false;
  bool write_events(std::string_view events) override {
    text += events;
    return !slow;
  }
  void finish() override { end += "finish"; }
  void abort_stream() override { end += "break"; }
  void reject(Micros, bool late) override { end += late ? "late" : "unavailable"; }
  void fail(core::Failure) override { end += "fail"; }
};

struct Core {
  Ports ports;
  core::BrokerSettings limits;
  std::unique_ptr<core::Broker> broker;
  explicit Core(std::size_t body_budget = 1 << 20) {
    policy::Settings s;
    s.classes.resize(1);
    s.classes[0].streamed = true;
    s.list_on_request = s.may_cancel = s.may_duplicate = s.retry_after = true;
    s.max_attempts = 3;
    s.max_retry_after = 2.0;
    limits.body_budget = body_budget;
    broker = std::make_unique<core::Broker>(limits, s, 7, ports, ports);
    broker->attach(core::Wire::http, ports);
    list(policy::Health::ready, 1);
  }
  // One replica, as a whole list has it.
  void list(policy::Health health, core::ReplicaId id, std::uint32_t version = 0, double started_at = 0.0) {
    core::EndpointListUpdate news;
    news.kind = policy::ListKind::full;
    news.version = version;
    news.entries.resize(1);
    news.entries[0].address = "127.0.0.1:1";
    news.entries[0].replica.id = id;
    news.entries[0].replica.health = health;
    news.entries[0].replica.started_at = started_at;
    broker->on_endpoint_list_update(std::move(news));
    broker->run_iteration();
  }
  std::shared_ptr<Answer> send(core::RequestId& id, std::size_t body = 0) {
    auto rpc = std::make_shared<core::Request>();
    rpc->patience = 5 * core::kSecond;
    rpc->body.assign(body, 'x');
    rpc->trace_id = std::to_string(++sent);
    const auto answer = std::make_shared<Answer>();
    id = broker->on_request(rpc, answer);
    broker->run_iteration();
    return answer;
  }
  int sent = 0;
  void pass_time(Micros span) {
    for (const Micros end = ports.time + span; ports.time < end; ports.time += 5 * core::kMilli)
      broker->run_iteration();
  }
};

}  // namespace flintglade::tests
