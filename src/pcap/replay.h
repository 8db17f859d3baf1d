// Replays a savefile: sends its requests through the core at the pace at which they were recorded, and can
// write the requests and their responses to another savefile.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/broker.h"
#include "pcap/packets.h"
#include "pcap/reader.h"
#include "pcap/writer.h"

namespace flintglade::pcap {

class Replay {
 public:
  Replay(boost::asio::io_context& io, core::Broker& broker, core::Clock& clock);
  ~Replay();
  // Returns an empty string, or a one-line error. An empty record_path writes no record.
  std::string open(const std::string& source_path, const std::string& record_path,
                   const config::Labels& labels);
  // Starts sending once the router is ready; calls done when every request has been answered.
  void start(std::function<void()> done);
  const ReadResult& source() const { return source_; }

 private:
  class Exchange;
  void pump();
  void on_answered();

  boost::asio::io_context& io_;
  core::Broker& broker_;
  core::Clock& clock_;
  boost::asio::steady_timer timer_;
  ReadResult source_;
  std::unique_ptr<Writer> writer_;
  std::function<void()> done_;
  std::size_t next_request_ = 0, unanswered_ = 0;
  core::Micros started_at_ = 0;
  core::Micros unix_offset_ = 0;
};

}  // namespace flintglade::pcap
