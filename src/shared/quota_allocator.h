// The bank: the one router that hands out a budget's parts. Pure; times are of one clock that also runs while
// the machine sleeps. It holds nothing that outlives it:
//
//   quotas  are minted while its lease is proved. It begins with none, so what two banks mint after one
//   another
//           is never more than one would have, and a part has to be spent within Budget::part_valid().
//   stocks  are drawn from the agreed record in chunks. What it has not handed out at its end is lost.
//
// In any span t: handed out <= bank_pool + bank_per_s * t, and what is out and may be spent was handed out
// within part_valid(): spent <= bank_burst + bank_per_s * t.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination.pb.h"
#include "shared/settings.h"

namespace flintglade::shared {

inline constexpr char kQuotaAllocatorLease[] = "bank";

class QuotaAllocator {
 public:
  explicit QuotaAllocator(std::vector<Budget> budgets);

  void starts(Micros now, std::uint64_t number);  // its lease on the job begins
  void stops() { number_ = 0; }
  bool open() const { return number_ != 0; }
  std::uint64_t number() const { return number_; }

  // Only while the lease is proved at this very moment. Asked again with the same number, it answers the
  // same. Nothing: no such budget, or no such amount.
  std::optional<coordination::QuotaLease> asked(Micros now, const std::string& who, std::uint64_t birth,
                                                const coordination::QuotaRequest& ask);
  // What is left of a part that this bank has handed out: once, and never more than the part.
  bool returned(Micros now, const std::string& who, const coordination::QuotaReturn& back);
  // What it wants of the record. unix_time: of the fleet, as far as can be told. Asked again until the record
  // shows it.
  std::vector<coordination::StockDraw> draws(Micros now, Micros unix_time);
  void record(const coordination::LeaseTable& table);

  struct Counters {
    std::uint64_t asks = 0, again = 0, parts = 0, dry = 0, returned = 0, unknown = 0, draws = 0;
  };
  const Counters& counters() const { return counters_; }
  Amount pool(const std::string& budget) const;

 private:
  struct Holder {
    std::uint64_t birth = 0, ask = 0;
    coordination::QuotaLease answer;
    double demand = 0;  // a second
    Micros heard = 0;
    double due = 0;  // while things are tight: what it may have by now
    Micros due_at = 0;
  };
  struct Out {
    std::string who;
    Amount amount = 0;
    Micros ends = 0;
  };
  struct Account {
    Budget budget;
    double pool = 0;  // thousandths; whole ones are handed out
    Micros minted = 0;
    std::map<std::string, Holder> holders;
    std::map<std::uint64_t, Out> out;  // parts of stocks, by serial
    std::int64_t window = 0;
    Micros window_ends = 0;     // on the bank's clock
    std::uint64_t drawing = 0;  // the serial of a draw that the record does not show yet
    Amount drawing_amount = 0;
    Micros drawing_again = 0;
    bool dry = false;  // the record gave less than was asked: nothing is left in this window
  };
  void mint(Micros now, Account& a);
  // The rate that nobody gets more of while all together want more than there is.
  static double level(const Account& a);

  std::vector<Account> accounts_;
  std::uint64_t number_ = 0, serial_ = 0;
  Micros began_ = 0;
  Counters counters_;
};

}  // namespace flintglade::shared
