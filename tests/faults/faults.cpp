// Loaded into a program under test with LD_PRELOAD: makes chosen system calls fail in the ways that Linux
// documents and shifts the wall clock. Never part of a released program.
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
Function next_symbol(const char* name) {
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

// The errno with which this call is to fail, kShort, or 0 for no fault. port: returns the peer's port; called
// only if the fault is restricted to one.
template <typename Port>
int injected_error(Call call, const Port& port) {
  if (control() == nullptr) return 0;
  Fault& fault = control()->faults[static_cast<std::size_t>(call)];
  if (fault.remaining.load() <= 0) return 0;
  if (fault.port.load() != 0 && fault.port.load() != port()) return 0;
  if (fault.remaining.fetch_sub(1) <= 0) return 0;
  fault.hits.fetch_add(1);
  return fault.error.load();
}
int injected_error(Call call) {
  return injected_error(call, [] { return 0; });
}
int fails_with(int error) {
  errno = error;
  return -1;
}

// Runs the transfer with the message's first non-empty buffer cut to one byte.
template <typename Message, typename Transfer>
ssize_t one_byte(const Message& message, const Transfer& transfer) {
  for (std::size_t i = 0; i < message.msg_iovlen; ++i) {
    if (message.msg_iov[i].iov_len == 0) continue;
    iovec first_byte{message.msg_iov[i].iov_base, 1};
    msghdr header{};
    header.msg_iov = &first_byte;
    header.msg_iovlen = 1;
    return transfer(&header);
  }
  return transfer(&message);
}

}  // namespace

extern "C" {

int accept(int descriptor, sockaddr* address, socklen_t* size) {
  static const auto real = next_symbol<int (*)(int, sockaddr*, socklen_t*)>("accept");
  const int error = injected_error(Call::accept);
  return error != 0 ? fails_with(error) : real(descriptor, address, size);
}

int accept4(int descriptor, sockaddr* address, socklen_t* size, int flags) {
  static const auto real = next_symbol<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  const int error = injected_error(Call::accept);
  return error != 0 ? fails_with(error) : real(descriptor, address, size, flags);
}

int socket(int domain, int type, int protocol) {
  static const auto real = next_symbol<int (*)(int, int, int)>("socket");
  const int error = domain == AF_INET || domain == AF_INET6 ? injected_error(Call::socket) : 0;
  return error != 0 ? fails_with(error) : real(domain, type, protocol);
}

int connect(int descriptor, const sockaddr* address, socklen_t size) {
  static const auto real = next_symbol<int (*)(int, const sockaddr*, socklen_t)>("connect");
  const int error = injected_error(Call::connect, [address] { return port_of(address); });
  return error != 0 ? fails_with(error) : real(descriptor, address, size);
}

int epoll_wait(int descriptor, epoll_event* events, int max_events, int timeout) {
  static const auto real = next_symbol<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  const int error = injected_error(Call::wait);
  return error != 0 ? fails_with(error) : real(descriptor, events, max_events, timeout);
}

ssize_t recv(int descriptor, void* to, size_t size, int flags) {
  static const auto real = next_symbol<ssize_t (*)(int, void*, size_t, int)>("recv");
  const int error =
      (flags & MSG_PEEK) != 0 ? 0 : injected_error(Call::receive, [=] { return peer_port(descriptor); });
  if (error > 0) return fails_with(error);
  return real(descriptor, to, error == kShort && size > 1 ? 1 : size, flags);
}

ssize_t recvmsg(int descriptor, msghdr* message, int flags) {
  static const auto real = next_symbol<ssize_t (*)(int, msghdr*, int)>("recvmsg");
  const int error = injected_error(Call::receive, [=] { return peer_port(descriptor); });
  if (error > 0) return fails_with(error);
  if (error == kShort)
    return one_byte(*message, [=](const msghdr* shortened) {
      return real(descriptor, const_cast<msghdr*>(shortened), flags);
    });
  return real(descriptor, message, flags);
}

ssize_t send(int descriptor, const void* from, size_t size, int flags) {
  static const auto real = next_symbol<ssize_t (*)(int, const void*, size_t, int)>("send");
  const int error = injected_error(Call::send, [=] { return peer_port(descriptor); });
  if (error > 0) return fails_with(error);
  return real(descriptor, from, error == kShort && size > 1 ? 1 : size, flags);
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static const auto real = next_symbol<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  const int error = injected_error(Call::send, [=] { return peer_port(descriptor); });
  if (error > 0) return fails_with(error);
  if (error == kShort)
    return one_byte(*message, [=](const msghdr* shortened) { return real(descriptor, shortened, flags); });
  return real(descriptor, message, flags);
}

ssize_t pwrite(int descriptor, const void* from, size_t size, off_t at) {
  static const auto real = next_symbol<ssize_t (*)(int, const void*, size_t, off_t)>("pwrite");
  const int error = injected_error(Call::write);
  if (error > 0) return fails_with(error);
  return real(descriptor, from, error == kShort && size > 1 ? 1 : size, at);
}

int fsync(int descriptor) {
  static const auto real = next_symbol<int (*)(int)>("fsync");
  const int error = injected_error(Call::sync);
  return error != 0 ? fails_with(error) : real(descriptor);
}

int fdatasync(int descriptor) {
  static const auto real = next_symbol<int (*)(int)>("fdatasync");
  const int error = injected_error(Call::sync);
  return error != 0 ? fails_with(error) : real(descriptor);
}

int rename(const char* from, const char* to) {
  static const auto real = next_symbol<int (*)(const char*, const char*)>("rename");
  const int error = injected_error(Call::rename);
  return error != 0 ? fails_with(error) : real(from, to);
}

int ftruncate(int descriptor, off_t size) {
  static const auto real = next_symbol<int (*)(int, off_t)>("ftruncate");
  const int error = injected_error(Call::truncate);
  return error != 0 ? fails_with(error) : real(descriptor, size);
}

int clock_gettime(clockid_t which, timespec* to) {
  static const auto real = next_symbol<int (*)(clockid_t, timespec*)>("clock_gettime");
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
