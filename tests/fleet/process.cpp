#include "fleet/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace flintglade::tests {

Process::Process(const ProcessOptions& options) {
  int pipe[2];
  if (::pipe2(pipe, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a test that is killed leaves nothing behind
    ::dup2(pipe[1], STDERR_FILENO);
    if (options.inherit == 3) ::fcntl(3, F_SETFD, 0);
    if (options.inherit >= 0 && options.inherit != 3) ::dup2(options.inherit, 3);
    for (const auto& [name, value] : options.environment)
      value.empty() ? ::unsetenv(name.c_str()) : ::setenv(name.c_str(), value.c_str(), 1);
    std::vector<char*> words{const_cast<char*>(options.program.c_str())};
    for (const std::string& a : options.arguments) words.push_back(const_cast<char*>(a.c_str()));
    words.push_back(nullptr);
    ::execv(words[0], words.data());
    ::_exit(127);
  }
  ::close(pipe[1]);
  reader_ = std::thread([this, from = pipe[0]] {
    char bytes[4096];
    for (ssize_t n; (n = ::read(from, bytes, sizeof bytes)) > 0;) {
      const std::lock_guard lock(mutex_);
      log_.append(bytes, static_cast<std::size_t>(n));
    }
    ::close(from);
  });
}

Process::~Process() {
  int status = 0;
  if (!ended(status)) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  reader_.join();
}

void Process::signal(int which) const {
  if (!reaped_) ::kill(pid_, which);
}

bool Process::ended(int& status) {
  if (!reaped_) reaped_ = ::waitpid(pid_, &status_, WNOHANG) == pid_;
  status = status_;
  return reaped_;
}

std::string Process::log() {
  const std::lock_guard lock(mutex_);
  return log_;
}

unsigned short Process::port(const std::string& mark) {
  const std::string all = log();
  const std::size_t at = all.find(mark);
  if (at == std::string::npos || all.find('\n', at) == std::string::npos) return 0;
  return static_cast<unsigned short>(std::atoi(all.c_str() + at + mark.size()));
}

std::size_t Process::descriptors() const {
  std::error_code gone;
  std::size_t n = 0;
  for (std::filesystem::directory_iterator it("/proc/" + std::to_string(pid_) + "/fd", gone), end;
       !gone && it != end; it.increment(gone))
    ++n;
  return n;
}

long Process::resident_kb() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("VmRSS:", 0) == 0) return std::atol(line.c_str() + 6);
  }
  return 0;
}

long Process::cpu_ms() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
  const std::string text(std::istreambuf_iterator<char>(file), {});
  long user = 0, system = 0;
  const std::size_t end = text.rfind(')');  // of its name, which may hold anything
  if (end == std::string::npos ||
      std::sscanf(text.c_str() + end + 1, " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %ld %ld", &user,
                  &system) != 2)
    return 0;
  return (user + system) * 1000 / ::sysconf(_SC_CLK_TCK);
}

bool within(int milliseconds, const std::function<bool()>& so) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
  while (!so()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

}  // namespace flintglade::tests
