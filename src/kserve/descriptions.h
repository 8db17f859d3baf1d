// A bounded cache of the replicas' descriptions of models that the operator file does not describe; decides
// when a replica has to be asked. No I/O; the caller passes the time (monotonic microseconds).
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
  // After the TTL a replica is asked again; the cached description is served meanwhile.
  core::Micros ttl = 60 * core::kSecond;
  // How long after the TTL it is still served if no replica answers.
  core::Micros max_stale = 3600 * core::kSecond;
  // After a failed query; also how long an `unknown` answer is cached.
  core::Micros retry_delay = core::kSecond;
};

class Descriptions {
 public:
  using Key = std::pair<std::string, std::string>;  // model, version ("" if the request has none)
  explicit Descriptions(DescriptionSettings settings) : settings_(settings) {}

  enum class State { absent, known, unknown };  // unknown: the replicas have no such model
  struct Found {
    State state = State::absent;
    const inference::ModelMetadataResponse* description = nullptr;  // valid until the next non-const call
  };
  Found find(const Key& key, core::Micros now);
  // Whether to ask a replica now. If true, the query counts as started: the caller must report its result
  // with set_known, set_unknown or failed.
  bool ask(const Key& key, core::Micros now);
  // Whether a query is in progress, so that an absent description may arrive soon.
  bool asking(const Key& key) const;
  void set_known(const Key& key, inference::ModelMetadataResponse description, core::Micros now);
  void set_unknown(const Key& key, core::Micros now);
  void failed(const Key& key, core::Micros now);
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    State state = State::absent;
    bool asking = false;
    core::Micros learned_at = 0, failed_at = -1, used_at = 0;  // failed_at: -1 if the last query was answered
    inference::ModelMetadataResponse description;
  };
  bool evict_one();
  DescriptionSettings settings_;
  std::map<Key, Entry> entries_;
};

}  // namespace flintglade::kserve
