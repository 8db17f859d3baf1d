// A way for open connections from one process of a router to another: a datagram socket in the scratch folder
// for each seat, and descriptors that travel with a few bytes (SCM_RIGHTS). The peers of a connection notice
// nothing.
//
// The socket's name holds the version of what is sent: a process of another version does not listen there,
// and nothing moves between the two. What has been sent and not read when its receiver dies is closed by the
// kernel.
#pragma once

#include <array>
#include <boost/asio.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace flintglade::hot_restart {

class DescriptorPassing {
 public:
  using Descriptors = std::array<int, 2>;  // the client's, then the replica's
  // Takes over both descriptors.
  using Take = std::function<void(std::string_view bytes, Descriptors descriptors)>;
  enum class Sent { yes, later, never };

  explicit DescriptorPassing(boost::asio::io_context& io) : socket_(io) {}
  ~DescriptorPassing();
  DescriptorPassing(const DescriptorPassing&) = delete;
  DescriptorPassing& operator=(const DescriptorPassing&) = delete;

  // Listens as the holder of this seat. Gives an empty string, or one line that says what is wrong; nothing
  // comes then, and sending is not touched by it.
  std::string open(const std::string& folder, std::size_t seat, Take take);
  // Never waits. yes: the receiver has copies of the descriptors; ours stay the caller's. later: its queue is
  // full. never: nobody listens at that seat, or these bytes are too many.
  static Sent send(const std::string& folder, std::size_t seat, std::string_view bytes,
                   Descriptors descriptors);

 private:
  void wait();
  void receive();

  boost::asio::posix::stream_descriptor socket_;
  std::string path_;
  Take take_;
  std::vector<char> bytes_;
};

}  // namespace flintglade::hot_restart
