// The platform's front: HTTP/1.1 from clients to RPCs of the core, and answers back.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "config/config.h"
#include "config/labels.h"
#include "core/broker.h"
#include "core/ports.h"
#include "hot_restart.pb.h"
#include "http/connection_eviction.h"
#include "http/idle_timer.h"

namespace flintglade::http {

struct ServerSettings {
  config::Labels labels;
  std::function<std::size_t()> room;  // how many connections it may hold at present
  std::size_t crowd = 32;             // let in beyond that, only to be told to come again
};

class HttpServer {
 public:
  HttpServer(boost::asio::io_context& io, core::Broker& broker, core::Clock& clock, ServerSettings settings);
  ~HttpServer();
  // Each gives an empty string, or one line that says what is wrong.
  std::string listen(const config::HostPort& at);
  // From a socket that other processes may accept from too: only while open() says so.
  std::string listen(int descriptor, std::function<bool()> open);
  void look();  // open() or the room may have changed their mind
  void stop_accepting();
  std::uint16_t port() const { return port_; }
  std::size_t connections() const { return connections_.size(); }
  // Called when no descriptor is left: gives one back elsewhere.
  void on_exhausted(std::function<bool()> shed) { shed_ = std::move(shed); }
  // A client whose answer is in its middle and moves to or from another process of this router.
  // Gives the descriptor, which stays here until migrated_out(), and writes what else there is to know; -1:
  // not at this moment.
  static int describe(core::ResponseWriter& client, hot_restart::Stream& to);
  static void migrated_out(core::ResponseWriter& client);
  // go_on: puts the answer into the core, and gives its id; 0: it cannot go on, and the client sees the end.
  void migrate_in(int descriptor, const hot_restart::Stream& from,
                  const std::function<core::RequestId(std::shared_ptr<core::ResponseWriter>)>& go_on);
  std::size_t partially_read_requests() const;  // clients in the middle of a request
  void refuse_half_read();  // a drain takes no more: they are told so, and may come again elsewhere
  void close_idle();        // draining: no RPC will come any more on connections that have none

 private:
  class Connection;
  void begin();
  void accept();
  void accept_later();
  void resume();  // accepts again, if it had stopped and may
  void sweep();
  bool crowded() const;
  bool over_budget() const;
  bool wants_room() const;
  ConnectionEviction crowd() const { return ConnectionEviction(settings_.room()); }
  void make_room(const ConnectionEviction& crowd);

  boost::asio::io_context& io_;
  core::Broker& broker_;
  core::Clock& clock_;
  ServerSettings settings_;
  boost::asio::ip::tcp::acceptor acceptor_;
  IdleTimer sweeper_;
  boost::asio::steady_timer again_;
  std::function<bool()> shed_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::uint16_t port_ = 0;
  std::function<bool()> open_;  // empty: always
  bool accepting_ = false;
};

}  // namespace flintglade::http
