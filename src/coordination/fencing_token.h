// The receiver's side of jobs: the highest number that it has seen of each. An effect of a lower one comes
// from an owner that does not know yet that it is none any more. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace flintglade::coordination {

class FencingTokens {
 public:
  static constexpr std::size_t kMost = 1024;  // jobs; the record has far fewer
  bool admit(const std::string& job, std::uint64_t number) {
    const auto it = seen_.find(job);
    if (it == seen_.end()) {
      if (seen_.size() >= kMost) return false;
      seen_[job] = number;
      return true;
    }
    if (number < it->second) {
      ++refused_;
      return false;
    }
    it->second = number;
    return true;
  }
  std::uint64_t seen(const std::string& job) const {
    const auto it = seen_.find(job);
    return it == seen_.end() ? 0 : it->second;
  }
  std::uint64_t refused() const { return refused_; }

 private:
  std::map<std::string, std::uint64_t> seen_;
  std::uint64_t refused_ = 0;
};

}  // namespace flintglade::coordination
