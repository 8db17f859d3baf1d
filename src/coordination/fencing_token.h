// Fencing tokens on the receiver's side: the highest token that this router has seen for each job.
//
// An effect with a lower token comes from a former owner that does not know yet that its lease was granted to
// another router. No I/O; for use on one thread. Source: Kleppmann, 'How to do distributed locking' (2016).
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace flintglade::coordination {

class FencingTokens {
 public:
  // Limit on the jobs with a stored token; the lease table has far fewer (kMaxJobs in lease_state_machine.h).
  static constexpr std::size_t kMaxJobs = 1024;

  // Whether an effect with this token may be applied. If so, stores the token.
  bool admit(const std::string& job, std::uint64_t token) {
    const auto it = highest_.find(job);
    if (it == highest_.end()) {
      if (highest_.size() >= kMaxJobs) return false;
      highest_[job] = token;
      return true;
    }
    if (token < it->second) {
      ++rejected_;
      return false;
    }
    it->second = token;
    return true;
  }

  // The highest token that was admitted; 0 if there is none yet.
  std::uint64_t highest(const std::string& job) const {
    const auto it = highest_.find(job);
    return it == highest_.end() ? 0 : it->second;
  }
  // Number of effects that were rejected for a lower token.
  std::uint64_t rejected() const { return rejected_; }

 private:
  std::map<std::string, std::uint64_t> highest_;
  std::uint64_t rejected_ = 0;
};

}  // namespace flintglade::coordination
