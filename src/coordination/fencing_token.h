// Fencing tokens on the receiver's side: the highest token that this router has seen of each job.
//
// An effect with a lower token comes from a former owner that does not know yet that its lease has passed to
// another router. Pure; one thread. Source: Kleppmann, 'How to do distributed locking' (2016).
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace flintglade::coordination {

class FencingTokens {
 public:
  // Jobs that are remembered; the lease table has far fewer (kMaxJobs).
  static constexpr std::size_t kMaxJobs = 1024;

  // Whether an effect with this token may be applied. Remembers the token if so.
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

  // The highest token that was admitted; 0: none yet.
  std::uint64_t highest(const std::string& job) const {
    const auto it = highest_.find(job);
    return it == highest_.end() ? 0 : it->second;
  }
  // How many effects were refused for a lower token.
  std::uint64_t rejected() const { return rejected_; }

 private:
  std::map<std::string, std::uint64_t> highest_;
  std::uint64_t rejected_ = 0;
};

}  // namespace flintglade::coordination
