#include "hot_restart/descriptor_passing.h"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace flintglade::hot_restart {
namespace {

constexpr std::size_t kMostBytes = 96u << 10;  // what a socket's usual buffer takes, with room to spare

std::string path_of(const std::string& folder, std::size_t seat) {
  return folder + "/flintglade.v1." + std::to_string(seat) + ".sock";
}

bool address_of(const std::string& path, sockaddr_un& out) {
  out = {};
  out.sun_family = AF_UNIX;
  if (path.size() >= sizeof out.sun_path) return false;
  std::memcpy(out.sun_path, path.data(), path.size());
  return true;
}

struct Message {
  explicit Message(std::size_t descriptors) {
    header.msg_iov = &part;
    header.msg_iovlen = 1;
    header.msg_control = control;
    header.msg_controllen = CMSG_SPACE(descriptors * sizeof(int));
  }
  iovec part{};
  alignas(cmsghdr) char control[CMSG_SPACE(8 * sizeof(int))] = {};
  msghdr header{};
};

}  // namespace

DescriptorPassing::~DescriptorPassing() {
  if (!path_.empty()) ::unlink(path_.c_str());
}

std::string DescriptorPassing::open(const std::string& folder, std::size_t seat, Take take) {
  const std::string path = path_of(folder, seat);
  sockaddr_un at;
  if (!address_of(path, at)) return path + " is too long for a socket's name";
  const int fd = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) return path + ": " + std::strerror(errno);
  ::unlink(path.c_str());  // the seat is ours: what stands there is a dead one's
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    const std::string why = path + ": " + std::strerror(errno);
    ::close(fd);
    return why;
  }
  path_ = path;
  take_ = std::move(take);
  bytes_.resize(kMostBytes);
  socket_.assign(fd);
  wait();
  return "";
}

void DescriptorPassing::wait() {
  socket_.async_wait(boost::asio::posix::descriptor_base::wait_read, [this](boost::system::error_code ec) {
    if (ec) return;
    receive();
    wait();
  });
}

void DescriptorPassing::receive() {
  for (;;) {
    Message m(8);
    m.part = {bytes_.data(), bytes_.size()};
    const ssize_t n = ::recvmsg(socket_.native_handle(), &m.header, MSG_CMSG_CLOEXEC | MSG_DONTWAIT);
    if (n < 0) return;
    std::vector<int> got;
    for (cmsghdr* c = CMSG_FIRSTHDR(&m.header); c != nullptr; c = CMSG_NXTHDR(&m.header, c)) {
      if (c->cmsg_level != SOL_SOCKET || c->cmsg_type != SCM_RIGHTS) continue;
      for (std::size_t at = CMSG_LEN(0); at + sizeof(int) <= c->cmsg_len; at += sizeof(int)) {
        int fd = -1;
        std::memcpy(&fd, reinterpret_cast<const char*>(c) + at, sizeof fd);
        got.push_back(fd);
      }
    }
    if (got.size() == 2 && (m.header.msg_flags & (MSG_TRUNC | MSG_CTRUNC)) == 0) {
      take_({bytes_.data(), static_cast<std::size_t>(n)}, {got[0], got[1]});
      continue;
    }
    for (const int fd : got) ::close(fd);
  }
}

DescriptorPassing::Sent DescriptorPassing::send(const std::string& folder, std::size_t seat,
                                                std::string_view bytes, Descriptors descriptors) {
  sockaddr_un at;
  if (bytes.size() > kMostBytes || !address_of(path_of(folder, seat), at)) return Sent::never;
  const int fd = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) return Sent::later;
  Message m(descriptors.size());
  m.part = {const_cast<char*>(bytes.data()), bytes.size()};
  m.header.msg_name = &at;
  m.header.msg_namelen = sizeof at;
  cmsghdr* c = CMSG_FIRSTHDR(&m.header);
  c->cmsg_level = SOL_SOCKET;
  c->cmsg_type = SCM_RIGHTS;
  c->cmsg_len = CMSG_LEN(sizeof descriptors);
  std::memcpy(CMSG_DATA(c), descriptors.data(), sizeof descriptors);
  const ssize_t n = ::sendmsg(fd, &m.header, MSG_DONTWAIT | MSG_NOSIGNAL);
  const int why = errno;
  ::close(fd);
  if (n < 0) return why == EAGAIN || why == EINTR || why == ENOBUFS ? Sent::later : Sent::never;
  return Sent::yes;
}

}  // namespace flintglade::hot_restart
