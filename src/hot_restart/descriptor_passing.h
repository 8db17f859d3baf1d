// Passes open connections from one process of a router to another. Each process slot has a datagram socket in
// the scratch folder; descriptors are sent to it together with a short message (SCM_RIGHTS, unix(7)). The
// peers of a connection do not notice the change.
//
// The file name of the socket contains the version of the message format, so processes of different versions
// pass nothing to each other. If the receiver dies before it has read a message, the kernel closes the
// descriptors in it. Runs on the event loop's thread; no call blocks.
#pragma once

#include <array>
#include <boost/asio.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"

namespace flintglade::hot_restart {

class DescriptorPassing {
 public:
  using Descriptors = std::array<int, 2>;  // the client's connection, then the replica's
  // Takes ownership of both descriptors.
  using OnReceived = std::function<void(std::string_view bytes, Descriptors descriptors)>;
  enum class SendResult : std::uint8_t {
    sent,         // the receiver has copies of the descriptors; the sender's stay its own
    queue_full,   // try again later
    no_receiver,  // no process listens at that slot, or the message is too large
  };

  explicit DescriptorPassing(boost::asio::io_context& io) : socket_(io) {}
  ~DescriptorPassing();
  DescriptorPassing(const DescriptorPassing&) = delete;
  DescriptorPassing& operator=(const DescriptorPassing&) = delete;

  // Listens at the socket of this process's slot. On an error, nothing will be received, and the message (one
  // line) gives the reason; send() still works.
  absl::Status listen(const std::string& folder, std::size_t slot, OnReceived on_received);
  static SendResult send(const std::string& folder, std::size_t slot, std::string_view bytes,
                         Descriptors descriptors);

 private:
  void wait_until_readable();
  // Reads all messages that are queued.
  void receive();

  boost::asio::posix::stream_descriptor socket_;
  std::string path_;  // of this process's socket; empty: not listening
  OnReceived on_received_;
  std::vector<char> buffer_;
};

}  // namespace flintglade::hot_restart
