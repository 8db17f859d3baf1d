// Structured logging: one event a line, key=value or JSON, on standard error. Nothing here blocks the caller:
// a line that would have to wait for the reader of standard error is dropped and counted.
// A storm of events of one name is collapsed: the first few of a second are written, the rest are counted.
// Events of the level debug, which somebody has asked for, are all written.
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
  bool bare = false;  // a number or a truth value: JSON has it without quotes

  Field(std::string_view k, std::string_view v) : key(k), value(v) {}
  Field(std::string_view k, const char* v) : key(k), value(v) {}
  Field(std::string_view k, const std::string& v) : key(k), value(v) {}
  Field(std::string_view k, bool v) : key(k), value(v ? "true" : "false"), bare(true) {}
  Field(std::string_view k, double v);
  template <std::integral N>
  Field(std::string_view k, N v) : key(k), value(std::to_string(v)), bare(true) {}
};

// Before the first event; a second call changes format and level. False: the words are not known.
bool configure(std::string_view format, std::string_view level);
bool enabled(Level level);  // whether event() would write at this level
void event(Level level, std::string_view name, std::initializer_list<Field> fields);
void event(Level level, std::string_view name, const std::vector<Field>& fields);
// What somebody asked for, such as the counters at SIGUSR1: never collapsed.
void reply(std::string_view name, const std::vector<Field>& fields);
void flush();             // writes what is counted; for the end of the process
std::uint64_t dropped();  // lines lost because nobody reads them

// One line without its time: what event() writes. For tests.
std::string render(Format format, std::string_view name, const Field* fields, std::size_t count);

}  // namespace flintglade::log
