// A Broker on fake ports: time advances only when a test advances it, and the core's calls to its ports are
// recorded.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/broker.h"
#include "core/ports.h"

namespace flintglade::tests {

using core::Micros;

struct FakePorts final : core::Clock, core::EndpointList, core::ReplicaClient {
  Micros time = 1000 * core::kSecond;
  int subscribed = 0;
  std::vector<core::AttemptId> attempts, cancelled;
  std::vector<bool> paused;
  std::vector<Micros> first_event_timeouts;  // of the attempts
  Micros no_new_after = 0;                   // from the latest update_endpoint
  FakePorts() = default;
  FakePorts(const FakePorts&) = delete;
  FakePorts& operator=(const FakePorts&) = delete;
  Micros now() override { return time; }
  void subscribe(bool) override { ++subscribed; }
  void update_endpoint(const core::Endpoint&, Micros deadline) override { no_new_after = deadline; }
  void start_attempt(core::AttemptId id, core::ReplicaId, std::shared_ptr<const core::Request>,
                     Micros first_event_timeout) override {
    attempts.push_back(id);
    first_event_timeouts.push_back(first_event_timeout);
  }
  void cancel_attempt(core::AttemptId id) override { cancelled.push_back(id); }
  void pause_attempt(core::AttemptId, bool on) override { paused.push_back(on); }
};

// Records the response that the client of one request gets.
struct FakeResponseWriter final : core::ResponseWriter {
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

// A broker with one class of streamed requests, at most three attempts per request, and one ready replica
// with id 1.
struct BrokerFixture {
  FakePorts ports;
  core::BrokerSettings limits;
  std::unique_ptr<core::Broker> broker;
  int sent = 0;

  explicit BrokerFixture(std::size_t body_budget = 1 << 20) {
    policy::Settings settings;
    settings.classes.resize(1);
    settings.classes[0].streamed = true;
    settings.list_on_request = settings.may_cancel = settings.may_duplicate = settings.retry_after = true;
    settings.max_attempts = 3;
    settings.max_retry_after = 2.0;
    limits.body_budget = body_budget;
    broker = std::make_unique<core::Broker>(limits, settings, 7, ports, ports);
    broker->attach(core::Wire::http, ports);
    list(policy::Health::ready, 1);
  }
  // Delivers a full list with one replica.
  void list(policy::Health health, core::ReplicaId id, std::uint32_t version = 0, double started_at = 0.0) {
    core::EndpointListUpdate update;
    update.kind = policy::ListKind::full;
    update.version = version;
    update.entries.resize(1);
    update.entries[0].address = "127.0.0.1:1";
    update.entries[0].replica.id = id;
    update.entries[0].replica.health = health;
    update.entries[0].replica.started_at = started_at;
    broker->on_endpoint_list_update(std::move(update));
    broker->run_iteration();
  }
  std::shared_ptr<core::Request> make_request(std::size_t body = 0) {
    auto request = std::make_shared<core::Request>();
    request->first_event_timeout = 5 * core::kSecond;
    request->body.assign(body, 'x');
    request->trace_id = std::to_string(++sent);
    return request;
  }
  // Sends a request with a body of this many bytes; id is set to its id.
  std::shared_ptr<FakeResponseWriter> send(core::RequestId& id, std::size_t body = 0) {
    const auto response = std::make_shared<FakeResponseWriter>();
    id = broker->on_request(make_request(body), response);
    broker->run_iteration();
    return response;
  }
  // Advances the time by the duration, with one iteration every 5 ms.
  void pass_time(Micros duration) {
    for (const Micros end = ports.time + duration; ports.time < end; ports.time += 5 * core::kMilli)
      broker->run_iteration();
  }
  std::uint64_t outcomes(policy::Outcome outcome) const {
    return broker->counters().outcomes[static_cast<std::size_t>(outcome)];
  }
};

}  // namespace flintglade::tests
