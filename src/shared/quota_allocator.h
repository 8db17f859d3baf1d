// The quota allocator: the one router of the fleet that grants quota leases on the budgets, while it holds
// the lease on the allocator's job.
//
// No I/O. Times are of one clock that also advances while the machine is suspended. The allocator's state is
// lost when its lease on the job ends:
//
// - Quotas are refilled while the allocator's own lease is proved valid. The pool starts empty, so two
//   successive allocators never mint more than one would have, and a quota lease must be spent within
//   Budget::lease_duration().
// - Stocks are drawn in chunks from the replicated lease record. What an allocator has drawn and not granted
// is
//   lost when it stops.
// - Leases on a stock are valid only within its window, and not near the window's edges, because the estimate
// of
//   the fleet's Unix time is off by as much as packets are delayed.
//
// Bounds for any time span t: granted <= allocator_pool + allocator_per_s * t. Since a lease is spent within
// lease_duration(), spent <= allocator_burst + allocator_per_s * t. The model is tests/models/escrow.pml.
//
// Source: escrow transactions (O'Neil, 1986).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination.pb.h"
#include "shared/budget.h"

namespace flintglade::shared {

// Name of the allocator's job in the replicated lease record. It is stored there, so it must not change.
inline constexpr char kQuotaAllocatorLease[] = "bank";

class QuotaAllocator {
 public:
  explicit QuotaAllocator(std::vector<Budget> budgets);

  // To be called when this router's lease on the job begins (with its fencing token) and when it ends.
  void start(Micros now, std::uint64_t fencing_token);
  void stop() { fencing_token_ = 0; }
  bool active() const { return fencing_token_ != 0; }
  std::uint64_t fencing_token() const { return fencing_token_; }

  // Answers a request for a quota lease. Must only be called while the lease on the job is proved valid at
  // `now`. A repeated request gets the same answer. Returns nothing for an unknown budget, an implausible
  // amount, a request from a process that a later one has replaced, or if there are too many holders.
  std::optional<coordination::QuotaLease> allocate(Micros now, const std::string& router, std::uint64_t birth,
                                                   const coordination::QuotaRequest& request);
  // Takes back the unspent amount of a lease that this allocator granted. Returns false if the lease is
  // unknown or has already been returned, or if the amount is larger than the lease.
  bool take_back(Micros now, const std::string& router, const coordination::QuotaReturn& message);
  // The draws on stocks to propose to the lease record, repeated until the record contains them. unix_time:
  // of the fleet.
  std::vector<coordination::StockDraw> due_draws(Micros now, Micros unix_time);
  void on_record(const coordination::LeaseTable& record);

  struct Counters {
    std::uint64_t requests = 0, repeated = 0, leases = 0, refusals = 0, returned = 0, unknown = 0, draws = 0;
  };
  const Counters& counters() const { return counters_; }
  // The amount available for leases; 0 for an unknown budget.
  Amount pool(const std::string& budget) const;

 private:
  // A router that requests leases on one budget.
  struct Holder {
    std::uint64_t birth = 0;
    std::uint64_t last_request = 0;
    coordination::QuotaLease last_answer;
    double demand = 0;  // amount per second, as it reports
    Micros last_seen = 0;
    double credit = 0;  // accumulated from its fair rate; limits leases while demand exceeds the rate
    Micros credit_at = 0;
  };
  struct OutstandingLease {
    std::string router;
    Amount amount = 0;
    Micros expires = 0;
  };
  struct Account {
    Budget budget;
    double pool = 0;  // available for leases, which are granted in whole units
    Micros minted_at = 0;
    std::map<std::string, Holder> holders;
    std::map<std::uint64_t, OutstandingLease> outstanding;  // leases on a stock, by serial
    std::int64_t window = 0;
    Micros window_begins = 0;  // span in which leases are valid, on the allocator's clock
    Micros window_ends = 0;
    std::uint64_t pending_draw = 0;  // serial of a draw that the record does not contain yet; 0: none
    Amount pending_amount = 0;
    Micros repeat_draw_at = 0;
    bool exhausted = false;  // the record granted less than requested, so the window's stock is used up
  };

  // The rate that each holder is limited to while the total demand exceeds the budget's rate; empty if it
  // does not.
  static std::optional<double> fair_rate(const Account& account);
  static void mint(Micros now, Account& account);
  static void forget_silent_holders(Micros now, Account& account, const std::string& except_router);
  static void open_window(Account& account, std::int64_t window);
  static Amount draw_amount(const Account& account);
  coordination::QuotaLease new_lease(Micros now, Account& account, const std::string& router, Holder& holder,
                                     const coordination::QuotaRequest& request);
  Account* find(const std::string& budget);

  std::vector<Account> accounts_;
  std::uint64_t fencing_token_ = 0;  // 0: this router is not the allocator
  std::uint64_t last_serial_ = 0;
  Micros started_at_ = 0;
  Counters counters_;
};

}  // namespace flintglade::shared
