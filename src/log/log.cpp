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

// At most kMaxPerWindow events of one name are written per window.
constexpr unsigned kMaxPerWindow = 20;
constexpr std::int64_t kWindowUs = 1'000'000;

// Writes a line only if that cannot block, and drops it otherwise: a pipe that poll() reports as writable
// accepts PIPE_BUF bytes at once. Deliberately without a queue and a logging thread: a thread woke an idle
// router every 10 s, and where threads run one at a time, waiting for it at the end of the process took up to
// 20 s.
class NonBlockingSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  std::uint64_t dropped = 0;

 private:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (line.size() > kMaxLineBytes) {
      line.resize(kMaxLineBytes);
      line[kMaxLineBytes - 1] = '\n';
    }
    pollfd ready{STDERR_FILENO, POLLOUT, 0};
    const bool writable = ::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
    if (!writable || ::write(STDERR_FILENO, line.data(), line.size()) < 0) ++dropped;
  }
  void flush_() override {}
  static constexpr std::size_t kMaxLineBytes = 4096;  // PIPE_BUF
};

struct State {
  std::mutex mutex;
  Format format = Format::text;
  Collapse collapse{kMaxPerWindow, kWindowUs};
  std::shared_ptr<NonBlockingSink> sink = std::make_shared<NonBlockingSink>();
  spdlog::logger logger{"flintglade", sink};

  State() {
    logger.set_level(spdlog::level::info);
    apply_pattern();
  }
  void apply_pattern() {
    logger.set_pattern(format == Format::json ? R"({"ts":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})"
                                              : "ts=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v",
                       spdlog::pattern_time_type::utc);
  }
};
State& state() {
  static State instance;
  return instance;
}

std::int64_t now_us() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
spdlog::level::level_enum to_spdlog(Level level) {
  static constexpr spdlog::level::level_enum kLevels[] = {spdlog::level::debug, spdlog::level::info,
                                                          spdlog::level::warn, spdlog::level::err};
  return kLevels[static_cast<std::size_t>(level)];
}
// Values may contain text from clients: JSON escapes keep each event on one line.
std::string quote(std::string_view text) {
  return nlohmann::json(std::string(text)).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}
bool needs_no_quotes(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return c > ' ' && c < 127 && c != '"' && c != '=' && c != '\\';
  });
}
void write_collapsed_counts(State& log_state, std::int64_t now) {
  for (const auto& count : log_state.collapse.due(now)) {
    const Field fields[] = {{"of", count.name}, {"left_out", count.left_out}};
    log_state.logger.log(spdlog::level::warn, "{}",
                         render(log_state.format, "repeated", fields, std::size(fields)));
  }
}

}  // namespace

Field::Field(std::string_view k, double v) : key(k), value(nlohmann::json(v).dump()), bare(true) {}

bool configure(std::string_view format, std::string_view level) {
  if (format != "text" && format != "json") return false;
  static constexpr std::string_view kNames[] = {"debug", "info", "warn", "error"};
  const auto found = std::find(std::begin(kNames), std::end(kNames), level);
  if (found == std::end(kNames)) return false;
  State& log_state = state();
  const std::lock_guard lock(log_state.mutex);
  log_state.format = format == "json" ? Format::json : Format::text;
  log_state.logger.set_level(to_spdlog(static_cast<Level>(found - std::begin(kNames))));
  log_state.apply_pattern();
  return true;
}

std::string render(Format format, std::string_view name, const Field* fields, std::size_t count) {
  const bool json = format == Format::json;
  std::string out = json ? "\"event\":" : "event=";
  out += json ? quote(name) : std::string(name);
  for (const Field* field = fields; field != fields + count; ++field) {
    out += json ? ',' : ' ';
    out += json ? quote(field->key) : std::string(field->key);
    out += json ? ':' : '=';
    out += field->bare || (!json && needs_no_quotes(field->value)) ? field->value : quote(field->value);
  }
  return out;
}

bool enabled(Level level) {
  State& log_state = state();
  const std::lock_guard lock(log_state.mutex);
  return log_state.logger.should_log(to_spdlog(level));
}

namespace {
void write_event(Level level, std::string_view name, const Field* fields, std::size_t count) {
  State& log_state = state();
  const std::lock_guard lock(log_state.mutex);
  const std::int64_t now = now_us();
  write_collapsed_counts(log_state, now);
  if (!log_state.logger.should_log(to_spdlog(level))) return;
  if (level != Level::debug && !log_state.collapse.take(name, now)) return;
  log_state.logger.log(to_spdlog(level), "{}", render(log_state.format, name, fields, count));
}
}  // namespace

void event(Level level, std::string_view name, std::initializer_list<Field> fields) {
  write_event(level, name, fields.begin(), fields.size());
}
void event(Level level, std::string_view name, const std::vector<Field>& fields) {
  write_event(level, name, fields.data(), fields.size());
}

void reply(std::string_view name, const std::vector<Field>& fields) {
  State& log_state = state();
  const std::lock_guard lock(log_state.mutex);
  log_state.logger.log(spdlog::level::info, "{}",
                       render(log_state.format, name, fields.data(), fields.size()));
}

void flush() {
  State& log_state = state();
  const std::lock_guard lock(log_state.mutex);
  write_collapsed_counts(log_state, INT64_MAX / 2);
}

std::uint64_t dropped() {
  State& log_state = state();
  const std::lock_guard lock(log_state.mutex);
  return log_state.sink->dropped;
}

}  // namespace flintglade::log
