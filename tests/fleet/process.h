// Processes of the program, as a test or a scenario starts them: any number, each with a configuration, an
// environment and inherited descriptors of its own.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace flintglade::tests {

struct ProcessOptions {
  std::string program;
  std::vector<std::string> arguments;
  std::map<std::string, std::string> environment;  // beside ours; an empty value takes a variable away
  int inherit = -1;                                // this descriptor becomes 3
};

class Process {
 public:
  explicit Process(const ProcessOptions& options);
  ~Process();  // killed, if it still runs
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t pid() const { return pid_; }
  void signal(int which) const;
  // Whether it has ended; the status is then that of waitpid.
  bool ended(int& status);
  std::string log();                             // all that it said on standard error
  unsigned short port(const std::string& mark);  // behind this mark in a whole line of the log; 0: not yet
  std::size_t descriptors() const;
  long resident_kb() const;
  long cpu_ms() const;  // of the processor, used so far

 private:
  pid_t pid_ = -1;
  bool reaped_ = false;
  int status_ = 0;
  std::mutex mutex_;
  std::string log_;
  std::thread reader_;
};

// Polls until it is so; false when the time is up.
bool within(int milliseconds, const std::function<bool()>& so);

}  // namespace flintglade::tests
