// Reads the logs of a fleet's routers and checks the rules of its jobs. Pure. What it says rests on numbers,
// not on the routers' clocks, but for the times without an owner.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace flintglade::coordination {

struct LogLine {
  std::int64_t ms = -1;  // Unix time
  std::string event;
  std::map<std::string, std::string> fields;
  std::string operator[](const std::string& key) const {
    const auto it = fields.find(key);
    return it == fields.end() ? "" : it->second;
  }
};
// A line as src/log writes it, as text or as JSON. False: it is none, or not whole.
bool read_line(std::string_view text, LogLine& out);

class Audit {
 public:
  // A router's log, oldest line first. Lines that are none are passed over and counted. Several processes of
  // one router, one after another, may stand in one log.
  void read(const std::string& router, std::string_view log);

  // One line for each rule that was broken.
  std::vector<std::string> broken() const;
  struct Owner {
    std::string job, router;
    std::uint64_t number = 0;
    std::int64_t from_ms = 0, to_ms = -1;  // -1: to the end of its log, or to its process's end
    std::string why;                       // it ended
  };
  std::vector<Owner> owners() const;  // by job and number
  std::uint64_t unread() const { return unread_; }
  std::uint64_t refused() const { return refused_; }

 private:
  std::vector<Owner> owners_;
  std::vector<std::string> broken_;
  std::map<std::string, std::string> granted_;  // "JOB NUMBER" -> to whom, by the voters
  std::uint64_t unread_ = 0, refused_ = 0;
};

}  // namespace flintglade::coordination
