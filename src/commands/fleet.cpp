// The fleet and shared commands: query a router over its fleet port (UDP) and print the response; create a
// voter's directory; audit logs.
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

constexpr int kMaxAttempts = 4;
constexpr std::chrono::milliseconds kResponseTimeout{700};
constexpr std::chrono::seconds kVoterChangeTimeout{10};  // an added voter first receives the log
// Retries while the fleet has no leader: an election takes a second or two, and a request that was refused
// because there is no leader was not executed, so it is safe to send it again.
constexpr int kMaxElectionWaits = 12;
constexpr std::chrono::milliseconds kElectionWaitTime{500};

// Sends a packet to a router over UDP and waits for the response; sends it again if none arrives. Ignores all
// other packets, such as those for a process that used this port before.
class PacketClient {
 public:
  explicit PacketClient(const std::string& at) : socket_(io_, udp::endpoint(udp::v4(), 0)) {
    config::HostPort to;
    boost::system::error_code ec;
    if (!config::parse_host_port(at, to)) return;
    to_ = {asio::ip::make_address(to.host, ec), static_cast<unsigned short>(to.port)};
    valid_ = !ec && to_.address().is_v4();
  }
  bool valid() const { return valid_; }
  // Returns false if no response arrived.
  bool exchange(const coordination::Packet& outgoing, coordination::Packet& response,
                int max_attempts = kMaxAttempts, std::chrono::milliseconds timeout = kResponseTimeout) {
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
      boost::system::error_code ec;
      socket_.send_to(asio::buffer(outgoing.SerializeAsString()), to_, 0, ec);
      response_received_ = false;
      receive(outgoing, response);
      io_.restart();
      io_.run_for(timeout);
      if (response_received_) return true;
      socket_.cancel(ec);
      io_.restart();
      io_.run();
    }
    return false;
  }

 private:
  static bool is_response(const coordination::Packet& outgoing, const coordination::Packet& packet) {
    if (outgoing.has_query()) return packet.has_status();
    return packet.has_reply() && packet.reply().number() == outgoing.request().number();
  }
  void receive(const coordination::Packet& outgoing, coordination::Packet& response) {
    socket_.async_receive(
        asio::buffer(receive_buffer_), [&](boost::system::error_code error, std::size_t size) {
          if (error == asio::error::operation_aborted) return;
          response_received_ = !error &&
                               response.ParseFromArray(receive_buffer_.data(), static_cast<int>(size)) &&
                               is_response(outgoing, response);
          if (!response_received_) receive(outgoing, response);
        });
  }

  bool response_received_ = false;
  asio::io_context io_;
  udp::socket socket_;
  udp::endpoint to_;
  bool valid_ = false;
  std::array<char, 65536> receive_buffer_{};
};

// Gets the status of the router at this address, and the name of its fleet. Returns an empty string or an
// error message of one line.
std::string fetch_status(const std::string& at, coordination::Packet& received) {
  PacketClient client(at);
  if (!client.valid()) return at + " is not of the form ADDRESS:PORT";
  coordination::Packet outgoing;
  outgoing.mutable_query();
  if (!client.exchange(outgoing, received))
    return "no answer from " + at + " (" + std::to_string(kMaxAttempts) + " attempts, " +
           std::to_string(kResponseTimeout.count()) + " ms each)";
  return "";
}

// Sends the request to the leader; the other routers respond with the leader's address. Returns an empty
// string or an error message of one line.
std::string send_request(const std::string& at, coordination::Request request,
                         std::chrono::milliseconds timeout = kResponseTimeout) {
  coordination::Packet status_packet;
  std::string error = fetch_status(at, status_packet);
  if (!error.empty()) return error;
  std::string to = status_packet.status().leader_at().empty() ? at : status_packet.status().leader_at();
  int election_waits = 0;
  for (int attempt = 0; attempt < kMaxAttempts;) {
    PacketClient client(to);
    coordination::Packet outgoing, response;
    outgoing.set_fleet(status_packet.fleet());
    outgoing.set_from("operator");
    request.set_number(static_cast<std::uint64_t>(attempt + election_waits) + 1);
    *outgoing.mutable_request() = request;
    if (!client.valid() || !client.exchange(outgoing, response, 1, timeout)) {
      error = "no answer from " + to + " within " + std::to_string(timeout.count()) + " ms";
      ++attempt;
      continue;
    }
    if (response.reply().done()) return "";
    error = response.reply().why();
    if (response.reply().leader_at().empty() && election_waits++ < kMaxElectionWaits) {
      std::this_thread::sleep_for(kElectionWaitTime);
      continue;
    }
    if (response.reply().leader_at().empty() || response.reply().leader_at() == to) return error;
    to = response.reply().leader_at();
    ++attempt;
  }
  return error;
}

const char* to_string(coordination::MemberStatus status) {
  static constexpr std::array<const char*, 4> kNames = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<std::size_t>(status)];
}

void print_jobs(const coordination::Status& status) {
  std::printf("%-28s %10s  %-20s %s\n", "JOB", "NUMBER", "OWNER", "");
  for (const coordination::Job& job : status.table().jobs()) {
    bool held = false;
    for (const coordination::HeldLease& lease : status.held())
      held = held || (lease.job() == job.name() && lease.number() == job.number());
    std::printf("%-28s %10llu  %-20s %s\n", job.name().c_str(), static_cast<unsigned long long>(job.number()),
                job.owner().empty() ? "-" : job.owner().c_str(),
                held                    ? "held here, lease proved"
                : !job.wanted().empty() ? ("to go to " + job.wanted()).c_str()
                                        : "");
  }
}

void print_voters(const coordination::Status& status) {
  for (const coordination::Voter& voter : status.voters())
    std::printf("voter %llu at %s%s%s\n", static_cast<unsigned long long>(voter.id()), voter.at().c_str(),
                voter.votes() ? "" : " (being added)", voter.at() == status.leader_at() ? " (leads)" : "");
}

void print_differing_voters(const coordination::Status& status) {
  for (const coordination::DifferingVoter& voter : status.differing_voters())
    std::printf("voter %llu has ANOTHER LEASE TABLE, seen after entry %llu\n",
                static_cast<unsigned long long>(voter.id()), static_cast<unsigned long long>(voter.index()));
}

int print_status(const FleetOptions& options, const std::function<void(const coordination::Status&)>& print) {
  coordination::Packet packet;
  const std::string error = fetch_status(options.at, packet);
  if (!error.empty()) return diagnose(error);
  if (options.json) {
    std::string text;
    google::protobuf::util::JsonPrintOptions json_options;
    json_options.add_whitespace = true;
    json_options.always_print_primitive_fields = true;
    if (!google::protobuf::util::MessageToJsonString(packet.status(), &text, json_options).ok())
      return diagnose("the status cannot be printed as JSON");
    std::fputs(text.c_str(), stdout);
    return 0;
  }
  print(packet.status());
  return 0;
}

}  // namespace

int fleet_status(const FleetOptions& options) {
  return print_status(options, [](const coordination::Status& status) {
    std::printf("router %s%s%s, birth %llu, health %d%s\n", status.name().c_str(),
                status.site().empty() ? "" : " of ", status.site().c_str(),
                static_cast<unsigned long long>(status.birth()), status.health(),
                status.displaced() ? ", DISPLACED by a later process of this name" : "");
    if (!status.role().empty())
      std::printf("votes: %s, term %llu, applied %llu of %llu%s%s\n", status.role().c_str(),
                  static_cast<unsigned long long>(status.term()),
                  static_cast<unsigned long long>(status.index()),
                  static_cast<unsigned long long>(status.last_index()),
                  status.why_halted().empty() ? "" : ": ", status.why_halted().c_str());
    std::printf("leader: %s\n",
                status.leader_at().empty() ? "none: the fleet's jobs rest" : status.leader_at().c_str());
    print_voters(status);
    print_differing_voters(status);
    print_jobs(status);
    std::printf("%-20s %-12s %-22s %-8s\n", "ROUTER", "SITE", "AT", "STANDING");
    for (const coordination::MemberState& router : status.routers())
      std::printf("%-20s %-12s %-22s %-8s\n", router.name().c_str(), router.site().c_str(),
                  router.at().c_str(), to_string(router.standing()));
  });
}

int shared_show(const FleetOptions& options) {
  return print_status(options, [](const coordination::Status& status) {
    const auto thousandths = [](std::int64_t value) { return static_cast<double>(value) / 1000.0; };
    const auto seconds = [](std::int64_t us) { return static_cast<double>(us) / 1e6; };
    std::printf("router %s%s%s%s\n", status.name().c_str(), status.site().empty() ? "" : " of ",
                status.site().c_str(), status.shared().bank() ? ", the bank" : "");
    std::printf("%-20s %10s %10s %10s %10s %10s %10s %10s %10s\n", "BUDGET", "HELD", "OWN", "SPENT",
                "REFUSED", "A SECOND", "EXPIRED", "LENT", "LAST PART");
    for (const auto& budget : status.shared().budgets()) {
      std::printf("%-20s %10.1f %10.1f %10.1f %10.1f %10.1f %10.1f %10.1f ", budget.name().c_str(),
                  thousandths(budget.held()), thousandths(budget.own()), thousandths(budget.spent()),
                  thousandths(budget.refused()), thousandths(budget.demand()), thousandths(budget.expired()),
                  thousandths(budget.lent()));
      budget.age_us() < 0 ? std::printf("%10s\n", "never")
                          : std::printf("%9.1fs\n", seconds(budget.age_us()));
    }
    std::printf("%-16s %-12s %-16s %10s %10s %10s %10s %12s %8s\n", "TEAM", "CLASS", "SITE", "SERVED",
                "AT MOST", "REFUSED", "FAILED", "TOKENS", "AGE");
    for (const auto& total : status.shared().totals())
      std::printf(
          "%-16s %-12s %-16s %10llu %10llu %10llu %10llu %12llu %7.1fs\n", total.team().c_str(),
          total.klass().c_str(), total.site().c_str(), static_cast<unsigned long long>(total.served()),
          static_cast<unsigned long long>(total.most()), static_cast<unsigned long long>(total.refused()),
          static_cast<unsigned long long>(total.failed()), static_cast<unsigned long long>(total.tokens()),
          seconds(total.age_us()));
    if (status.shared().rows_dropped() > 0)
      std::printf("%llu rows had no room: the totals lack them\n",
                  static_cast<unsigned long long>(status.shared().rows_dropped()));
    std::printf("%-18s %5s %5s %5s %8s %s\n", "REPLICA", "BAD", "GOOD", "SITES", "AGE", "");
    for (const auto& report : status.shared().heard())
      std::printf("%016llx   %5u %5u %5u %7.1fs %s\n", static_cast<unsigned long long>(report.replica()),
                  report.bad(), report.good(), report.sites(), seconds(report.age_us()),
                  report.avoided() ? "avoided" : "");
  });
}

int fleet_jobs(const FleetOptions& options) { return print_status(options, print_jobs); }

int fleet_voters(const FleetOptions& options) {
  coordination::Request request;
  if (!options.add.empty()) {
    const std::size_t equals = options.add.find('=');
    config::HostPort at;
    const std::uint64_t id = std::strtoull(options.add.c_str(), nullptr, 10);
    if (equals == std::string::npos || id == 0 ||
        !config::parse_host_port(options.add.substr(equals + 1), at))
      return diagnose("--add: not of the form ID=ADDRESS:PORT");
    request.mutable_voter_change()->set_add(true);
    request.mutable_voter_change()->set_id(id);
    request.mutable_voter_change()->set_at(options.add.substr(equals + 1));
  } else if (options.remove != 0) {
    request.mutable_voter_change()->set_id(options.remove);
  } else {
    return print_status(options, print_voters);
  }
  const std::string error = send_request(options.at, request, kVoterChangeTimeout);
  return error.empty() ? 0 : diagnose(error);
}

int fleet_move(const FleetOptions& options) {
  coordination::Request request;
  request.mutable_command()->mutable_move()->set_job(options.job);
  request.mutable_command()->mutable_move()->set_to(options.router);
  const std::string error = send_request(options.at, request);
  return error.empty() ? 0 : diagnose(error);
}

int fleet_init(const FleetOptions& options) {
  deploy::OperatorFile file;
  std::string error = operator_file::load(options.file, file);
  if (!error.empty()) return diagnose(error);
  if (file.fleet().directory().empty()) return diagnose(options.file + ": fleet.directory is not set");
  std::vector<coordination::Voter> voters;
  std::uint64_t id = 0;
  for (const auto& voter : file.fleet().voters()) {
    if (voter.router() == options.router) id = voter.id();
    coordination::Voter& initial_voter = voters.emplace_back();
    initial_voter.set_id(voter.id());
    initial_voter.set_at(voter.at());
  }
  if (id == 0) return diagnose(options.file + ": fleet.voters has no entry for router " + options.router);
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
  for (const coordination::Audit::Ownership& ownership : audit.ownerships())
    std::printf("%-28s %10llu  %-20s %14lld %9.3f  %s\n", ownership.job.c_str(),
                static_cast<unsigned long long>(ownership.number), ownership.router.c_str(),
                static_cast<long long>(ownership.from_ms),
                static_cast<double>(ownership.to_ms - ownership.from_ms) / 1e3, ownership.end_reason.c_str());
  std::printf("effects refused: %llu, lines that are none: %llu\n",
              static_cast<unsigned long long>(audit.stale_effects()),
              static_cast<unsigned long long>(audit.unparsed_lines()));
  for (const std::string& violation : audit.violations()) std::printf("BROKEN: %s\n", violation.c_str());
  return audit.violations().empty() ? 0 : 1;
}

}  // namespace flintglade::commands
