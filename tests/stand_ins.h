// Stand-ins for what surrounds the router: discovery, model replicas, clients. Blocking, a thread for each
// connection; what they are told to do comes from the scenario.
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

using Words = std::map<std::string, std::string>;

class Behaviour {  // shared by both kinds of replica
 public:
  std::string kind = "stream", text;
  std::string padding() const { return kind == "flood" ? std::string(16384, 'p') : ""; }
  int events = 1;
  std::atomic<int> calls = 0;
  std::atomic<int> described = 0;  // gRPC: how often it was asked for its model's metadata
  std::atomic<bool> released = false;
  std::atomic<bool> stopping = false;
  std::mutex mutex;                             // of what follows
  std::map<std::string, std::string> metadata;  // gRPC: of the last request

  enum class End { whole, broken, failed, on_request_shed, rejected };
  // Plays the behaviour; emit gives false once the other side is gone.
  End play(const std::function<bool(int)>& emit);
};

// Accepts connections on loopback and runs serve for each on a thread.
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
// words: cert and trust, as for a client.
std::unique_ptr<Replica> make_replica(Protocol protocol, const std::string& kind, int events,
                                      const Words& words = {});

class Discovery {
 public:
  Discovery();
  ~Discovery();
  unsigned short port() const { return port_; }
  void change(const std::string& entries);  // JSON objects, separated by commas
  void down();
  void silent() { silent_ = true; }
  unsigned short move();  // to another address; the old one closes what is open

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
  std::atomic<bool> shy = false;  // reads nothing for now
  virtual ~Client() = default;
  virtual void close() = 0;
  virtual std::string verdict() = 0;  // waits for the end
};
// words as 'send' has them; folder: where certificates are.
std::unique_ptr<Client> make_client(Protocol protocol, unsigned short port, const std::string& id,
                                    Words words);
std::unique_ptr<Client> make_raw_client(unsigned short port, const std::string& bytes);
// One ModelStreamInfer stream that carries many requests.
class Stream {
 public:
  virtual ~Stream() = default;
  // timeout_us: of this request, as the parameter 'timeout'; 0: none.
  virtual void ask(const std::string& id, const std::string& model, long timeout_us) = 0;
  virtual void half_close() = 0;
  virtual void drop() = 0;
  virtual int answers(const std::string& id) = 0;        // in order, whatever else came between
  virtual std::string error(const std::string& id) = 0;  // of a request; empty: none
  virtual std::string ended() = 0;                       // the stream's status, by name; waits for it
};
std::unique_ptr<Stream> make_stream(unsigned short port);
// Figures, printed: requests of one message and a stream of many, through the router and straight to the
// replica, in turn, by the same client.
void measure_grpc(unsigned short router, unsigned short replica, int requests);
// Figures, printed: connections a second, one after another, each with a call and TLS as the words say.
void measure_handshakes(unsigned short port, const Words& words, int n);
// What grpc.health.v1 says of a service: SERVING, NOT_SERVING, or the status of the call.
std::string grpc_health(unsigned short port, const std::string& service);
// What ModelMetadata says of a model, in one line; or the name of the status.
std::string grpc_describe(unsigned short port, const std::string& model, const std::string& version);
int http_status(unsigned short port, const std::string& path);  // 0: no answer
// One call on a connection of its own: "STATUS BODY"; empty: no answer.
std::string http_call(unsigned short port, const std::string& method, const std::string& path);

}  // namespace flintglade::tests
