// Stand-ins for the systems around the router: discovery, model replicas and clients. They use blocking I/O
// with one thread per connection; the scenario sets their behaviour.
#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "scenario.h"

namespace flintglade::tests {

// The NAME=VALUE options of a scenario step; a name without a value has an empty one.
using Options = std::map<std::string, std::string>;

class Behaviour {  // shared by the HTTP, gRPC and HTTP/2 replicas
 public:
  std::string kind = "stream", text;
  std::string padding() const { return kind == "flood" ? std::string(16384, 'p') : ""; }
  int events = 1;
  std::atomic<int> calls = 0;
  std::atomic<int> metadata_calls = 0;  // gRPC: number of ModelMetadata calls received
  std::atomic<bool> released = false;
  std::atomic<bool> stopping = false;
  std::mutex mutex;                             // guards metadata
  std::map<std::string, std::string> metadata;  // gRPC: metadata of the last request

  enum class End { complete, broken, failed, shed, rejected };
  // Runs the behaviour for one call; emit(n) sends event n and returns false once the peer has disconnected.
  End play(const std::function<bool(int)>& emit);
};

// Accepts connections on loopback and runs serve for each of them on its own thread.
class Listener {
 public:
  using Serve = std::function<void(boost::asio::ip::tcp::socket&)>;
  explicit Listener(Serve serve);
  ~Listener() { stop(); }
  void stop();
  unsigned short port() const { return port_; }

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  unsigned short port_ = 0;
  Serve serve_;
  std::mutex mutex_;
  std::map<int, std::shared_ptr<boost::asio::ip::tcp::socket>> open_;
  std::vector<std::thread> threads_;
  std::atomic<bool> stopping_ = false;
};

class Replica {
 public:
  Behaviour behaviour;
  virtual ~Replica() = default;
  virtual unsigned short port() const = 0;
};
// options: 'cert' and 'trust', as for a client.
std::unique_ptr<Replica> make_replica(Protocol protocol, const std::string& kind, int events,
                                      const Options& options = {});

class Discovery {
 public:
  Discovery();
  ~Discovery();
  unsigned short port() const { return port_; }
  // Publishes a new revision; entries: JSON objects, separated by commas.
  void change(const std::string& entries);
  void down();
  void silent() { silent_ = true; }
  unsigned short move();  // to another port; connections to the old one are closed

 private:
  void serve(boost::asio::ip::tcp::socket& socket);
  std::mutex mutex_;
  std::vector<std::string> lines_;
  std::atomic<bool> stopping_ = false, silent_ = false;
  unsigned short port_ = 0;
  std::unique_ptr<Listener> listener_;
};

class Client {
 public:
  std::atomic<int> events = 0;
  std::atomic<bool> reading_paused = false;  // while set, the client reads nothing
  virtual ~Client() = default;
  virtual void close() = 0;
  virtual std::string outcome() = 0;  // waits until the response has ended
};
// options: those of the step 'send'; 'folder' is where the certificates are.
std::unique_ptr<Client> make_client(Protocol protocol, unsigned short port, const std::string& id,
                                    Options options);
std::unique_ptr<Client> make_raw_client(unsigned short port, const std::string& bytes);
// One ModelStreamInfer stream that carries many requests.
class Stream {
 public:
  virtual ~Stream() = default;
  // timeout_us: sent as the request's parameter 'timeout'; 0: not sent.
  virtual void send_request(const std::string& id, const std::string& model, long timeout_us) = 0;
  virtual void half_close() = 0;
  virtual void cancel() = 0;
  virtual int response_count(const std::string& id) = 0;  // responses received in order
  virtual std::string error(const std::string& id) = 0;   // of a request; empty if it has not failed
  virtual std::string final_status() = 0;                 // waits for the stream's status: OK or 'status N'
};
std::unique_ptr<Stream> make_stream(unsigned short port);
// Prints latency to the first message and message rate of streams sent alternately through the router and
// directly to the replica by the same client.
void measure_grpc(unsigned short router, unsigned short replica, int requests);
// Prints the rate of connections opened one after another, each with one call, and with TLS if the options
// ask for it.
void measure_handshakes(unsigned short port, const Options& options, int connections);
// The grpc.health.v1 state of a service: SERVING, NOT_SERVING, NOT_FOUND, or the error message of the call.
std::string grpc_health(unsigned short port, const std::string& service);
// The ModelMetadata response for a model, in one line; or the status name or message of the call.
std::string grpc_model_metadata(unsigned short port, const std::string& model, const std::string& version);
int http_status(unsigned short port, const std::string& path);  // 0: no response
// Makes one call on a new connection. Returns "STATUS BODY"; empty if there was no response.
std::string http_call(unsigned short port, const std::string& method, const std::string& path);

}  // namespace flintglade::tests
