#include "coordination/pending_requests.h"

namespace flintglade::coordination {
namespace {

constexpr std::size_t kMaxPendingRequests = 256;
constexpr Micros kForgetAfter = 5 * core::kSecond;
constexpr int kTimeoutsUntilIrrelevant = 4;

}  // namespace

bool PendingRequests::is_full() const { return requests_.size() >= kMaxPendingRequests; }

std::uint64_t PendingRequests::add(Micros now, bool is_renewal) {
  requests_[++last_number_] = {now, is_renewal};
  return last_number_;
}

std::optional<PendingRequest> PendingRequests::take(std::uint64_t number) {
  const auto it = requests_.find(number);
  if (it == requests_.end()) return std::nullopt;
  const PendingRequest request = it->second;
  requests_.erase(it);
  return request;
}

bool PendingRequests::has_timed_out(Micros now, Micros timeout) const {
  for (const auto& [number, request] : requests_) {
    const Micros age = now - request.sent_at;
    if (number != last_number_ && age > timeout && age < kTimeoutsUntilIrrelevant * timeout) return true;
  }
  return false;
}

void PendingRequests::forget_old(Micros now) {
  std::erase_if(requests_, [now](const auto& entry) { return now - entry.second.sent_at > kForgetAfter; });
}

}  // namespace flintglade::coordination
