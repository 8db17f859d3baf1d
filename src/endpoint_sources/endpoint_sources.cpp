#include "endpoint_sources/endpoint_sources.h"

#include <algorithm>
#include <array>
#include <chrono>

#include "log/log.h"

namespace flintglade::endpoint_sources {

using boost::system::error_code;
using log::Level;

namespace {

// A list that fails is asked again after a growing wait with jitter, as the module does where it asks itself.
constexpr Micros kAskAgain = 500 * core::kMilli, kMostAskAgain = 2 * core::kSecond;

constexpr std::size_t kMostLogged = 20;  // replicas, one by one; more at once are a number

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
      membership_(rule(file.rule()), specs_),
      client_(io, clock, resolver_settings(file.resolver()), *this),
      alarm_(io),
      again_(io),
      uses_list_(has_list(specs_)) {
  watch_.tell([this](core::EndpointListUpdate news) { listed(std::move(news)); });
}
EndpointSources::~EndpointSources() {
  watch_.tell([](core::EndpointListUpdate) {});
}

void EndpointSources::start(const std::string& known) {
  if (uses_list_) watch_.known(known);
  core::EndpointListUpdate held = membership_.whole();
  membership_.changes();
  held.kind = policy::ListKind::cached;
  tell_(std::move(held));
  if (uses_list_) watch_.subscribe(true);
  client_.configure(client_.resolver().settings(), dns_names(specs_));
  settle();
}

void EndpointSources::subscribe(bool on) {
  asked_ = on;
  if (on) settle();
}

void EndpointSources::reload(const deploy::Membership& file, std::vector<SourceSpec> specs) {
  specs_ = std::move(specs);
  membership_.configure(clock_.now(), rule(file.rule()), specs_);
  const bool used = std::exchange(uses_list_, has_list(specs_));
  if (used != uses_list_) {
    again_.cancel();
    watch_.subscribe(uses_list_);
  }
  client_.configure(resolver_settings(file.resolver()), dns_names(specs_));
  settle();
}

// ---- what sources say
// -----------------------------------------------------------------------------------------

void EndpointSources::listed(core::EndpointListUpdate news) {
  for (core::Endpoint& entry : news.entries) {
    if (!entry.address.empty()) entry.address = canonical_address(entry.address);
  }
  const Micros now = clock_.now();
  if (news.kind == policy::ListKind::cached) {
    membership_.known(now, news);
  } else if (news.kind == policy::ListKind::failed) {
    for (const SourceSpec& s : specs_) {
      if (s.list) membership_.failed(now, s.name, watch_.status());
    }
    ask_list_again();
    settle();
  } else {
    list_failures_ = 0;
    membership_.list(now, news);
    settle();
  }
}

void EndpointSources::ask_list_again() {
  const Micros wait = std::min(kMostAskAgain, kAskAgain << std::min(list_failures_++, 8u));
  const double jitter = std::uniform_real_distribution<double>(0.5, 1.0)(random_);
  again_.expires_after(std::chrono::microseconds(static_cast<Micros>(static_cast<double>(wait) * jitter)));
  again_.async_wait([this](error_code ec) {
    if (!ec && uses_list_) watch_.subscribe(true);
  });
}

const SourceSpec* EndpointSources::by_dns_name(const std::string& name) const {
  const auto it = std::find_if(specs_.begin(), specs_.end(),
                               [&](const SourceSpec& s) { return !s.list && s.dns_name == name; });
  return it == specs_.end() ? nullptr : &*it;
}

void EndpointSources::answered(const std::string& name, const dns::SrvAnswer& answer) {
  const SourceSpec* spec = by_dns_name(name);
  // Past its lifetime it is no answer but what is held; failed() says so.
  if (spec == nullptr || answer.stale) return;
  membership_.dns(clock_.now(), spec->name, facts(answer));
  settle();
}

void EndpointSources::failed(const std::string& name, const std::string& why) {
  const SourceSpec* spec = by_dns_name(name);
  if (spec == nullptr) return;
  membership_.failed(clock_.now(), spec->name, why);
  settle();
}

// ---- telling
// --------------------------------------------------------------------------------------------------

void EndpointSources::settle() {
  const Micros now = clock_.now();
  membership_.wake(now);
  for (const std::string& name : membership_.to_confirm(now)) {
    // Not from inside the resolver's own turn.
    boost::asio::post(io_, [this, name] { client_.refresh(name); });
  }
  std::optional<core::EndpointListUpdate> changes;
  if (std::exchange(seen_, membership_.generation()) != membership_.generation()) {
    log_changes();
    changes = membership_.changes();
  }
  if (membership_.answered() && (asked_ || !told_)) {
    asked_ = false;
    told_ = true;
    tell_(membership_.whole());
  } else if (asked_ && membership_.all_failed()) {
    asked_ = false;
    tell_({});  // the core asks again after a while
  } else if (told_ && changes) {
    tell_(std::move(*changes));
  }
  const Micros at = membership_.next_timer();
  if (at == core::kNever) {
    alarm_.cancel();
    return;
  }
  alarm_.expires_at(std::chrono::steady_clock::time_point(std::chrono::microseconds(at)));
  alarm_.async_wait([this](error_code ec) {
    if (!ec) settle();
  });
}

void EndpointSources::log_changes() {
  for (const SourceStatus& s : membership_.status(clock_.now())) {
    std::string& before = logged_states_[s.name];
    if (before == s.state) continue;
    const bool bad = s.state == std::string_view("failing") || s.state == std::string_view("lapsed");
    log::event(bad ? Level::warn : Level::info, "endpoint_source_state",
               {{"name", s.name}, {"state", s.state}, {"names", s.names}, {"error", s.error}});
    before = s.state;
  }
  const auto& verdicts = membership_.verdicts();
  std::size_t changed = 0;
  for (const auto& [address, v] : verdicts) {
    const std::pair now{v.endpoint.replica.health, v.clause};
    const auto [it, fresh] = logged_.try_emplace(address, now);
    if (!fresh && it->second == now) continue;
    it->second = now;
    if (++changed > kMostLogged) continue;
    log::event(Level::info, "endpoint_state",
               {{"address", address},
                {"takes", now.first == Health::ready ? "new requests" : "nothing new"},
                {"clause", static_cast<int>(v.clause)},
                {"because", to_string(v.clause)},
                {"source", v.source}});
  }
  if (changed > kMostLogged)
    log::event(Level::info, "endpoints_changed", {{"changed", changed}, {"held", verdicts.size()}});
  if (logged_.size() > verdicts.size())
    std::erase_if(logged_, [&](const auto& l) { return verdicts.count(l.first) == 0; });
}

std::string EndpointSources::status() const {
  std::string out;
  for (const SourceStatus& s : membership_.status(clock_.now())) {
    if (!out.empty()) out += "; ";
    out += s.name + ": " + s.state;
    if (s.age >= 0) out += ", answered " + std::to_string(s.age / core::kSecond) + " s ago";
    if (!s.error.empty()) out += ", " + s.error;
  }
  return out;
}

std::vector<std::pair<std::string, std::uint64_t>> EndpointSources::counters() const {
  std::vector<std::pair<std::string, std::uint64_t>> out;
  const dns::ResolverCounters& d = client_.resolver().counters();
  out = {{"dns_queries", d.queries},
         {"dns_answers", d.answers},
         {"dns_truncated", d.truncated},
         {"dns_tcp", d.tcp},
         {"dns_timeouts", d.timeouts},
         {"dns_failures", d.failures},
         {"dns_wrong_source", d.wrong_source},
         {"dns_malformed", d.malformed},
         {"dns_wrong_id", d.wrong_id},
         {"dns_wrong_question", d.wrong_question},
         {"dns_no_answer", d.no_answer},
         {"dns_glue_refused", d.glue_refused},
         {"dns_chains_refused", d.chains_refused},
         {"dns_left_out", d.records_left_out},
         {"dns_cached", client_.resolver().cached()}};
  std::array<std::uint64_t, 10> clauses{};
  for (const auto& [address, v] : membership_.verdicts()) ++clauses[static_cast<std::size_t>(v.clause)];
  for (int c = 2; c <= 9; ++c)
    out.emplace_back(std::string("replicas_") + to_string(static_cast<Clause>(c)), clauses[c]);
  std::uint64_t failing = 0, doubts = 0;
  for (const SourceStatus& s : membership_.status(clock_.now())) {
    failing += s.state != std::string_view("current") && s.state != std::string_view("waiting");
    doubts += s.doubts;
    out.emplace_back("source_" + s.name + "_failures", s.failures);
    out.emplace_back("source_" + s.name + "_answers", s.answers);
    out.emplace_back("source_" + s.name + "_age_ms", s.age < 0 ? 0 : s.age / core::kMilli);
  }
  out.emplace_back("sources_failing", failing);
  out.emplace_back("source_doubts", doubts);
  return out;
}

}  // namespace flintglade::endpoint_sources
