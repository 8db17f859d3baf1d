// The quota allocator: the one router of the fleet that hands out leases on budgets, while it holds the lease
// on this job.
//
// No I/O. Times are of one clock that also runs while the machine sleeps. Nothing it holds outlives it:
//
// - Quotas are minted while its own lease is proved. The pool begins empty, so what two allocators mint one
// after another
//   is never more than one would have, and a lease has to be spent within Budget::lease_duration().
// - Stocks are drawn from the replicated record in chunks. What is not handed out when it ends is lost.
// - Leases on a stock are valid within its window only, and not near its edges: what this router takes for
//   the fleet's Unix time is off by as much as packets are late.
//
// In any span t: handed out <= allocator_pool + allocator_per_s * t; and what may be spent was handed out
// within lease_duration(): spent <= allocator_burst + allocator_per_s * t. The model is
// tests/models/escrow.pml.
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

// The allocator's job in the replicated record: its name is stored there.
inline constexpr char kQuotaAllocatorLease[] = "bank";

class QuotaAllocator {
 public:
  explicit QuotaAllocator(std::vector<Budget> budgets);

  // This router's lease on the job begins, under this fencing token, or ends.
  void start(Micros now, std::uint64_t fencing_token);
  void stop() { fencing_token_ = 0; }
  bool active() const { return fencing_token_ != 0; }
  std::uint64_t fencing_token() const { return fencing_token_; }

  // Answers a request for a lease; only to be called while the lease on the job is proved at this very
  // moment. The same request gets the same answer. Empty: no such budget, no plausible amount, or a request
  // that was overtaken.
  std::optional<coordination::QuotaLease> allocate(Micros now, const std::string& router, std::uint64_t birth,
                                                   const coordination::QuotaRequest& request);
  // What is left of a lease that this allocator handed out is taken back: once, and never more than the
  // lease.
  bool take_back(Micros now, const std::string& router, const coordination::QuotaReturn& message);
  // The draws on stocks to put into the record. Repeated until the record shows them. unix_time: of the
  // fleet.
  std::vector<coordination::StockDraw> due_draws(Micros now, Micros unix_time);
  void on_record(const coordination::LeaseTable& record);

  struct Counters {
    std::uint64_t requests = 0, repeated = 0, leases = 0, refusals = 0, returned = 0, unknown = 0, draws = 0;
  };
  const Counters& counters() const { return counters_; }
  // What is ready to be handed out; 0 for a budget that is not known.
  Amount pool(const std::string& budget) const;

 private:
  // A router that requests leases of one budget.
  struct Holder {
    std::uint64_t birth = 0;
    std::uint64_t last_request = 0;
    coordination::QuotaLease last_answer;
    double demand = 0;  // amounts a second, as it says
    Micros last_seen = 0;
    double credit = 0;  // its saved-up part of the rate, while more is wanted than there is
    Micros credit_at = 0;
  };
  struct OutstandingLease {
    std::string router;
    Amount amount = 0;
    Micros expires = 0;
  };
  struct Account {
    Budget budget;
    double pool = 0;  // whole units of it are handed out
    Micros minted_at = 0;
    std::map<std::string, Holder> holders;
    std::map<std::uint64_t, OutstandingLease> outstanding;  // of stocks, by serial
    std::int64_t window = 0;
    Micros window_begins = 0;  // on the allocator's clock, for leases
    Micros window_ends = 0;
    std::uint64_t pending_draw = 0;  // the serial of a draw that the record does not show yet; 0: none
    Amount pending_amount = 0;
    Micros repeat_draw_at = 0;
    bool exhausted = false;  // the record granted less than was asked: nothing is left in this window
  };

  // The rate above which no holder gets more, if all together want more than there is. Empty: there is
  // enough.
  static std::optional<double> fair_rate(const Account& account);
  static void mint(Micros now, Account& account);
  static void forget_silent_holders(Micros now, Account& account, const std::string& but_not);
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
