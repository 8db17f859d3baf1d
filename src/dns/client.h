// Runs a Resolver on the event loop and provides its sockets: a new UDP socket for each query, so that the
// kernel chooses a random source port (RFC 5452), and a TCP connection for each query that the resolver sends
// over TCP. All decisions are the resolver's.
#pragma once

#include <boost/asio.hpp>
#include <map>
#include <memory>

#include "dns/resolver.h"

namespace flintglade::dns {

class Client final : private Transport {
 public:
  Client(boost::asio::io_context& io, core::Clock& clock, ResolverSettings settings,
         ResolverListener& listener);
  ~Client() override;
  void configure(ResolverSettings settings, std::vector<std::string> names);
  void refresh(const std::string& name);
  const Resolver& resolver() const { return resolver_; }

 private:
  class Socket;
  void send(QueryId id, const HostPort& server, std::string message) override;
  void open(QueryId id, const HostPort& server, std::string framed) override;
  void close(QueryId id) override;
  void run_resolver();  // runs what is due and sets the timer again
  template <typename Handler>
  void handle_event(Handler handler) {
    handler(clock_.now());
    run_resolver();
  }

  boost::asio::io_context& io_;
  core::Clock& clock_;
  boost::asio::steady_timer timer_;
  std::map<QueryId, std::shared_ptr<Socket>> sockets_;
  Resolver resolver_;
};

}  // namespace flintglade::dns
