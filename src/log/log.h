// Structured logging to standard error: one event per line, as key=value pairs or JSON. Logging never blocks
// the caller: a line that would have to wait for the reader of standard error is dropped and counted. Events
// of one name are rate limited: the first 20 within a second are written, the rest are counted. Events of
// level debug are exempt, because that level is enabled on purpose.
#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace flintglade::log {

enum class Format { text, json };
enum class Level { debug, info, warn, error };

struct Field {
  std::string_view key;
  std::string value;
  bool bare = false;  // a number or a boolean: written without quotes in JSON

  Field(std::string_view k, std::string_view v) : key(k), value(v) {}
  Field(std::string_view k, const char* v) : key(k), value(v) {}
  Field(std::string_view k, const std::string& v) : key(k), value(v) {}
  Field(std::string_view k, bool v) : key(k), value(v ? "true" : "false"), bare(true) {}
  Field(std::string_view k, double v);
  template <std::integral N>
  Field(std::string_view k, N v) : key(k), value(std::to_string(v)), bare(true) {}
};

// To be called before the first event; another call changes format and level. False if either value is
// unknown.
bool configure(std::string_view format, std::string_view level);
bool enabled(Level level);  // whether event() would write at this level
void event(Level level, std::string_view name, std::initializer_list<Field> fields);
void event(Level level, std::string_view name, const std::vector<Field>& fields);
// Output that an operator has requested, such as the counters at SIGUSR1: never rate limited.
void reply(std::string_view name, const std::vector<Field>& fields);
void flush();             // writes the pending counts; for the end of the process
std::uint64_t dropped();  // lines lost because standard error was not writable

// One line as event() writes it, without time and level. Public for tests.
std::string render(Format format, std::string_view name, const Field* fields, std::size_t count);

}  // namespace flintglade::log
