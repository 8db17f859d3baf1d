// Checksums of a voter's lease table after the last entries that it has applied, to find voters whose tables
// differ though they have applied the same entries.
//
// Each acknowledgement of a voter carries its newest checksum, and the leader compares it with its own at the
// same index. No I/O; bounded in size. For use on one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace flintglade::coordination {

struct TableChecksum {
  std::uint64_t index = 0;  // of the last applied entry; 0: none yet
  std::uint32_t checksum = 0;
};

class TableChecksums {
 public:
  // Acknowledgements are compared with the entries that the leader has applied last, so only as many are kept
  // as a voter may be behind.
  static constexpr std::size_t kMaxEntries = 1024;

  // The table after the entry at this index, which follows the last one recorded, or after a snapshot.
  void record(const TableChecksum& checksum);
  TableChecksum latest() const { return entries_.empty() ? TableChecksum{} : entries_.back(); }
  // Compares with another voter's checksum. Nothing changes if this voter has none for its index.
  void compare(std::uint64_t voter, const TableChecksum& other);
  // The voters whose last comparison found a difference, with the index of the first difference found.
  const std::map<std::uint64_t, std::uint64_t>& differing_voters() const { return differing_voters_; }

 private:
  std::optional<std::uint32_t> find(std::uint64_t index) const;

  std::deque<TableChecksum> entries_;  // by index; some indexes may be missing
  std::map<std::uint64_t, std::uint64_t> differing_voters_;
};

}  // namespace flintglade::coordination
