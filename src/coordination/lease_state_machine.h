// The replicated state machine: the lease table (who owns which job under which number) and the stocks drawn
// from.
//
// Pure and deterministic: the same commands in the same order give the same table on each voter. No time
// stands in it; the leader (lease_manager.h) and the owners (lease_holder.h) time the leases. A job's number
// is the fencing token of its owner.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "coordination.pb.h"

namespace flintglade::coordination {

// Limits on what a table may hold. A command beyond them changes nothing.
inline constexpr int kMaxJobs = 256, kMaxStocks = 256;

// What a command did.
struct Applied {
  bool changed = false;            // the table has a new revision
  std::string job;                 // of a Grant, Release, Move or StockDraw
  std::vector<HeldLease> renewed;  // of a Renew: the leases that still are the asking router's
};

class LeaseStateMachine {
 public:
  Applied apply(const Command& command);

  // Null: no such job. Valid until the next apply() or load().
  const Job* find(std::string_view name) const;
  // Of the leases that a router wants to renew, those that the table says are its own.
  std::vector<HeldLease> still_held(const Renew& renew) const;
  const LeaseTable& table() const { return table_; }

  // The whole state, as it stands in a snapshot.
  std::string save() const { return table_.SerializeAsString(); }
  // False: these bytes are no snapshot.
  bool load(std::string_view bytes) {
    return table_.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
  }

 private:
  // Each returns whether the table changed.
  bool grant(const Grant& grant);
  bool release(const Release& release);
  bool move(const Move& move);
  bool draw(const StockDraw& draw);

  Job* find_mutable(const std::string& name);
  Stock* find_or_add_stock(const StockDraw& draw);

  LeaseTable table_;
};

}  // namespace flintglade::coordination
