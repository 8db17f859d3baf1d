// What this router may spend of each budget: parts that it holds, and a bucket of its own that was put aside
// for it. Pure; times are of one monotonic clock. spend() is on the serving path: no allocation, no lock.
//
// A part counts from when it was first asked for, on this router's clock, and a tenth shorter than the bank
// said: clocks may run so far apart. A part that comes for an ask that is over goes back; one that comes
// twice is taken once. Nothing is written down: what a crash takes is never spent.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination.pb.h"
#include "shared/settings.h"

namespace flintglade::shared {

class QuotaHolder {
 public:
  enum class Verdict : std::uint8_t { unlimited, within, last, refused };
  struct Spent {
    Verdict verdict = Verdict::unlimited;
    Micros again = 0;  // refused: when to come back
  };
  struct Question {
    coordination::QuotaRequest ask;
    bool to_peer = false;  // the bank does not answer
  };

  // teams: of the settings, by number. birth: of this router, in microseconds of Unix time.
  QuotaHolder(std::vector<Budget> budgets, const std::vector<std::string>& teams, std::uint64_t birth,
              Micros now);

  // One request. Taken from all budgets of its team, or from none.
  Spent spend(Micros now, std::uint32_t team, Amount tokens);

  std::vector<Question> questions(Micros now);  // to be sent now
  std::vector<coordination::QuotaReturn>
  returns();  // likewise: parts of stocks that are over, or came too late
  void parcel(Micros now, const coordination::QuotaLease& p);
  // For another router, out of what this one does not need for now.
  std::optional<coordination::QuotaLease> lend(Micros now, const std::string& who,
                                               const coordination::QuotaRequest& ask);
  void give_back_all();  // at the end of this router

  Micros next(Micros now) const;  // when to look for questions and returns again
  void status(Micros now, coordination::SharedStatus& out) const;
  // Held and own together, and spent since the start: for whoever adds up.
  Amount held(Micros now, std::size_t budget) const;
  Amount spent(std::size_t budget) const { return accounts_[budget].spent; }

 private:
  struct Part {
    Amount amount = 0;
    Micros ends = 0;
    std::uint64_t bank = 0, serial = 0;
  };
  static constexpr std::size_t kMostParts = 16;
  struct Account {
    Budget budget;
    std::array<Part, kMostParts> parts{};  // the first `count`, the one that ends soonest first
    std::size_t count = 0;
    double own = 0;
    Micros own_at = 0;
    double demand = 0;  // asked of this router, a second, forgotten over a second
    Micros demand_at = 0, asked_for = 0;
    std::uint64_t asking = 0;  // the number of the ask that is out; 0: none
    coordination::QuotaRequest ask;
    Micros ask_first = 0, ask_sent = 0, not_before = 0;
    bool to_peer = false;
    int unanswered = 0;
    std::deque<std::uint64_t> given_up;  // asks whose answer would come too late
    std::deque<std::uint64_t> lent_for;  // asks of others that were answered
    Amount spent = 0, refused = 0, expired = 0, lent = 0, borrowed = 0;
    Micros last_part = -1;
  };
  void age(Micros now, Account& a);
  void drop_first(Account& a);
  void note_demand(Micros now, Account& a, Amount amount);
  static double demand(Micros now, const Account& a);
  static Amount parts(const Account& a);
  void back(const Budget& budget, const Part& part);

  std::vector<Account> accounts_;
  std::vector<std::vector<std::size_t>> of_team_;
  std::vector<coordination::QuotaReturn> returns_;
  std::uint64_t numbers_;
  bool leaving_ = false;
};

}  // namespace flintglade::shared
