// Replica client for HTTP/1.1. Each connection carries one attempt at a time and is reused for later ones
// until it has been idle for too long.
#pragma once

#include <algorithm>
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
#include "http/recent_peak.h"
#include "http/response_memory.h"
#include "http/reuse_delay.h"

namespace flintglade::http {

// Counts of connections to replicas since the start of the process.
struct ReplicaConnectionCounters {
  std::uint64_t opened = 0;                 // dialled, whether or not they came up
  std::uint64_t reused = 0;                 // attempts sent on an idle connection
  std::uint64_t ended_for_memory = 0;       // attempts, since the memory of responses was used up
  std::uint64_t unsolicited_responses = 0;  // bytes that no attempt waited for; the connection was closed
};

struct ReplicaClientSettings {
  core::Micros dial_timeout = 150 * core::kMilli;
  core::Micros conn_idle = 5 * core::kSecond;     // the replica closes a connection idle for this long
  std::function<std::size_t()> connection_limit;  // the current limit on open connections
  // Shared with the server of the clients. Without a budget, nothing is held back.
  std::shared_ptr<ResponseMemory> response_memory = std::make_shared<ResponseMemory>();
};

class HttpReplicaClient final : public core::ReplicaClient {
 public:
  HttpReplicaClient(boost::asio::io_context& io, core::Broker& broker, core::Clock& clock,
                    ReplicaClientSettings settings);
  ~HttpReplicaClient() override;

  void update_endpoint(const core::Endpoint& endpoint, core::Micros no_new_after) override;
  void start_attempt(core::AttemptId id, core::ReplicaId replica,
                     std::shared_ptr<const core::Request> request, core::Micros first_event_timeout) override;
  void cancel_attempt(core::AttemptId id) override;
  void pause_attempt(core::AttemptId id, bool paused) override;
  void reload(core::Micros dial_timeout, core::Micros conn_idle) {
    settings_.dial_timeout = dial_timeout;
    settings_.conn_idle = conn_idle;
    sweep_timer_.fire_by(clock_.now());
  }
  // Frees a descriptor by closing the connection that has been idle longest. Returns false if none is idle.
  bool close_longest_idle();
  // Closes idle connections until at most this many connections are open, or none is idle. Those that have
  // been idle longest stay, since they can be reused first.
  void close_idle_above(std::size_t connections);
  std::size_t connections() const { return connections_; }
  // The most attempts that were in flight at once during the last few seconds.
  std::size_t recent_attempts() const {
    return std::max(attempts_.size(), recent_attempts_.at(clock_.now()));
  }
  const ReplicaConnectionCounters& counters() const { return counters_; }
  // Bytes of responses that have been received and not passed to the core: incomplete events, and elements of
  // the protocol that are not complete.
  std::size_t unforwarded_bytes() const;
  // Whether the budget of responses is used up and a replica waits to be read.
  bool waits_for_memory() const { return !waiting_for_memory_.empty() && !may_read(); }
  // Ends the newest attempt of those with large incomplete events: the oldest is the closest to its end.
  // Returns false if no attempt has any.
  bool end_newest_unforwarded();
  // Goes on reading: each replica is read once before an iteration, and those that have waited for memory as
  // far as the budget allows. To be called after each iteration of the core, which takes what has been
  // received.
  void on_iteration_done();
  // Stream migration: moves the connection of an unfinished response to or from another process of this
  // router. export_stream() returns the descriptor, which stays open here until migrated_out(), and sets the
  // replica's fields of `stream`; it returns -1 if the response cannot move at this moment.
  int export_stream(core::AttemptId id, hot_restart::Stream& stream) const;
  void migrated_out(core::AttemptId id);
  void migrate_in(core::AttemptId id, core::ReplicaId replica, int descriptor,
                  const hot_restart::Stream& stream);

 private:
  class Connection;
  struct Subchannel {
    std::string address;
    core::Micros no_new_after = core::kNever;
    std::deque<std::shared_ptr<Connection>> idle;  // the most recently used last
  };
  bool may_read() const;
  static std::uint64_t key(core::AttemptId id) { return id.request << 8 | (id.attempt & 0xff); }
  core::Micros idle_lifetime() const;
  void add_attempt(core::AttemptId id, std::shared_ptr<Connection> connection);
  // Removes and returns an idle connection on which the next request may be sent; null if there is none.
  std::shared_ptr<Connection> take_idle(Subchannel& subchannel);
  void sweep();
  void close_idle(Subchannel& subchannel);

  boost::asio::io_context& io_;
  core::Broker& broker_;
  core::Clock& clock_;
  ReplicaClientSettings settings_;
  IdleTimer sweep_timer_;
  std::unordered_map<core::ReplicaId, Subchannel> subchannels_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> attempts_;
  std::vector<std::shared_ptr<Connection>> read_in_this_iteration_;
  std::deque<std::shared_ptr<Connection>> waiting_for_memory_;
  RecentPeak recent_attempts_;
  std::size_t connections_ = 0;
  ReplicaConnectionCounters counters_;
  ReuseDelay reuse_delay_;
};

}  // namespace flintglade::http
