#include "endpoint_sources/endpoint_sources.h"

#include <algorithm>
#include <array>
#include <chrono>

#include "log/log.h"

namespace flintglade::endpoint_sources {

using boost::system::error_code;
using log::Level;

namespace {

// After a failure the list is requested again with exponential backoff and jitter, as the module does where
// it requests the list itself.
constexpr Micros kListRetryDelay = 500 * core::kMilli, kMaxListRetryDelay = 2 * core::kSecond;

// Of changes that happen at once, this many are logged one by one; if there are more, then only their total
// number.
constexpr std::size_t kMaxLoggedEndpoints = 20;

std::vector<std::string> dns_names(const std::vector<SourceSpec>& specs) {
  std::vector<std::string> out;
  for (const SourceSpec& s : specs) {
    if (!s.list) out.push_back(s.dns_name);
  }
  return out;
}
bool has_list(const std::vector<SourceSpec>& specs) {
  return std::any_of(specs.begin(), specs.end(), [](const SourceSpec& s) { return s.list; });
}

}  // namespace

EndpointSources::EndpointSources(boost::asio::io_context& io, core::Clock& clock, discovery::Watch& watch,
                                 const deploy::Membership& file, std::vector<SourceSpec> specs)
    : io_(io),
      clock_(clock),
      watch_(watch),
      specs_(std::move(specs)),
      merger_(merge_settings(file.rule()), specs_),
      client_(io, clock, resolver_settings(file.resolver()), *this),
      merge_timer_(io),
      list_retry_timer_(io),
      uses_list_(has_list(specs_)) {
  watch_.set_update_handler([this](core::EndpointListUpdate update) { on_list_update(std::move(update)); });
}
EndpointSources::~EndpointSources() {
  watch_.set_update_handler([](core::EndpointListUpdate) {});
}

void EndpointSources::start(const std::string& cached_list) {
  if (uses_list_) watch_.load_cached_list(cached_list);
  core::EndpointListUpdate cached = merger_.full_list();
  merger_.take_changes();
  cached.kind = policy::ListKind::cached;
  update_handler_(std::move(cached));
  if (uses_list_) watch_.subscribe(true);
  client_.configure(client_.resolver().settings(), dns_names(specs_));
  publish();
}

void EndpointSources::subscribe(bool on) {
  list_requested_ = on;
  if (on) publish();
}

void EndpointSources::reload(const deploy::Membership& file, std::vector<SourceSpec> specs) {
  specs_ = std::move(specs);
  merger_.configure(clock_.now(), merge_settings(file.rule()), specs_);
  const bool used_list = std::exchange(uses_list_, has_list(specs_));
  if (used_list != uses_list_) {
    list_retry_timer_.cancel();
    watch_.subscribe(uses_list_);
  }
  client_.configure(resolver_settings(file.resolver()), dns_names(specs_));
  publish();
}

// ---- updates from the sources

void EndpointSources::on_list_update(core::EndpointListUpdate update) {
  for (core::Endpoint& entry : update.entries) {
    if (!entry.address.empty()) entry.address = canonical_address(entry.address);
  }
  const Micros now = clock_.now();
  if (update.kind == policy::ListKind::cached) {
    merger_.apply_cached_list(now, update);
  } else if (update.kind == policy::ListKind::failed) {
    for (const SourceSpec& s : specs_) {
      if (s.list) merger_.on_source_failed(now, s.name, watch_.status());
    }
    schedule_list_retry();
    publish();
  } else {
    list_failures_ = 0;
    merger_.apply_list(now, update);
    publish();
  }
}

void EndpointSources::schedule_list_retry() {
  const Micros delay = std::min(kMaxListRetryDelay, kListRetryDelay << std::min(list_failures_++, 8u));
  const double jitter = std::uniform_real_distribution<double>(0.5, 1.0)(random_);
  list_retry_timer_.expires_after(
      std::chrono::microseconds(static_cast<Micros>(static_cast<double>(delay) * jitter)));
  list_retry_timer_.async_wait([this](error_code ec) {
    // After a reload the watch may have got a list from another address in the meantime.
    if (!ec && uses_list_ && list_failures_ > 0) watch_.subscribe(true);
  });
}

const SourceSpec* EndpointSources::find_by_dns_name(const std::string& name) const {
  const auto it = std::find_if(specs_.begin(), specs_.end(),
                               [&](const SourceSpec& s) { return !s.list && s.dns_name == name; });
  return it == specs_.end() ? nullptr : &*it;
}

void EndpointSources::answered(const std::string& name, const dns::SrvAnswer& answer) {
  const SourceSpec* spec = find_by_dns_name(name);
  // A stale answer is one from the cache whose lifetime has ended; failed() reports that query's failure.
  if (spec == nullptr || answer.stale) return;
  merger_.apply_dns_answer(clock_.now(), spec->name, resolved_addresses(answer));
  publish();
}

void EndpointSources::failed(const std::string& name, const std::string& why) {
  const SourceSpec* spec = find_by_dns_name(name);
  if (spec == nullptr) return;
  merger_.on_source_failed(clock_.now(), spec->name, why);
  publish();
}

// ---- updates to the core

void EndpointSources::publish() {
  const Micros now = clock_.now();
  merger_.on_timer(now);
  for (const std::string& name : merger_.names_to_confirm(now)) {
    // Posted, as this may run inside a callback of the resolver.
    boost::asio::post(io_, [this, name] { client_.refresh(name); });
  }
  std::optional<core::EndpointListUpdate> changes;
  if (std::exchange(published_generation_, merger_.generation()) != merger_.generation()) {
    log_changes();
    changes = merger_.take_changes();
  }
  if (merger_.any_answered() && (list_requested_ || !list_delivered_)) {
    list_requested_ = false;
    list_delivered_ = true;
    update_handler_(merger_.full_list());
  } else if (list_requested_ && merger_.all_failed()) {
    list_requested_ = false;
    update_handler_({});  // reports a failure; the core requests the list again later
  } else if (list_delivered_ && changes) {
    update_handler_(std::move(*changes));
  }
  const Micros next = merger_.next_timer();
  if (next == core::kNever) {
    merge_timer_.cancel();
    return;
  }
  merge_timer_.expires_at(std::chrono::steady_clock::time_point(std::chrono::microseconds(next)));
  merge_timer_.async_wait([this](error_code ec) {
    if (!ec) publish();
  });
}

void EndpointSources::log_changes() {
  for (const SourceStatus& s : merger_.status(clock_.now())) {
    std::string& logged_state = logged_source_states_[s.name];
    if (logged_state == s.state) continue;
    const bool bad = s.state == std::string_view("failing") || s.state == std::string_view("lapsed");
    log::event(bad ? Level::warn : Level::info, "endpoint_source_state",
               {{"name", s.name}, {"state", s.state}, {"names", s.names}, {"error", s.error}});
    logged_state = s.state;
  }
  const auto& merged_endpoints = merger_.merged_endpoints();
  std::size_t changed = 0;
  for (const auto& [address, merged] : merged_endpoints) {
    const std::pair state{merged.endpoint.replica.health, merged.clause};
    const auto [it, inserted] = logged_endpoints_.try_emplace(address, state);
    if (!inserted && it->second == state) continue;
    it->second = state;
    if (++changed > kMaxLoggedEndpoints) continue;
    log::event(Level::info, "endpoint_state",
               {{"address", address},
                {"takes", state.first == Health::ready ? "new requests" : "nothing new"},
                {"clause", static_cast<int>(merged.clause)},
                {"because", to_string(merged.clause)},
                {"source", merged.source}});
  }
  if (changed > kMaxLoggedEndpoints)
    log::event(Level::info, "endpoints_changed", {{"changed", changed}, {"held", merged_endpoints.size()}});
  if (logged_endpoints_.size() > merged_endpoints.size())
    std::erase_if(logged_endpoints_,
                  [&](const auto& entry) { return merged_endpoints.count(entry.first) == 0; });
}

std::string EndpointSources::status() const {
  std::string out;
  for (const SourceStatus& s : merger_.status(clock_.now())) {
    if (!out.empty()) out += "; ";
    out += s.name + ": " + s.state;
    if (s.age >= 0) out += ", answered " + std::to_string(s.age / core::kSecond) + " s ago";
    if (!s.error.empty()) out += ", " + s.error;
  }
  return out;
}

std::vector<std::pair<std::string, std::uint64_t>> EndpointSources::counters() const {
  std::vector<std::pair<std::string, std::uint64_t>> out;
  const dns::ResolverCounters& dns_counters = client_.resolver().counters();
  out = {{"dns_queries", dns_counters.queries},
         {"dns_answers", dns_counters.answers},
         {"dns_truncated", dns_counters.truncated},
         {"dns_tcp", dns_counters.tcp},
         {"dns_timeouts", dns_counters.timeouts},
         {"dns_failures", dns_counters.failures},
         {"dns_wrong_source", dns_counters.wrong_source},
         {"dns_malformed", dns_counters.malformed},
         {"dns_wrong_id", dns_counters.wrong_id},
         {"dns_wrong_question", dns_counters.wrong_question},
         {"dns_no_answer", dns_counters.no_answer},
         {"dns_glue_refused", dns_counters.glue_refused},
         {"dns_chains_refused", dns_counters.chains_refused},
         {"dns_left_out", dns_counters.records_left_out},
         {"dns_cached", client_.resolver().cached()}};
  std::array<std::uint64_t, 10> replicas_by_clause{};
  for (const auto& [address, merged] : merger_.merged_endpoints())
    ++replicas_by_clause[static_cast<std::size_t>(merged.clause)];
  for (int clause = 2; clause <= 9; ++clause)
    out.emplace_back(std::string("replicas_") + to_string(static_cast<Clause>(clause)),
                     replicas_by_clause[clause]);
  std::uint64_t failing = 0, unconfirmed_removals = 0;
  for (const SourceStatus& s : merger_.status(clock_.now())) {
    failing += s.state != std::string_view("current") && s.state != std::string_view("waiting");
    unconfirmed_removals += s.unconfirmed_removals;
    out.emplace_back("source_" + s.name + "_failures", s.failures);
    out.emplace_back("source_" + s.name + "_answers", s.answers);
    out.emplace_back("source_" + s.name + "_age_ms", s.age < 0 ? 0 : s.age / core::kMilli);
  }
  out.emplace_back("sources_failing", failing);
  out.emplace_back("source_doubts", unconfirmed_removals);
  return out;
}

}  // namespace flintglade::endpoint_sources
