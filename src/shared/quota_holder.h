// What this router may spend of each budget: leases that it holds, and a bucket that is reserved for it.
//
// No I/O. Times are of one monotonic clock. One thread, the core's: spend() is on the serving path and
// neither allocates nor locks.
//
// A lease counts from when it was first requested, on this router's clock, and a tenth shorter than the
// allocator said: clocks may drift apart so far. A lease that answers a request which was given up is
// returned; one that comes twice is taken once. Nothing is stored: what a crash takes is never spent.
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
    over_quota,  // beyond a budget that does not reject
    rejected,
  };
  struct Decision {
    Verdict verdict = Verdict::unlimited;
    Micros retry_after = 0;  // where it is rejected
  };
  struct LeaseRequest {
    coordination::QuotaRequest request;
    bool to_peer = false;  // the allocator does not answer: another router is asked
  };

  // teams: of the settings, by number. birth: of this process, in microseconds of Unix time; numbers its
  // requests.
  QuotaHolder(std::vector<Budget> budgets, const std::vector<std::string>& teams, std::uint64_t birth,
              Micros now);

  // One request of this team: charged to all budgets of the team, or to none.
  Decision spend(Micros now, std::uint32_t team, Amount tokens);

  // The requests for leases to send now.
  std::vector<LeaseRequest> due_requests(Micros now);
  // The leases of stocks to return now: expired ones, and such that came too late.
  std::vector<coordination::QuotaReturn> take_returns();
  // A lease has come, from the allocator or from another router. A refusal is one of amount 0.
  void on_lease(Micros now, const coordination::QuotaLease& message);
  // A lease for another router, out of what this one does not need for now. Empty: no such budget, or
  // answered already.
  std::optional<coordination::QuotaLease> lend(Micros now, const coordination::QuotaRequest& request);
  // At the end of this router: all leases are returned, and no more are requested.
  void return_all();

  // When to call due_requests() and take_returns() again.
  Micros next(Micros now) const;
  void status(Micros now, coordination::SharedStatus& out) const;
  // Leased and reserved together, of the budget by its position in the settings.
  Amount held(Micros now, std::size_t budget) const;
  // Since the start.
  Amount spent(std::size_t budget) const { return accounts_[budget].spent; }

 private:
  struct Lease {
    Amount amount = 0;
    Micros expires = 0;
    std::uint64_t allocator =
        0;  // the fencing token under which it was handed out; 0: lent by another router
    std::uint64_t serial = 0;
  };
  static constexpr std::size_t kMaxLeases = 16;
  // A budget, what is held of it, and the request for a lease that is out.
  struct Account {
    Budget budget;
    std::array<Lease, kMaxLeases> leases{};  // the first `lease_count`, the one that expires soonest first
    std::size_t lease_count = 0;
    double reserved = 0;  // in the bucket
    Micros reserved_at = 0;
    double demand = 0;  // of this router, amounts a second, decaying over a second
    Micros demand_at = 0;
    Micros last_spent = 0;
    std::uint64_t pending = 0;  // number of the request that is out; 0: none
    coordination::QuotaRequest request;
    Micros first_sent = 0;
    Micros last_sent = 0;
    Micros not_before = 0;  // of the next request
    bool to_peer = false;
    std::deque<std::uint64_t> given_up;  // requests whose answers would come too late
    std::deque<std::uint64_t> answered;  // requests of others
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
  // Queues what is left of a stock's lease for its allocator.
  void return_lease(const Budget& budget, const Lease& lease);

  std::vector<Account> accounts_;
  std::vector<std::vector<std::size_t>> accounts_of_team_;
  std::vector<coordination::QuotaReturn> returns_;
  std::uint64_t last_number_;  // of requests
  bool leaving_ = false;
};

}  // namespace flintglade::shared
