// The replicated state machine: the lease table (the owner of each job and the number of its lease) and the
// stocks.
//
// Deterministic and without I/O: the same commands in the same order give the same table on each voter. The
// table contains no times; the leader (lease_manager.h) and the owners (lease_holder.h) time the leases. A
// job's number is the fencing token of its owner.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "coordination.pb.h"

namespace flintglade::coordination {

// Limits on the size of the table. A command that would exceed them has no effect.
inline constexpr int kMaxJobs = 256, kMaxStocks = 256;

// The result of a command.
struct Applied {
  bool changed = false;            // the table has a new revision
  std::string job;                 // of a Grant, Release, Move or StockDraw
  std::vector<HeldLease> renewed;  // of a Renew: the leases that the requesting router still holds
};

class LeaseStateMachine {
 public:
  Applied apply(const Command& command);

  // Null if there is no such job. Valid until the next apply() or load().
  const Job* find(std::string_view name) const;
  // Of the leases that a router requests to renew, those that it still holds according to the table.
  std::vector<HeldLease> still_held(const Renew& renew) const;
  const LeaseTable& table() const { return table_; }

  // The whole state, serialized for a snapshot.
  std::string save() const { return table_.SerializeAsString(); }
  // Returns false if the bytes are not a serialized state.
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
