// The test's side of the injected faults: the page that tells them, and the environment that loads them.
#pragma once

#include <map>
#include <string>

#include "faults/control.h"

namespace flintglade::tests {

class Faults {
 public:
  Faults();
  ~Faults();
  Faults(const Faults&) = delete;
  Faults& operator=(const Faults&) = delete;

  // For the process that they are for, beside its own.
  std::map<std::string, std::string> environment() const;
  // So many of the next calls fail like this: an errno's name, or 'short'. port: of the peer; 0: whoever.
  void set(const std::string& call, int count, const std::string& error, int port = 0);
  int hits(const std::string& call) const;
  void wall_clock(double seconds_off);

 private:
  Fault& fault(const std::string& call) const;
  std::string path_;
  Control* control_ = nullptr;
};

}  // namespace flintglade::tests
