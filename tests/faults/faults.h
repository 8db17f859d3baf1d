// The test's side of fault injection: owns the shared control page and provides the environment that loads
// the library.
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

  // To be added to the environment of the program under test.
  std::map<std::string, std::string> environment() const;
  // Makes the next count calls fail. error: the name of an errno, or 'short' (one byte is transferred). port:
  // only sockets with this peer port; 0: all.
  void set(const std::string& call, int count, const std::string& error, int port = 0);
  int hits(const std::string& call) const;
  void wall_clock(double seconds_off);

 private:
  Fault& fault(const std::string& call) const;
  std::string path_;
  Control* control_ = nullptr;
};

}  // namespace flintglade::tests
