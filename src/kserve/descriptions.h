// What replicas say of models that the operator's file does not describe: a bounded cache, and when to ask.
// No I/O; time is handed in (monotonic microseconds).
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include "core/ports.h"
#include "kserve_v2.pb.h"

namespace flintglade::kserve {

struct DescriptionSettings {
  std::size_t entries = 64;
  core::Micros ttl = 60 * core::kSecond;      // then a replica is asked anew; the old word serves meanwhile
  core::Micros stale = 3600 * core::kSecond;  // and for so long after that, if none answers
  core::Micros again = core::kSecond;         // between asks that failed, and how long 'unknown' is believed
};

class Descriptions {
 public:
  using Key = std::pair<std::string, std::string>;  // model, version ("" for none named)
  explicit Descriptions(DescriptionSettings settings) : settings_(settings) {}

  enum class State { absent, known, unknown };  // unknown: replicas say that there is no such model
  struct Found {
    State state = State::absent;
    const inference::ModelMetadataResponse* said = nullptr;  // until the next call that is not const
  };
  Found find(const Key& key, core::Micros now);
  // Whether to ask a replica now. True once for each ask: one of told, told_unknown and failed has to follow.
  bool ask(const Key& key, core::Micros now);
  // An ask is under way; absent answers are worth waiting for.
  bool asking(const Key& key) const;
  void told(const Key& key, inference::ModelMetadataResponse said, core::Micros now);
  void told_unknown(const Key& key, core::Micros now);
  void failed(const Key& key, core::Micros now);
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    State state = State::absent;
    bool asking = false;
    core::Micros learnt = 0, tried = -1, used = 0;  // tried: when an ask last failed; -1: it did not
    inference::ModelMetadataResponse said;
  };
  bool make_room();
  DescriptionSettings settings_;
  std::map<Key, Entry> entries_;
};

}  // namespace flintglade::kserve
