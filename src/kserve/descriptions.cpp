#include "kserve/descriptions.h"

#include <algorithm>

namespace flintglade::kserve {

using core::Micros;

Descriptions::Found Descriptions::find(const Key& key, Micros now) {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return {};
  Entry& e = it->second;
  e.used = now;
  if (e.state == State::unknown)
    return {now - e.learnt < settings_.again ? State::unknown : State::absent, nullptr};
  if (e.state == State::absent || now - e.learnt >= settings_.ttl + settings_.stale) return {};
  return {State::known, &e.said};
}

bool Descriptions::ask(const Key& key, Micros now) {
  auto it = entries_.find(key);
  if (it == entries_.end()) {
    if (entries_.size() >= settings_.entries && !make_room()) return false;
    it = entries_.try_emplace(key).first;
  }
  Entry& e = it->second;
  e.used = now;
  const bool fresh = (e.state == State::known && now - e.learnt < settings_.ttl) ||
                     (e.state == State::unknown && now - e.learnt < settings_.again);
  if (e.asking || fresh || (e.tried >= 0 && now - e.tried < settings_.again)) return false;
  return e.asking = true;
}

bool Descriptions::asking(const Key& key) const {
  const auto it = entries_.find(key);
  return it != entries_.end() && it->second.asking;
}

void Descriptions::told(const Key& key, inference::ModelMetadataResponse said, Micros now) {
  Entry& e = entries_[key];
  e.state = State::known;
  e.asking = false;
  e.learnt = now;
  e.tried = -1;
  e.said = std::move(said);
}

void Descriptions::told_unknown(const Key& key, Micros now) {
  Entry& e = entries_[key];
  e.state = State::unknown;
  e.asking = false;
  e.learnt = now;
  e.tried = -1;
  e.said.Clear();
}

// What was known stays known: a fleet that does not answer has not changed its models.
void Descriptions::failed(const Key& key, Micros now) {
  Entry& e = entries_[key];
  e.asking = false;
  e.tried = now;
}

// Lets the one go that was looked for longest ago; one that is being asked about has somebody waiting.
bool Descriptions::make_room() {
  auto oldest = entries_.end();
  for (auto it = entries_.begin(); it != entries_.end(); ++it) {
    if (!it->second.asking && (oldest == entries_.end() || it->second.used < oldest->second.used))
      oldest = it;
  }
  if (oldest == entries_.end()) return false;
  entries_.erase(oldest);
  return true;
}

}  // namespace flintglade::kserve
