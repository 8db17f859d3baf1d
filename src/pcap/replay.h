// A savefile as a source of traffic: its requests go through the core at the pace at which they were
// recorded, and what became of them is written to another savefile.
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
  // Empty, or one line that says what is wrong. to: empty for no record.
  std::string open(const std::string& from, const std::string& to, const config::Labels& labels);
  // Starts once the router is ready; done is called when every request has its answer.
  void start(std::function<void()> done);
  const ReadResult& source() const { return source_; }

 private:
  class Exchange;
  void pump();
  void answered();

  boost::asio::io_context& io_;
  core::Broker& broker_;
  core::Clock& clock_;
  boost::asio::steady_timer timer_;
  ReadResult source_;
  std::unique_ptr<Writer> writer_;
  std::function<void()> done_;
  std::size_t next_ = 0, open_ = 0;
  core::Micros started_ = 0;
  core::Micros unix_offset_ = 0;
};

}  // namespace flintglade::pcap
