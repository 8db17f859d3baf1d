// HTTP/1.1 server for clients: passes their requests to the core and writes the responses.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "config/config.h"
#include "config/labels.h"
#include "core/broker.h"
#include "core/ports.h"
#include "hot_restart.pb.h"
#include "http/connection_eviction.h"
#include "http/connection_memory.h"
#include "http/idle_timer.h"
#include "http/response_memory.h"

namespace flintglade::http {

struct ServerSettings {
  config::Labels labels;
  std::function<std::size_t()> connection_limit;  // the current limit on client connections
  // Connections accepted beyond the limit, only to be answered with a 503 and Retry-After.
  std::size_t overflow_connections = 32;
  // The current budget in bytes for all requests that are being received or in flight. Beyond it, requests
  // that are being received are refused.
  std::function<std::size_t()> memory_budget = [] { return std::numeric_limits<std::size_t>::max(); };
  // Shared with the replica client. Without a budget, no response is ended.
  std::shared_ptr<ResponseMemory> response_memory = std::make_shared<ResponseMemory>();
};

class HttpServer {
 public:
  HttpServer(boost::asio::io_context& io, core::Broker& broker, core::Clock& clock, ServerSettings settings);
  ~HttpServer();
  // Both return an empty string, or a one-line error message.
  std::string listen(const config::HostPort& address);
  // Listens on an inherited socket from which other processes may accept too; accepts only while may_accept()
  // returns true.
  std::string listen(int descriptor, std::function<bool()> may_accept);
  // To be called when the result of may_accept() or the connection limit may have changed.
  void recheck_accepting();
  // Closes the listening socket. Accepted connections are still served.
  void stop_accepting();
  std::uint16_t port() const { return port_; }
  std::size_t connections() const { return connections_.size(); }
  struct Counters {
    std::uint64_t refused_for_memory = 0;          // partially received requests, to keep the memory budget
    std::uint64_t evicted = 0;                     // connections that gave way to new ones
    std::uint64_t responses_ended_for_memory = 0;  // of clients that read them too slowly
  };
  const Counters& counters() const { return counters_; }
  // What all client connections hold. Requests that have been passed to the core are not included.
  const MemoryUsage& memory() const { return *memory_; }
  // Bytes of responses that clients have not taken yet.
  std::size_t unsent_bytes() const;
  // Refuses partially received requests until all that is held fits the budget. The server does so after each
  // read; to be called when the budget may have shrunk, or requests may have been received elsewhere.
  void enforce_memory_budget();
  // Ends the response whose client has left bytes of it unread for longest. Returns false if no client has
  // done so for some time.
  bool end_slowest_response();
  // Sets a function that is called when no descriptor is left, and frees one elsewhere.
  void on_descriptors_exhausted(std::function<bool()> release_descriptor) {
    release_descriptor_ = std::move(release_descriptor);
  }
  // Stream migration: moves the client connection of an unfinished response to or from another process of
  // this router. export_stream() returns the descriptor, which stays open here until migrated_out(), and sets
  // the client's fields of `stream`; it returns -1 if the response cannot move at this moment.
  static int export_stream(core::ResponseWriter& client, hot_restart::Stream& stream);
  static void migrated_out(core::ResponseWriter& client);
  // resume_request: registers the request with the core and returns its id; 0 if it cannot continue, and the
  // client connection is then closed.
  void migrate_in(
      int descriptor, const hot_restart::Stream& stream,
      const std::function<core::RequestId(std::shared_ptr<core::ResponseWriter>)>& resume_request);
  std::size_t partially_read_requests() const;  // connections with an incomplete request
  // Answers incomplete requests with a 503 when a drain accepts no more requests; the clients may retry
  // elsewhere.
  void reject_partially_read_requests();
  // Closes the connections without a request, which get no further ones while draining.
  void close_idle();

 private:
  class Connection;
  void start_accepting();
  void accept();
  void accept_later();
  void resume();  // accepts again if it had stopped and may_accept() allows it
  void sweep();
  bool should_shed() const;
  bool over_connection_limit() const;
  bool under_connection_pressure() const;
  ConnectionEviction eviction() const { return ConnectionEviction(settings_.connection_limit()); }
  void evict_connections(const ConnectionEviction& eviction);
  bool refuse_one_for_memory();    // false if no partial request holds memory
  std::size_t held_bytes() const;  // by requests that are being received or in flight
  bool may_read_ahead() const;
  bool has_memory_for(const core::Request& request) const;
  core::Micros sweep_interval() const;

  boost::asio::io_context& io_;
  core::Broker& broker_;
  core::Clock& clock_;
  ServerSettings settings_;
  boost::asio::ip::tcp::acceptor acceptor_;
  IdleTimer sweep_timer_;
  boost::asio::steady_timer accept_retry_timer_;
  std::function<bool()> release_descriptor_;
  std::shared_ptr<MemoryUsage> memory_ = std::make_shared<MemoryUsage>();
  std::set<std::shared_ptr<Connection>> connections_;
  Counters counters_;
  std::uint16_t port_ = 0;
  std::function<bool()> may_accept_;  // empty: accepting is always allowed
  bool accepting_ = false;
};

}  // namespace flintglade::http
