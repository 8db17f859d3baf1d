#include "kserve/descriptions.h"

#include <algorithm>

namespace flintglade::kserve {

using core::Micros;

Descriptions::Found Descriptions::find(const Key& key, Micros now) {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return {};
  Entry& entry = it->second;
  entry.used_at = now;
  if (entry.state == State::unknown)
    return {now - entry.learned_at < settings_.retry_delay ? State::unknown : State::absent, nullptr};
  if (entry.state == State::absent || now - entry.learned_at >= settings_.ttl + settings_.max_stale)
    return {};
  return {State::known, &entry.description};
}

bool Descriptions::ask(const Key& key, Micros now) {
  auto it = entries_.find(key);
  if (it == entries_.end()) {
    if (entries_.size() >= settings_.entries && !evict_one()) return false;
    it = entries_.try_emplace(key).first;
  }
  Entry& entry = it->second;
  entry.used_at = now;
  const bool fresh = (entry.state == State::known && now - entry.learned_at < settings_.ttl) ||
                     (entry.state == State::unknown && now - entry.learned_at < settings_.retry_delay);
  if (entry.asking || fresh || (entry.failed_at >= 0 && now - entry.failed_at < settings_.retry_delay))
    return false;
  return entry.asking = true;
}

bool Descriptions::asking(const Key& key) const {
  const auto it = entries_.find(key);
  return it != entries_.end() && it->second.asking;
}

void Descriptions::set_known(const Key& key, inference::ModelMetadataResponse description, Micros now) {
  Entry& entry = entries_[key];
  entry.state = State::known;
  entry.asking = false;
  entry.learned_at = now;
  entry.failed_at = -1;
  entry.description = std::move(description);
}

void Descriptions::set_unknown(const Key& key, Micros now) {
  Entry& entry = entries_[key];
  entry.state = State::unknown;
  entry.asking = false;
  entry.learned_at = now;
  entry.failed_at = -1;
  entry.description.Clear();
}

// Keeps a known description: replicas that do not answer have not changed their models.
void Descriptions::failed(const Key& key, Micros now) {
  Entry& entry = entries_[key];
  entry.asking = false;
  entry.failed_at = now;
}

// Evicts the least recently used entry. Entries with a query in progress stay, because callers wait for them.
bool Descriptions::evict_one() {
  auto oldest = entries_.end();
  for (auto it = entries_.begin(); it != entries_.end(); ++it) {
    if (!it->second.asking && (oldest == entries_.end() || it->second.used_at < oldest->second.used_at))
      oldest = it;
  }
  if (oldest == entries_.end()) return false;
  entries_.erase(oldest);
  return true;
}

}  // namespace flintglade::kserve
