// The resolver's sockets, on the loop: a UDP socket of its own for each question (RFC 5452: the port is the
// kernel's random choice), a TCP connection for each that was truncated. Decides nothing.
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
  void run_iteration();  // lets the resolver act, and sets the alarm anew
  template <typename F>
  void event(F f) {
    f(clock_.now());
    run_iteration();
  }

  boost::asio::io_context& io_;
  core::Clock& clock_;
  boost::asio::steady_timer alarm_;
  std::map<QueryId, std::shared_ptr<Socket>> sockets_;
  Resolver resolver_;
};

}  // namespace flintglade::dns
