// A model replica of a soak run over HTTP. What it does with an attempt is drawn from the run's seed; it
// reports each attempt to the history.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <random>

#include "fleet/soak/request_history.h"

namespace flintglade::tests::soak {

// The shares of the attempts with each plan but `complete`, in percent.
struct ReplicaFaults {
  int error = 3, never_ran = 3, broken = 3, reset = 2, hang = 1;
};

class SoakReplica {
 public:
  // `history` is borrowed; `clock` gives the time since the start of the run.
  SoakReplica(boost::asio::io_context& io, RequestHistory& history, std::function<Micros()> clock,
              std::uint64_t seed, ReplicaFaults faults);
  unsigned short port() const { return acceptor_.local_endpoint().port(); }

 private:
  class Session;
  void accept();
  AttemptPlan draw_plan();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  RequestHistory& history_;
  std::function<Micros()> clock_;
  std::mt19937_64 random_;
  ReplicaFaults faults_;
};

}  // namespace flintglade::tests::soak
