// What this router may spend of each budget: the quota leases that it holds, and the bucket reserved for it.
//
// No I/O. Times are of one monotonic clock. Used on the core's thread only: spend() is on the serving path
// and neither allocates nor locks.
//
// A lease's time starts when this router first sent the request, on its own clock, and is a tenth shorter
// than the allocator granted, because clocks may drift apart by that much. A lease that answers an abandoned
// request is returned; a duplicate is ignored. Nothing is persisted: leases lost in a crash are never spent.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "coordination.pb.h"
#include "shared/budget.h"

namespace flintglade::shared {

class QuotaHolder {
 public:
  enum class Verdict : std::uint8_t {
    unlimited,  // the team has no budget
    within,
    over_quota,  // over a budget with reject_over_quota = false
    rejected,
  };
  struct Decision {
    Verdict verdict = Verdict::unlimited;
    Micros retry_after = 0;  // for a rejected request
  };
  struct LeaseRequest {
    coordination::QuotaRequest request;
    bool to_peer = false;  // sent to another router, since the allocator does not answer
  };

  // teams: names by team number, as in the settings. birth: start time of this process in microseconds of
  // Unix time; the numbers of its lease requests start from it.
  QuotaHolder(std::vector<Budget> budgets, const std::vector<std::string>& teams, std::uint64_t birth,
              Micros now);

  // Charges one request of this team to all of the team's budgets, or to none of them.
  Decision spend(Micros now, std::uint32_t team, Amount tokens);

  // The requests for leases to send now.
  std::vector<LeaseRequest> due_requests(Micros now);
  // The leases on stocks to return now: those that expired or arrived too late.
  std::vector<coordination::QuotaReturn> take_returns();
  // Handles a lease from the allocator or from another router. A refusal is a lease with amount 0.
  void on_lease(Micros now, const coordination::QuotaLease& message);
  // A lease for another router, out of what this one does not need at present. Returns nothing if the budget
  // is unknown, the amount is implausible, or the request has already been answered.
  std::optional<coordination::QuotaLease> lend(Micros now, const coordination::QuotaRequest& request);
  // Called at shutdown: returns all leases and stops requesting new ones.
  void return_all();

  // When to call due_requests() and take_returns() again.
  Micros next(Micros now) const;
  void status(Micros now, coordination::SharedStatus& out) const;
  // Leased plus reserved amount of the budget at this position in the settings.
  Amount held(Micros now, std::size_t budget) const;
  // Amount spent since the start.
  Amount spent(std::size_t budget) const { return accounts_[budget].spent; }

 private:
  struct Lease {
    Amount amount = 0;
    Micros expires = 0;
    std::uint64_t allocator = 0;  // fencing token of the allocator that granted it; 0: lent by another router
    std::uint64_t serial = 0;
  };
  static constexpr std::size_t kMaxLeases = 16;
  // A budget, the amounts held of it, and the outstanding lease request.
  struct Account {
    Budget budget;
    std::array<Lease, kMaxLeases> leases{};  // the first `lease_count` are used, sorted by expiry
    std::size_t lease_count = 0;
    double reserved = 0;  // level of the reserved bucket
    Micros reserved_at = 0;
    double demand = 0;  // of this router, as amount per second, decaying exponentially over a second
    Micros demand_at = 0;
    Micros last_spent = 0;
    std::uint64_t pending = 0;  // number of the outstanding request; 0: none
    coordination::QuotaRequest request;
    Micros first_sent = 0;
    Micros last_sent = 0;
    Micros not_before = 0;  // earliest time of the next request
    bool to_peer = false;
    std::deque<std::uint64_t> abandoned;  // numbers of timed-out requests, whose answers come too late
    std::deque<std::uint64_t> answered;   // numbers of other routers' requests that were answered
    Amount spent = 0, refused = 0, expired = 0, lent = 0, borrowed = 0;
    Micros last_lease = -1;
  };

  void expire_and_refill(Micros now, Account& account);
  static void drop_first_lease(Account& account);
  static void add_lease(Account& account, const Lease& lease);
  static void charge(Account& account, Amount cost);
  static void note_demand(Micros now, Account& account, Amount amount);
  static double demand(Micros now, const Account& account);
  static Amount leased(const Account& account);
  std::optional<LeaseRequest> due_request(Micros now, Account& account);
  void accept_lease(Micros now, Account& account, const coordination::QuotaLease& message);
  // Queues the unspent amount of a lease on a stock for return to its allocator.
  void return_lease(const Budget& budget, const Lease& lease);

  std::vector<Account> accounts_;
  std::vector<std::vector<std::size_t>> accounts_of_team_;
  std::vector<coordination::QuotaReturn> returns_;
  std::uint64_t last_number_;  // of this router's requests
  bool leaving_ = false;
};

}  // namespace flintglade::shared
