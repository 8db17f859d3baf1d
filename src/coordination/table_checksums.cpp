#include "coordination/table_checksums.h"

#include <algorithm>

namespace flintglade::coordination {

void TableChecksums::record(const TableChecksum& checksum) {
  if (!entries_.empty() && checksum.index <= entries_.back().index) entries_.clear();
  entries_.push_back(checksum);
  if (entries_.size() > kMaxEntries) entries_.pop_front();
}

void TableChecksums::compare(std::uint64_t voter, const TableChecksum& other) {
  const std::optional<std::uint32_t> own = find(other.index);
  if (!own) return;
  if (*own == other.checksum) {
    differing_voters_.erase(voter);
  } else {
    differing_voters_.emplace(voter, other.index);
  }
}

std::optional<std::uint32_t> TableChecksums::find(std::uint64_t index) const {
  const auto it =
      std::lower_bound(entries_.begin(), entries_.end(), index,
                       [](const TableChecksum& entry, std::uint64_t wanted) { return entry.index < wanted; });
  if (it == entries_.end() || it->index != index) return std::nullopt;
  return it->checksum;
}

}  // namespace flintglade::coordination
