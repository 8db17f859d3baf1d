// flintglade fleet ...: asks a router over its fleet's port, and prints.
#include <google/protobuf/util/json_util.h>

#include <array>
#include <boost/asio.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

#include "commands/commands.h"
#include "config/config.h"
#include "coordination/audit.h"
#include "coordination/raft_node.h"
#include "coordination/raft_storage.h"
#include "operator/operator_file.h"

namespace flintglade::commands {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr int kTries = 4;
constexpr std::chrono::milliseconds kWait{700};
constexpr std::chrono::seconds kChange{10};  // a voter that is added catches up first
// While nobody leads: an election takes a second or two, and what was refused for want of a leader is not
// done.
constexpr int kElectionTries = 12;
constexpr std::chrono::milliseconds kElectionWait{500};

// One question, one answer; asked again where none comes. Other packets that come to this address, such as
// those for whoever had it before, are passed over.
class Line {
 public:
  explicit Line(const std::string& at) : socket_(io_, udp::endpoint(udp::v4(), 0)) {
    config::HostPort to;
    boost::system::error_code ec;
    if (!config::parse_host_port(at, to)) return;
    to_ = {asio::ip::make_address(to.host, ec), static_cast<unsigned short>(to.port)};
    good_ = !ec && to_.address().is_v4();
  }
  bool good() const { return good_; }
  // False: no answer came.
  bool ask(const coordination::Packet& question, coordination::Packet& answer, int tries = kTries,
           std::chrono::milliseconds wait = kWait) {
    for (int i = 0; i < tries; ++i) {
      boost::system::error_code ec;
      socket_.send_to(asio::buffer(question.SerializeAsString()), to_, 0, ec);
      answered_ = false;
      receive(question, answer);
      io_.restart();
      io_.run_for(wait);
      if (answered_) return true;
      socket_.cancel(ec);
      io_.restart();
      io_.run();
    }
    return false;
  }

 private:
  static bool answers(const coordination::Packet& question, const coordination::Packet& packet) {
    if (question.has_query()) return packet.has_status();
    return packet.has_reply() && packet.reply().number() == question.request().number();
  }
  void receive(const coordination::Packet& question, coordination::Packet& answer) {
    socket_.async_receive(asio::buffer(bytes_), [&](boost::system::error_code failed, std::size_t n) {
      if (failed == asio::error::operation_aborted) return;
      answered_ =
          !failed && answer.ParseFromArray(bytes_.data(), static_cast<int>(n)) && answers(question, answer);
      if (!answered_) receive(question, answer);
    });
  }

  bool answered_ = false;
  asio::io_context io_;
  udp::socket socket_;
  udp::endpoint to_;
  bool good_ = false;
  std::array<char, 65536> bytes_{};
};

// The status of the router at this address, and its fleet's name. Empty: got, else one line.
std::string status(const std::string& at, coordination::Packet& out) {
  Line line(at);
  if (!line.good()) return at + " is not of the form ADDRESS:PORT";
  coordination::Packet question;
  question.mutable_query();
  if (!line.ask(question, out)) return "no answer from " + at;
  return "";
}

// To whoever leads; others say where that is.
std::string request(const std::string& at, coordination::Request what,
                    std::chrono::milliseconds wait = kWait) {
  coordination::Packet now;
  std::string why = status(at, now);
  if (!why.empty()) return why;
  std::string to = now.status().leader_at().empty() ? at : now.status().leader_at();
  int elections = 0;
  for (int i = 0; i < kTries;) {
    Line line(to);
    coordination::Packet question, answer;
    question.set_fleet(now.fleet());
    question.set_from("operator");
    what.set_number(static_cast<std::uint64_t>(i + elections) + 1);
    *question.mutable_request() = what;
    if (!line.good() || !line.ask(question, answer, 1, wait)) {
      why = "no answer from " + to;
      ++i;
      continue;
    }
    if (answer.reply().done()) return "";
    why = answer.reply().why();
    if (answer.reply().leader_at().empty() && elections++ < kElectionTries) {
      std::this_thread::sleep_for(kElectionWait);
      continue;
    }
    if (answer.reply().leader_at().empty() || answer.reply().leader_at() == to) return why;
    to = answer.reply().leader_at();
    ++i;
  }
  return why;
}

const char* word(coordination::MemberStatus s) {
  static constexpr std::array<const char*, 4> kNames = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<std::size_t>(s)];
}

void print_jobs(const coordination::Status& s) {
  std::printf("%-28s %10s  %-20s %s\n", "JOB", "NUMBER", "OWNER", "");
  for (const coordination::Job& j : s.table().jobs()) {
    bool held = false;
    for (const coordination::HeldLease& h : s.held())
      held = held || (h.job() == j.name() && h.number() == j.number());
    std::printf("%-28s %10llu  %-20s %s\n", j.name().c_str(), static_cast<unsigned long long>(j.number()),
                j.owner().empty() ? "-" : j.owner().c_str(),
                held                  ? "held here, lease proved"
                : !j.wanted().empty() ? ("to go to " + j.wanted()).c_str()
                                      : "");
  }
}

void print_voters(const coordination::Status& s) {
  for (const coordination::Voter& v : s.voters())
    std::printf("voter %llu at %s%s%s\n", static_cast<unsigned long long>(v.id()), v.at().c_str(),
                v.votes() ? "" : " (being added)", v.at() == s.leader_at() ? " (leads)" : "");
}

int show(const FleetOptions& options, const std::function<void(const coordination::Status&)>& print) {
  coordination::Packet p;
  const std::string why = status(options.at, p);
  if (!why.empty()) return diagnose(why);
  if (options.json) {
    std::string text;
    google::protobuf::util::JsonPrintOptions how;
    how.add_whitespace = true;
    how.always_print_primitive_fields = true;
    if (!google::protobuf::util::MessageToJsonString(p.status(), &text, how).ok()) return diagnose("no JSON");
    std::fputs(text.c_str(), stdout);
    return 0;
  }
  print(p.status());
  return 0;
}

}  // namespace

int fleet_status(const FleetOptions& options) {
  return show(options, [](const coordination::Status& s) {
    std::printf("router %s%s%s, birth %llu, health %d%s\n", s.name().c_str(), s.site().empty() ? "" : " of ",
                s.site().c_str(), static_cast<unsigned long long>(s.birth()), s.health(),
                s.displaced() ? ", DISPLACED by a later process of this name" : "");
    if (!s.role().empty())
      std::printf("votes: %s, term %llu, applied %llu of %llu%s%s\n", s.role().c_str(),
                  static_cast<unsigned long long>(s.term()), static_cast<unsigned long long>(s.index()),
                  static_cast<unsigned long long>(s.last_index()), s.why_halted().empty() ? "" : ": ",
                  s.why_halted().c_str());
    std::printf("leader: %s\n",
                s.leader_at().empty() ? "none: the fleet's jobs rest" : s.leader_at().c_str());
    print_voters(s);
    print_jobs(s);
    std::printf("%-20s %-12s %-22s %-8s\n", "ROUTER", "SITE", "AT", "STANDING");
    for (const coordination::MemberState& w : s.routers())
      std::printf("%-20s %-12s %-22s %-8s\n", w.name().c_str(), w.site().c_str(), w.at().c_str(),
                  word(w.standing()));
  });
}

int shared_show(const FleetOptions& options) {
  return show(options, [](const coordination::Status& s) {
    const auto thousandths = [](std::int64_t n) { return static_cast<double>(n) / 1000.0; };
    const auto seconds = [](std::int64_t us) { return static_cast<double>(us) / 1e6; };
    std::printf("router %s%s%s%s\n", s.name().c_str(), s.site().empty() ? "" : " of ", s.site().c_str(),
                s.shared().bank() ? ", the bank" : "");
    std::printf("%-20s %10s %10s %10s %10s %10s %10s %10s %10s\n", "BUDGET", "HELD", "OWN", "SPENT",
                "REFUSED", "A SECOND", "EXPIRED", "LENT", "LAST PART");
    for (const auto& b : s.shared().budgets()) {
      std::printf("%-20s %10.1f %10.1f %10.1f %10.1f %10.1f %10.1f %10.1f ", b.name().c_str(),
                  thousandths(b.held()), thousandths(b.own()), thousandths(b.spent()),
                  thousandths(b.refused()), thousandths(b.demand()), thousandths(b.expired()),
                  thousandths(b.lent()));
      b.age_us() < 0 ? std::printf("%10s\n", "never") : std::printf("%9.1fs\n", seconds(b.age_us()));
    }
    std::printf("%-16s %-12s %-16s %10s %10s %10s %10s %12s %8s\n", "TEAM", "CLASS", "SITE", "SERVED",
                "AT MOST", "REFUSED", "FAILED", "TOKENS", "AGE");
    for (const auto& t : s.shared().totals())
      std::printf("%-16s %-12s %-16s %10llu %10llu %10llu %10llu %12llu %7.1fs\n", t.team().c_str(),
                  t.klass().c_str(), t.site().c_str(), static_cast<unsigned long long>(t.served()),
                  static_cast<unsigned long long>(t.most()), static_cast<unsigned long long>(t.refused()),
                  static_cast<unsigned long long>(t.failed()), static_cast<unsigned long long>(t.tokens()),
                  seconds(t.age_us()));
    if (s.shared().rows_dropped() > 0)
      std::printf("%llu rows had no room: the totals lack them\n",
                  static_cast<unsigned long long>(s.shared().rows_dropped()));
    std::printf("%-18s %5s %5s %5s %8s %s\n", "REPLICA", "BAD", "GOOD", "SITES", "AGE", "");
    for (const auto& h : s.shared().heard())
      std::printf("%016llx   %5u %5u %5u %7.1fs %s\n", static_cast<unsigned long long>(h.replica()), h.bad(),
                  h.good(), h.sites(), seconds(h.age_us()), h.avoided() ? "avoided" : "");
  });
}

int fleet_jobs(const FleetOptions& options) { return show(options, print_jobs); }

int fleet_voters(const FleetOptions& options) {
  coordination::Request r;
  if (!options.add.empty()) {
    const std::size_t mark = options.add.find('=');
    config::HostPort at;
    const std::uint64_t id = std::strtoull(options.add.c_str(), nullptr, 10);
    if (mark == std::string::npos || id == 0 || !config::parse_host_port(options.add.substr(mark + 1), at))
      return diagnose("--add: not of the form ID=ADDRESS:PORT");
    r.mutable_voter_change()->set_add(true);
    r.mutable_voter_change()->set_id(id);
    r.mutable_voter_change()->set_at(options.add.substr(mark + 1));
  } else if (options.remove != 0) {
    r.mutable_voter_change()->set_id(options.remove);
  } else {
    return show(options, print_voters);
  }
  const std::string why = request(options.at, r, kChange);
  return why.empty() ? 0 : diagnose(why);
}

int fleet_move(const FleetOptions& options) {
  coordination::Request r;
  r.mutable_command()->mutable_move()->set_job(options.job);
  r.mutable_command()->mutable_move()->set_to(options.router);
  const std::string why = request(options.at, r);
  return why.empty() ? 0 : diagnose(why);
}

int fleet_init(const FleetOptions& options) {
  deploy::OperatorFile file;
  std::string why = operator_file::load(options.file, file);
  if (!why.empty()) return diagnose(why);
  if (file.fleet().directory().empty()) return diagnose(options.file + ": fleet: directory: there is none");
  std::vector<coordination::Voter> voters;
  std::uint64_t id = 0;
  for (const auto& v : file.fleet().voters()) {
    if (v.router() == options.router) id = v.id();
    coordination::Voter& one = voters.emplace_back();
    one.set_id(v.id());
    one.set_at(v.at());
  }
  if (id == 0) return diagnose(options.file + ": fleet: " + options.router + " is none of the voters");
  if (options.join) voters.clear();
  const absl::Status created = coordination::FileRaftStorage::create(
      file.fleet().directory(), coordination::RaftNode::initial_state(file.fleet().name(), id, voters));
  if (!created.ok()) return diagnose(std::string(created.message()));
  std::printf("%s: voter %llu of %s\n", file.fleet().directory().c_str(), static_cast<unsigned long long>(id),
              file.fleet().name().c_str());
  return 0;
}

int fleet_audit(const std::vector<std::string>& logs) {
  coordination::Audit audit;
  for (const std::string& path : logs) {
    std::ifstream file(path, std::ios::binary);
    if (!file) return diagnose(path + ": cannot be read");
    const std::string text(std::istreambuf_iterator<char>(file), {});
    const std::size_t slash = path.rfind('/');
    audit.add_log(slash == std::string::npos ? path : path.substr(slash + 1), text);
  }
  std::printf("%-28s %10s  %-20s %14s %9s  %s\n", "JOB", "NUMBER", "LOG", "FROM (ms)", "FOR (s)", "UNTIL");
  for (const coordination::Audit::Ownership& o : audit.ownerships())
    std::printf("%-28s %10llu  %-20s %14lld %9.3f  %s\n", o.job.c_str(),
                static_cast<unsigned long long>(o.number), o.router.c_str(),
                static_cast<long long>(o.from_ms), static_cast<double>(o.to_ms - o.from_ms) / 1e3,
                o.end_reason.c_str());
  std::printf("effects refused: %llu, lines that are none: %llu\n",
              static_cast<unsigned long long>(audit.stale_effects()),
              static_cast<unsigned long long>(audit.unparsed_lines()));
  for (const std::string& violation : audit.violations()) std::printf("BROKEN: %s\n", violation.c_str());
  return audit.violations().empty() ? 0 : 1;
}

}  // namespace flintglade::commands
