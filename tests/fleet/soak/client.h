// Clients of a soak run over HTTP. Each sends one request at a time and keeps its connection for as long as
// the router leaves it open; its behaviour is drawn from the run's seed. It reports each request to the
// history.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fleet/soak/request_history.h"

namespace flintglade::tests::soak {

// A defect of the router that is simulated at the clients' sockets, to verify the rules.
enum class PlantedFault {
  none,
  cut_response,  // one response in kOnePlantedIn ends with its connection before its last bytes
  drop_request,  // one request in kOnePlantedIn is taken, and its connection closed after a while
};
constexpr int kOnePlantedIn = 100;

// Where clients may open new connections: the front in front of the routers.
class Front {
 public:
  virtual ~Front() = default;
  // Whether the router takes new connections, as far as the front knows.
  virtual bool is_open(std::size_t router) const = 0;
  virtual unsigned short port(std::size_t router) const = 0;
  virtual std::size_t routers() const = 0;
};

class SoakClients {
 public:
  // All are borrowed.
  SoakClients(boost::asio::io_context& io, RequestHistory& history, const Front& front,
              std::function<Micros()> clock, std::uint64_t seed, PlantedFault planted);
  ~SoakClients();
  void start(int clients);
  // No client sends a further request.
  void finish() { finishing_ = true; }
  // The number of requests without an end.
  int open_requests() const { return open_requests_; }
  void close_connections();

 private:
  class Client;

  boost::asio::io_context& io_;
  RequestHistory& history_;
  const Front& front_;
  std::function<Micros()> clock_;
  std::mt19937_64 random_;
  PlantedFault planted_;
  std::vector<std::shared_ptr<Client>> clients_;
  bool finishing_ = false;
  int open_requests_ = 0;
};

}  // namespace flintglade::tests::soak
