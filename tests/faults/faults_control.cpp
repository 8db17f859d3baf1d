#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>

#include "faults/faults.h"

namespace flintglade::tests {
namespace {

int parse_error_name(const std::string& name) {
  static const std::map<std::string, int> kNames = {{"short", kShort},
                                                    {"ECONNABORTED", ECONNABORTED},
                                                    {"EMFILE", EMFILE},
                                                    {"ENFILE", ENFILE},
                                                    {"ENOBUFS", ENOBUFS},
                                                    {"ENOMEM", ENOMEM},
                                                    {"EADDRNOTAVAIL", EADDRNOTAVAIL},
                                                    {"ENETUNREACH", ENETUNREACH},
                                                    {"ETIMEDOUT", ETIMEDOUT},
                                                    {"EHOSTUNREACH", EHOSTUNREACH},
                                                    {"EINTR", EINTR},
                                                    {"ENOSPC", ENOSPC},
                                                    {"EIO", EIO}};
  const auto it = kNames.find(name);
  if (it == kNames.end()) throw std::runtime_error("unknown error name in step 'faults': " + name);
  return it->second;
}

}  // namespace

Faults::Faults() {
  char name[] = "/tmp/flintglade-faults-XXXXXX";
  const int file = ::mkstemp(name);
  path_ = name;
  if (file < 0 || ::ftruncate(file, sizeof(Control)) != 0)
    throw std::runtime_error("cannot create the fault control file in /tmp");
  void* page = ::mmap(nullptr, sizeof(Control), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  ::close(file);
  if (page == MAP_FAILED) throw std::runtime_error("cannot map the fault control file");
  control_ = static_cast<Control*>(page);
}

Faults::~Faults() {
  ::munmap(control_, sizeof(Control));
  ::unlink(path_.c_str());
}

std::map<std::string, std::string> Faults::environment() const {
  // AddressSanitizer requires its runtime to be loaded first; this library does not interfere with it, so the
  // check is switched off.
  return {{"LD_PRELOAD", FLINTGLADE_FAULTS_LIBRARY},
          {kControlVariable, path_},
          {"ASAN_OPTIONS", "verify_asan_link_order=0"}};
}

Fault& Faults::fault(const std::string& call) const {
  const auto it = std::find(std::begin(kCallNames), std::end(kCallNames), call);
  if (it == std::end(kCallNames))
    throw std::runtime_error("unknown system call in step 'faults' or 'hit': " + call);
  return control_->faults[it - std::begin(kCallNames)];
}

void Faults::set(const std::string& call, int count, const std::string& error, int port) {
  Fault& target = fault(call);
  target.remaining = 0;
  target.error = parse_error_name(error);
  target.port = port;
  target.remaining = count;
}

int Faults::hits(const std::string& call) const { return fault(call).hits; }

void Faults::wall_clock(double seconds_off) {
  control_->wall_offset_us = static_cast<std::int64_t>(seconds_off * 1e6);
}

}  // namespace flintglade::tests
