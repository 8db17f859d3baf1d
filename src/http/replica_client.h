// The model replicas behind HTTP/1.1, and the connections to them: one call at a time on each, kept for the
// next one while they are fresh.
#pragma once

#include <boost/asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/broker.h"
#include "core/ports.h"
#include "hot_restart.pb.h"
#include "http/idle_timer.h"

namespace flintglade::http {

struct ReplicaClientSettings {
  core::Micros dial_timeout = 150 * core::kMilli;
  core::Micros conn_idle = 5 * core::kSecond;  // the replica closes a connection idle for this long
  std::function<std::size_t()> room;           // how many connections it may hold at present
};

class HttpReplicaClient final : public core::ReplicaClient {
 public:
  HttpReplicaClient(boost::asio::io_context& io, core::Broker& broker, core::Clock& clock,
                    ReplicaClientSettings settings);
  ~HttpReplicaClient() override;

  void update_endpoint(const core::Endpoint& endpoint, core::Micros no_new_after) override;
  void start_attempt(core::AttemptId id, core::ReplicaId replica, std::shared_ptr<const core::Request> rpc,
                     core::Micros patience) override;
  void cancel_attempt(core::AttemptId id) override;
  void pause_attempt(core::AttemptId id, bool paused) override;
  void reload(core::Micros dial_timeout, core::Micros conn_idle) {
    settings_.dial_timeout = dial_timeout;
    settings_.conn_idle = conn_idle;
    sweeper_.by(clock_.now());
  }
  // Gives a descriptor back: closes the connection that has been idle longest. False: none is idle.
  bool shed_idle();
  std::size_t connections() const { return connections_; }
  // An answer in its middle that moves to or from another process of this router, with its connection.
  // Gives the descriptor, which stays here until migrated_out(), and writes what else there is to know; -1:
  // not at this moment.
  int describe(core::AttemptId id, hot_restart::Stream& to) const;
  void migrated_out(core::AttemptId id);
  void migrate_in(core::AttemptId id, core::ReplicaId replica, int descriptor,
                  const hot_restart::Stream& from);

 private:
  class Connection;
  struct Subchannel {
    std::string address;
    core::Micros no_new_after = core::kNever;
    std::deque<std::shared_ptr<Connection>> idle;  // the freshest last
  };
  static std::uint64_t key(core::AttemptId id) { return id.request << 8 | (id.attempt & 0xff); }
  core::Micros keep_for() const;
  void sweep();
  void drop_idle(Subchannel& sub);

  boost::asio::io_context& io_;
  core::Broker& broker_;
  core::Clock& clock_;
  ReplicaClientSettings settings_;
  IdleTimer sweeper_;
  std::unordered_map<core::ReplicaId, Subchannel> subs_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> calls_;
  std::size_t connections_ = 0;
};

}  // namespace flintglade::http
