#include "log/log.h"

#include <poll.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>

#include "log/collapse.h"

namespace flintglade::log {
namespace {

constexpr unsigned kMostLike = 20;  // of one name in a window
constexpr std::int64_t kWindowUs = 1'000'000;

// Writes a line where that can't wait, and drops it where it could: a pipe that is said to be writable takes
// PIPE_BUF bytes at once. No queue and no thread of its own. Seen with one: it woke an idle router every 10
// s, and the end of a process that waited for it took up to 20 s where threads run one at a time.
class NoWait final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  std::uint64_t dropped = 0;

 private:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (line.size() > kLongest) {
      line.resize(kLongest);
      line[kLongest - 1] = '\n';
    }
    pollfd ready{STDERR_FILENO, POLLOUT, 0};
    const bool can = ::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
    if (!can || ::write(STDERR_FILENO, line.data(), line.size()) < 0) ++dropped;
  }
  void flush_() override {}
  static constexpr std::size_t kLongest = 4096;  // PIPE_BUF
};

struct State {
  std::mutex mutex;
  Format format = Format::text;
  Collapse collapse{kMostLike, kWindowUs};
  std::shared_ptr<NoWait> sink = std::make_shared<NoWait>();
  spdlog::logger logger{"flintglade", sink};

  State() {
    logger.set_level(spdlog::level::info);
    pattern();
  }
  void pattern() {
    logger.set_pattern(format == Format::json ? R"({"ts":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})"
                                              : "ts=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v",
                       spdlog::pattern_time_type::utc);
  }
};
State& state() {
  static State s;
  return s;
}

std::int64_t now_us() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
spdlog::level::level_enum to_spd(Level level) {
  static constexpr spdlog::level::level_enum kLevels[] = {spdlog::level::debug, spdlog::level::info,
                                                          spdlog::level::warn, spdlog::level::err};
  return kLevels[static_cast<std::size_t>(level)];
}
// What a client sent may stand in a value: JSON's own escapes keep a line one line.
std::string quote(std::string_view text) {
  return nlohmann::json(std::string(text)).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}
bool plain(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return c > ' ' && c < 127 && c != '"' && c != '=' && c != '\\';
  });
}
void tell_counts(State& s, std::int64_t now) {
  for (const auto& count : s.collapse.due(now)) {
    const Field fields[] = {{"of", count.name}, {"left_out", count.left_out}};
    s.logger.log(spdlog::level::warn, "{}", render(s.format, "repeated", fields, std::size(fields)));
  }
}

}  // namespace

Field::Field(std::string_view k, double v) : key(k), value(nlohmann::json(v).dump()), bare(true) {}

bool configure(std::string_view format, std::string_view level) {
  if (format != "text" && format != "json") return false;
  static constexpr std::string_view kNames[] = {"debug", "info", "warn", "error"};
  const auto at = std::find(std::begin(kNames), std::end(kNames), level);
  if (at == std::end(kNames)) return false;
  State& s = state();
  const std::lock_guard lock(s.mutex);
  s.format = format == "json" ? Format::json : Format::text;
  s.logger.set_level(to_spd(static_cast<Level>(at - std::begin(kNames))));
  s.pattern();
  return true;
}

std::string render(Format format, std::string_view name, const Field* fields, std::size_t count) {
  const bool json = format == Format::json;
  std::string out = json ? "\"event\":" : "event=";
  out += json ? quote(name) : std::string(name);
  for (const Field* f = fields; f != fields + count; ++f) {
    out += json ? ',' : ' ';
    out += json ? quote(f->key) : std::string(f->key);
    out += json ? ':' : '=';
    out += f->bare || (!json && plain(f->value)) ? f->value : quote(f->value);
  }
  return out;
}

bool enabled(Level level) {
  State& s = state();
  const std::lock_guard lock(s.mutex);
  return s.logger.should_log(to_spd(level));
}

namespace {
void write_event(Level level, std::string_view name, const Field* fields, std::size_t count) {
  State& s = state();
  const std::lock_guard lock(s.mutex);
  const std::int64_t now = now_us();
  tell_counts(s, now);
  if (!s.logger.should_log(to_spd(level))) return;
  if (level != Level::debug && !s.collapse.take(name, now)) return;
  s.logger.log(to_spd(level), "{}", render(s.format, name, fields, count));
}
}  // namespace

void event(Level level, std::string_view name, std::initializer_list<Field> fields) {
  write_event(level, name, fields.begin(), fields.size());
}
void event(Level level, std::string_view name, const std::vector<Field>& fields) {
  write_event(level, name, fields.data(), fields.size());
}

void reply(std::string_view name, const std::vector<Field>& fields) {
  State& s = state();
  const std::lock_guard lock(s.mutex);
  s.logger.log(spdlog::level::info, "{}", render(s.format, name, fields.data(), fields.size()));
}

void flush() {
  State& s = state();
  const std::lock_guard lock(s.mutex);
  tell_counts(s, INT64_MAX / 2);
}

std::uint64_t dropped() {
  State& s = state();
  const std::lock_guard lock(s.mutex);
  return s.sink->dropped;
}

}  // namespace flintglade::log
