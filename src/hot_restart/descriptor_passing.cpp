#include "hot_restart/descriptor_passing.h"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "net/unique_fd.h"

namespace flintglade::hot_restart {
namespace {

constexpr std::size_t kMaxBytes = 96u << 10;  // fits the default buffer of a datagram socket
// More than are sent, so that surplus descriptors are received and closed too.
constexpr std::size_t kMaxDescriptorsRead = 8;

std::string socket_path(const std::string& folder, std::size_t slot) {
  return folder + "/flintglade.v1." + std::to_string(slot) + ".sock";
}

// Returns false if the path is too long for a Unix socket address.
bool make_address(const std::string& path, sockaddr_un& out) {
  out = {};
  out.sun_family = AF_UNIX;
  if (path.size() >= sizeof out.sun_path) return false;
  std::memcpy(out.sun_path, path.data(), path.size());
  return true;
}

net::UniqueFd datagram_socket() {
  return net::UniqueFd(::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
}

absl::Status system_error(const std::string& path) {
  return absl::UnavailableError(path + ": " + std::strerror(errno));
}

// A msghdr with one data buffer and a control buffer for descriptors.
struct Message {
  explicit Message(std::size_t descriptors) {
    header.msg_iov = &buffer;
    header.msg_iovlen = 1;
    header.msg_control = control;
    header.msg_controllen = CMSG_SPACE(descriptors * sizeof(int));
  }
  iovec buffer{};
  alignas(cmsghdr) char control[CMSG_SPACE(kMaxDescriptorsRead * sizeof(int))] = {};
  msghdr header{};
};

std::vector<net::UniqueFd> received_descriptors(msghdr& header) {
  std::vector<net::UniqueFd> out;
  for (cmsghdr* control = CMSG_FIRSTHDR(&header); control != nullptr;
       control = CMSG_NXTHDR(&header, control)) {
    if (control->cmsg_level != SOL_SOCKET || control->cmsg_type != SCM_RIGHTS) continue;
    for (std::size_t offset = CMSG_LEN(0); offset + sizeof(int) <= control->cmsg_len; offset += sizeof(int)) {
      int fd = -1;
      std::memcpy(&fd, reinterpret_cast<const char*>(control) + offset, sizeof fd);
      out.emplace_back(fd);
    }
  }
  return out;
}

void attach_descriptors(msghdr& header, const DescriptorPassing::Descriptors& descriptors) {
  cmsghdr* control = CMSG_FIRSTHDR(&header);
  control->cmsg_level = SOL_SOCKET;
  control->cmsg_type = SCM_RIGHTS;
  control->cmsg_len = CMSG_LEN(sizeof descriptors);
  std::memcpy(CMSG_DATA(control), descriptors.data(), sizeof descriptors);
}

}  // namespace

DescriptorPassing::~DescriptorPassing() {
  if (!path_.empty()) ::unlink(path_.c_str());
}

absl::Status DescriptorPassing::listen(const std::string& folder, std::size_t slot, OnReceived on_received) {
  const std::string path = socket_path(folder, slot);
  sockaddr_un address;
  if (!make_address(path, address)) {
    return absl::InvalidArgumentError(path + ": path is too long for a Unix socket address");
  }
  net::UniqueFd socket = datagram_socket();
  if (!socket) return system_error(path);
  ::unlink(path.c_str());  // left by a dead process, since this process holds the slot
  if (::bind(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    return system_error(path);
  }
  path_ = path;
  on_received_ = std::move(on_received);
  buffer_.resize(kMaxBytes);
  socket_.assign(socket.release());
  wait_until_readable();
  return absl::OkStatus();
}

void DescriptorPassing::wait_until_readable() {
  socket_.async_wait(boost::asio::posix::descriptor_base::wait_read, [this](boost::system::error_code ec) {
    if (ec) return;
    receive();
    wait_until_readable();
  });
}

void DescriptorPassing::receive() {
  for (;;) {
    Message message(kMaxDescriptorsRead);
    message.buffer = {buffer_.data(), buffer_.size()};
    const ssize_t size = ::recvmsg(socket_.native_handle(), &message.header, MSG_CMSG_CLOEXEC | MSG_DONTWAIT);
    if (size < 0) return;
    std::vector<net::UniqueFd> descriptors = received_descriptors(message.header);
    const bool truncated = (message.header.msg_flags & (MSG_TRUNC | MSG_CTRUNC)) != 0;
    if (descriptors.size() != std::tuple_size_v<Descriptors> || truncated) continue;
    on_received_({buffer_.data(), static_cast<std::size_t>(size)},
                 {descriptors[0].release(), descriptors[1].release()});
  }
}

DescriptorPassing::SendResult DescriptorPassing::send(const std::string& folder, std::size_t slot,
                                                      std::string_view bytes, Descriptors descriptors) {
  sockaddr_un address;
  if (bytes.size() > kMaxBytes || !make_address(socket_path(folder, slot), address)) {
    return SendResult::no_receiver;
  }
  const net::UniqueFd socket = datagram_socket();
  if (!socket) return SendResult::queue_full;
  Message message(descriptors.size());
  message.buffer = {const_cast<char*>(bytes.data()), bytes.size()};
  message.header.msg_name = &address;
  message.header.msg_namelen = sizeof address;
  attach_descriptors(message.header, descriptors);
  if (::sendmsg(socket.get(), &message.header, MSG_DONTWAIT | MSG_NOSIGNAL) >= 0) return SendResult::sent;
  const bool temporary = errno == EAGAIN || errno == EINTR || errno == ENOBUFS;
  return temporary ? SendResult::queue_full : SendResult::no_receiver;
}

}  // namespace flintglade::hot_restart
