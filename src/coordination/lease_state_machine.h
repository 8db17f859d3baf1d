// The record that voters agree on: who owns which job, under which number. Pure and deterministic: the same
// commands in the same order give the same table everywhere. No time stands in it; leases are the leader's
// (lease_manager.h) and the owner's (lease_holder.h).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "coordination.pb.h"

namespace flintglade::coordination {

inline constexpr int kMostJobs = 256, kMostStocks = 256;

// What a command did.
struct Applied {
  bool changed = false;            // the table is another
  std::string job;                 // of a Grant, Release, Move or Draw
  std::vector<HeldLease> renewed;  // of a Renew: what is still the asker's
};

class LeaseStateMachine {
 public:
  Applied apply(const Command& command);
  const Job* find(std::string_view name) const;
  std::vector<HeldLease> still(const Renew& renew) const;  // what of it is the asker's at present
  const LeaseTable& table() const { return table_; }
  std::string save() const { return table_.SerializeAsString(); }
  bool load(std::string_view bytes) {
    return table_.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
  }

 private:
  Job* get(const std::string& name);
  bool draw(const StockDraw& d);
  LeaseTable table_;
};

}  // namespace flintglade::coordination
