// Passes open connections from one process of a router to another: a datagram socket in the scratch folder
// for each process slot, and descriptors that travel with a few bytes (SCM_RIGHTS, unix(7)). The peers of a
// connection notice nothing.
//
// The socket's name holds the version of what is sent: a process of another version does not listen there,
// and nothing is passed between the two. What was sent and not read when its receiver dies is closed by the
// kernel. One thread, the loop's; nothing here blocks.
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
    queue_full,   // to be tried again
    no_receiver,  // nobody listens at that slot, or there are too many bytes
  };

  explicit DescriptorPassing(boost::asio::io_context& io) : socket_(io) {}
  ~DescriptorPassing();
  DescriptorPassing(const DescriptorPassing&) = delete;
  DescriptorPassing& operator=(const DescriptorPassing&) = delete;

  // Listens as the holder of this slot. Not OK: one line that says why nothing will be received; sending
  // still works.
  absl::Status listen(const std::string& folder, std::size_t slot, OnReceived on_received);
  static SendResult send(const std::string& folder, std::size_t slot, std::string_view bytes,
                         Descriptors descriptors);

 private:
  void wait();
  // Reads all that has come.
  void receive();

  boost::asio::posix::stream_descriptor socket_;
  std::string path_;  // of our socket; empty: none
  OnReceived on_received_;
  std::vector<char> buffer_;
};

}  // namespace flintglade::hot_restart
