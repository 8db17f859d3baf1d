// Loaded into a program under test (LD_PRELOAD): lets chosen system calls fail in the ways that Linux
// documents, and the wall clock be off. Never a part of the program that is served.
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <ctime>

#include "faults/control.h"

namespace {

using flintglade::tests::Call;
using flintglade::tests::Control;
using flintglade::tests::Fault;
using flintglade::tests::kControlVariable;
using flintglade::tests::kShort;

Control* map_control() {
  const char* path = std::getenv(kControlVariable);
  if (path == nullptr) return nullptr;
  const int file = ::open(path, O_RDWR | O_CLOEXEC);
  if (file < 0) return nullptr;
  void* page = ::mmap(nullptr, sizeof(Control), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  ::close(file);
  return page == MAP_FAILED ? nullptr : static_cast<Control*>(page);
}

Control* control() {
  static Control* const mapped = map_control();
  return mapped;
}

template <typename Function>
Function next(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

int port_of(const sockaddr* address) {
  if (address->sa_family == AF_INET) return ntohs(reinterpret_cast<const sockaddr_in*>(address)->sin_port);
  if (address->sa_family == AF_INET6) return ntohs(reinterpret_cast<const sockaddr_in6*>(address)->sin6_port);
  return -1;
}
int peer_port(int descriptor) {
  sockaddr_storage peer{};
  socklen_t size = sizeof peer;
  if (::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) != 0) return -1;
  return port_of(reinterpret_cast<const sockaddr*>(&peer));
}

// The error with which this call fails; kShort; or 0. port: its peer's, asked for only where that matters.
template <typename Port>
int fails(Call call, const Port& port) {
  if (control() == nullptr) return 0;
  Fault& fault = control()->faults[static_cast<std::size_t>(call)];
  if (fault.left.load() <= 0) return 0;
  if (fault.port.load() != 0 && fault.port.load() != port()) return 0;
  if (fault.left.fetch_sub(1) <= 0) return 0;
  fault.hits.fetch_add(1);
  return fault.error.load();
}
int fails(Call call) {
  return fails(call, [] { return 0; });
}
int fails_with(int error) {
  errno = error;
  return -1;
}

// The first byte of what a message has room for.
template <typename Message, typename Do>
ssize_t one_byte(const Message& message, const Do& with) {
  for (std::size_t i = 0; i < message.msg_iovlen; ++i) {
    if (message.msg_iov[i].iov_len == 0) continue;
    iovec one{message.msg_iov[i].iov_base, 1};
    msghdr small{};
    small.msg_iov = &one;
    small.msg_iovlen = 1;
    return with(&small);
  }
  return with(&message);
}

}  // namespace

extern "C" {

int accept(int descriptor, sockaddr* address, socklen_t* size) {
  static const auto real = next<int (*)(int, sockaddr*, socklen_t*)>("accept");
  const int error = fails(Call::accept);
  return error != 0 ? fails_with(error) : real(descriptor, address, size);
}

int accept4(int descriptor, sockaddr* address, socklen_t* size, int flags) {
  static const auto real = next<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  const int error = fails(Call::accept);
  return error != 0 ? fails_with(error) : real(descriptor, address, size, flags);
}

int socket(int domain, int type, int protocol) {
  static const auto real = next<int (*)(int, int, int)>("socket");
  const int error = domain == AF_INET || domain == AF_INET6 ? fails(Call::socket) : 0;
  return error != 0 ? fails_with(error) : real(domain, type, protocol);
}

int connect(int descriptor, const sockaddr* address, socklen_t size) {
  static const auto real = next<int (*)(int, const sockaddr*, socklen_t)>("connect");
  const int error = fails(Call::connect, [address] { return port_of(address); });
  return error != 0 ? fails_with(error) : real(descriptor, address, size);
}

int epoll_wait(int descriptor, epoll_event* events, int most, int timeout) {
  static const auto real = next<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  const int error = fails(Call::wait);
  return error != 0 ? fails_with(error) : real(descriptor, events, most, timeout);
}

ssize_t recv(int descriptor, void* to, size_t size, int flags) {
  static const auto real = next<ssize_t (*)(int, void*, size_t, int)>("recv");
  const int error = (flags & MSG_PEEK) != 0 ? 0 : fails(Call::receive, [=] { return peer_port(descriptor); });
  if (error > 0) return fails_with(error);
  return real(descriptor, to, error == kShort && size > 1 ? 1 : size, flags);
}

ssize_t recvmsg(int descriptor, msghdr* message, int flags) {
  static const auto real = next<ssize_t (*)(int, msghdr*, int)>("recvmsg");
  const int error = fails(Call::receive, [=] { return peer_port(descriptor); });
  if (error > 0) return fails_with(error);
  if (error == kShort)
    return one_byte(*message,
                    [=](const msghdr* one) { return real(descriptor, const_cast<msghdr*>(one), flags); });
  return real(descriptor, message, flags);
}

ssize_t send(int descriptor, const void* from, size_t size, int flags) {
  static const auto real = next<ssize_t (*)(int, const void*, size_t, int)>("send");
  const int error = fails(Call::send, [=] { return peer_port(descriptor); });
  if (error > 0) return fails_with(error);
  return real(descriptor, from, error == kShort && size > 1 ? 1 : size, flags);
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static const auto real = next<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  const int error = fails(Call::send, [=] { return peer_port(descriptor); });
  if (error > 0) return fails_with(error);
  if (error == kShort)
    return one_byte(*message, [=](const msghdr* one) { return real(descriptor, one, flags); });
  return real(descriptor, message, flags);
}

ssize_t pwrite(int descriptor, const void* from, size_t size, off_t at) {
  static const auto real = next<ssize_t (*)(int, const void*, size_t, off_t)>("pwrite");
  const int error = fails(Call::write);
  if (error > 0) return fails_with(error);
  return real(descriptor, from, error == kShort && size > 1 ? 1 : size, at);
}

int fsync(int descriptor) {
  static const auto real = next<int (*)(int)>("fsync");
  const int error = fails(Call::sync);
  return error != 0 ? fails_with(error) : real(descriptor);
}

int fdatasync(int descriptor) {
  static const auto real = next<int (*)(int)>("fdatasync");
  const int error = fails(Call::sync);
  return error != 0 ? fails_with(error) : real(descriptor);
}

int rename(const char* from, const char* to) {
  static const auto real = next<int (*)(const char*, const char*)>("rename");
  const int error = fails(Call::rename);
  return error != 0 ? fails_with(error) : real(from, to);
}

int ftruncate(int descriptor, off_t size) {
  static const auto real = next<int (*)(int, off_t)>("ftruncate");
  const int error = fails(Call::truncate);
  return error != 0 ? fails_with(error) : real(descriptor, size);
}

int clock_gettime(clockid_t which, timespec* to) {
  static const auto real = next<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int result = real(which, to);
  if (result != 0 || which != CLOCK_REALTIME || control() == nullptr) return result;
  const std::int64_t offset = control()->wall_offset_us.load();
  const std::int64_t nanos = to->tv_nsec + (offset % 1'000'000) * 1000 + 1'000'000'000;
  to->tv_sec += offset / 1'000'000 + nanos / 1'000'000'000 - 1;
  to->tv_nsec = nanos % 1'000'000'000;
  return result;
}

int gettimeofday(timeval* to, void*) {
  timespec now{};
  if (clock_gettime(CLOCK_REALTIME, &now) != 0) return -1;
  *to = {now.tv_sec, now.tv_nsec / 1000};
  return 0;
}

time_t time(time_t* to) {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (to != nullptr) *to = now.tv_sec;
  return now.tv_sec;
}

}  // extern "C"
