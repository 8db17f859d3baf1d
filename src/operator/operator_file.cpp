#include "operator/operator_file.h"

#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/text_format.h>

#include <cmath>
#include <fstream>
#include <iterator>
#include <set>
#include <vector>

#include "config/config.h"

namespace flintglade::operator_file {
namespace {

namespace pb = google::protobuf;

std::string format_number(double value) {
  const std::string out = std::to_string(value);
  const std::size_t end = out.find_last_not_of('0');
  return out.substr(0, end + 1 - (end == out.find('.')));
}
using ParseTree = pb::TextFormat::ParseInfoTree;

constexpr std::size_t kMaxFileBytes = 4u << 20;
constexpr std::size_t kMaxSources = 64, kMaxServers = 16;

// Keeps the first error only: later ones are usually its consequences.
class FirstError final : public pb::io::ErrorCollector {
 public:
  void AddError(int line, int column, const std::string& text) override {
    if (message.empty()) {
      position = std::to_string(line + 1) + ":" + std::to_string(column + 1);
      message = text;
    }
  }
  std::string position, message;
};

// The path of the field in which parsing failed. The parser records a field's location only at the end of the
// field, so an unfinished one has a subtree but no location.
std::string path_of_unfinished_field(const pb::Descriptor* type, const ParseTree& tree) {
  for (int index = 0; index < type->field_count(); ++index) {
    const pb::FieldDescriptor* field = type->field(index);
    if (field->message_type() == nullptr) continue;
    const auto nested = [&](int i) { return tree.GetTreeForNested(field, field->is_repeated() ? i : -1); };
    for (int i = 0; nested(i) != nullptr; ++i) {
      if (tree.GetLocation(field, field->is_repeated() ? i : -1).line < 0) {
        std::string path = field->name() + (field->is_repeated() ? "[" + std::to_string(i) + "]" : "");
        const std::string inner = path_of_unfinished_field(field->message_type(), *nested(i));
        return inner.empty() ? path : path + "." + inner;
      }
      if (!field->is_repeated()) break;
    }
  }
  return "";
}

// A field of the file: its path, and its position as recorded by the parser. Error messages have both.
class Location {
 public:
  Location(std::string file, const pb::Descriptor* type, const ParseTree* tree)
      : file_(std::move(file)), type_(type), tree_(tree) {}
  Location field(const char* name, int index = -1) const {
    const pb::FieldDescriptor* field = type_->FindFieldByName(name);
    Location out = *this;
    out.path_ =
        path_ + (path_.empty() ? "" : ".") + name + (index < 0 ? "" : "[" + std::to_string(index) + "]");
    if (tree_ != nullptr) {
      const auto location = tree_->GetLocation(field, index);
      if (location.line >= 0) {
        out.line_ = location.line;
        out.column_ = location.column;
      }
    }
    if (field->message_type() != nullptr) {
      out.type_ = field->message_type();
      out.tree_ = tree_ == nullptr ? nullptr : tree_->GetTreeForNested(field, index);
    }
    return out;
  }
  std::string error(const std::string& what) const {
    return file_ + ":" + std::to_string(line_ + 1) + ":" + std::to_string(column_ + 1) + ": " +
           (path_.empty() ? "" : path_ + ": ") + what;
  }

 private:
  std::string file_, path_;
  const pb::Descriptor* type_;
  const ParseTree* tree_;
  int line_ = 0, column_ = 0;
};

// Checks that each of these fields, if set, is within its bounds. A value outside is most likely a mistake.
std::string check_ranges(const pb::Message& message, const Location& at,
                         std::initializer_list<std::tuple<const char*, double, double>> bounds) {
  const pb::Reflection* reflection = message.GetReflection();
  for (const auto& [name, min, max] : bounds) {
    const pb::FieldDescriptor* field = message.GetDescriptor()->FindFieldByName(name);
    if (!reflection->HasField(message, field)) continue;
    const double value = field->cpp_type() == pb::FieldDescriptor::CPPTYPE_DOUBLE
                             ? reflection->GetDouble(message, field)
                             : reflection->GetUInt32(message, field);
    if (!(value >= min && value <= max))
      return at.field(name).error("not from " + format_number(min) + " to " + format_number(max) + ": " +
                                  format_number(value));
  }
  return "";
}

bool is_host_port(const std::string& text) {
  config::HostPort parsed;
  return config::parse_host_port(text, parsed);
}

std::string check_tensors(const Location& model, const char* field,
                          const pb::RepeatedPtrField<deploy::Tensor>& tensors) {
  for (int i = 0; i < tensors.size(); ++i) {
    const Location at = model.field(field, i);
    if (tensors[i].name().empty()) return at.error("a tensor needs a name");
    if (tensors[i].datatype().empty()) return at.error("a tensor needs a datatype");
    if (tensors[i].shape().empty()) return at.error("a tensor needs a shape");
  }
  return "";
}

std::string check(const deploy::Tls& tls, const Location& at) {
  if (tls.certificate().empty()) return at.error("certificate: not set");
  if (tls.key().empty()) return at.error("key: not set");
  if (tls.client_ca().empty() && (tls.bound_size() > 0 || tls.bound_only()))
    return at.error("client_ca: not set, but bound and bound_only need client certificates");
  for (int i = 0; i < tls.bound_size(); ++i) {
    const Location here = at.field("bound", i);
    if (tls.bound(i).san().empty()) return here.error("san: not set");
    if (tls.bound(i).tenant().empty()) return here.error("tenant: not set");
    if (tls.bound(i).san().find('*') < tls.bound(i).san().size() - 1)
      return here.field("san").error("'*' stands at the end or not at all");
  }
  return check_ranges(tls, at, {{"look_every_s", 0, 86400}});
}

std::string check(const deploy::ReplicaTls& tls, const Location& at) {
  if (tls.ca().empty()) return at.error("ca: there is none, so replicas could not be authenticated");
  if (tls.certificate().empty() != tls.key().empty())
    return at.error("certificate and key: only one of them is set");
  return check_ranges(tls, at, {{"look_every_s", 0, 86400}});
}

std::string check(const deploy::KServe& kserve, const Location& at) {
  if (!is_host_port(kserve.listen())) return at.field("listen").error("not of the form ADDRESS:PORT");
  if (kserve.replica_port() > 65535)
    return at.field("replica_port").error("not a port number: " + std::to_string(kserve.replica_port()));
  std::string error = check_ranges(kserve, at, {{"stream_requests", 1, 1024}});
  if (error.empty())
    error = check_ranges(kserve.limits(), at.field("limits"),
                         {{"streams", 1, 65536},
                          {"streams_per_connection", 1, 65536},
                          {"transport_mb", 1, 4096},
                          {"first_request_s", 0.05, 3600},
                          {"connection_age_s", 0, 604800},
                          {"least_ping_s", 0.01, 3600},
                          {"replica_ping_s", 0, 3600},
                          {"connections", 1, 4096},
                          {"connection_idle_s", 0, 604800}});
  if (error.empty())
    error = check_ranges(kserve.replica_metadata(), at.field("replica_metadata"),
                         {{"entries", 1, 4096}, {"ttl_s", 0, 86400}, {"stale_s", 0, 604800}});
  if (error.empty() && kserve.has_tls()) error = check(kserve.tls(), at.field("tls"));
  if (error.empty() && kserve.has_replica_tls()) error = check(kserve.replica_tls(), at.field("replica_tls"));
  if (!error.empty()) return error;
  if (kserve.models().empty()) return at.error("models: there is none");
  std::set<std::string> names;
  for (int i = 0; i < kserve.models_size(); ++i) {
    const deploy::Model& model = kserve.models(i);
    const Location here = at.field("models", i);
    if (model.name().empty()) return here.error("a model needs a name");
    if (!names.insert(model.name()).second)
      return here.field("name").error("duplicate model name: " + model.name());
    error = check_tensors(here, "inputs", model.inputs());
    if (error.empty()) error = check_tensors(here, "outputs", model.outputs());
    if (!error.empty()) return error;
  }
  return "";
}

// What is wrong with an SRV name; empty: it is valid. RFC 1035, section 3.1: labels of 1 to 63 octets, 253 in
// all. RFC 2782: _service._proto before the domain.
std::string srv_name_error(const std::string& name) {
  if (name.empty()) return "is not set";
  if (name.size() > 253) return "is longer than 253 characters";
  std::vector<std::string> labels(1);
  for (const char c : name) {
    if (c == '.') {
      labels.emplace_back();
    } else if (c <= ' ' || c >= 127 || c == '\\') {
      return "has a character that is not allowed in a domain name";
    } else {
      labels.back() += c;
    }
  }
  if (labels.back().empty()) labels.pop_back();  // a trailing dot: the name is absolute
  for (const std::string& label : labels) {
    if (label.empty() || label.size() > 63) return "has a label of 0 or more than 63 characters";
  }
  if (labels.size() < 3 || labels[0][0] != '_' || labels[1][0] != '_')
    return "is not of the form _service._proto.domain";
  return "";
}

std::string check(const deploy::Membership& membership, const Location& at) {
  if (membership.sources().empty()) return at.error("sources: at least one is needed");
  if (membership.sources_size() > static_cast<int>(kMaxSources))
    return at.field("sources", kMaxSources).error("more than " + std::to_string(kMaxSources) + " sources");
  std::set<std::string> names, srv_names;
  int list_sources = 0;
  for (int i = 0; i < membership.sources_size(); ++i) {
    const deploy::Source& source = membership.sources(i);
    const Location here = at.field("sources", i);
    if (source.name().empty()) return here.error("a source needs a name");
    if (!names.insert(source.name()).second)
      return here.field("name").error("duplicate source name: " + source.name());
    if (source.has_list()) {
      if (++list_sources > 1)
        return here.field("list").error("the platform's list stands before: only one source may be the list");
    } else if (source.has_dns_srv()) {
      const std::string problem = srv_name_error(source.dns_srv().name());
      if (!problem.empty()) return here.field("dns_srv").field("name").error(problem);
      if (!srv_names.insert(source.dns_srv().name()).second)
        return here.field("dns_srv").field("name").error("another source has the same SRV name");
    } else {
      return here.error("a source needs either list or dns_srv");
    }
  }
  const deploy::Resolver& settings = membership.resolver();
  const Location resolver = at.field("resolver");
  if (!srv_names.empty() && settings.servers().empty())
    return resolver.error("servers: a dns_srv source needs at least one");
  if (settings.servers_size() > static_cast<int>(kMaxServers))
    return resolver.field("servers", kMaxServers)
        .error("more than " + std::to_string(kMaxServers) + " servers");
  for (int i = 0; i < settings.servers_size(); ++i) {
    if (!is_host_port(settings.servers(i)))
      return resolver.field("servers", i).error("not of the form ADDRESS:PORT");
  }
  std::string error = check_ranges(settings, resolver,
                                   {{"timeout_s", 0.01, 30},
                                    {"tries", 1, 16},
                                    {"outstanding", 1, 256},
                                    {"message_bytes", 512, 65535},
                                    {"records", 1, 20000},
                                    {"cname_chain", 0, 32},
                                    {"least_ttl_s", 0.05, 3600},
                                    {"most_ttl_s", 0.05, 604800},
                                    {"negative_ttl_s", 0.05, 10800},
                                    {"stale_s", 0, 604800},
                                    {"cache_entries", 16, 200000}});
  if (error.empty())
    error = check_ranges(membership.rule(), at.field("rule"),
                         {{"guard_part", 0.01, 1},
                          {"guard_s", 0, 3600},
                          {"return_s", 0, 3600},
                          {"source_stale_s", 1, 604800},
                          {"spill_below", 0.01, 1},
                          {"spill_end", 0.01, 1},
                          {"spill_hold_s", 0, 3600}});
  if (error.empty()) error = check_ranges(membership, at, {{"slots", 64, 65536}});
  if (error.empty() && settings.has_least_ttl_s() && settings.has_most_ttl_s() &&
      settings.least_ttl_s() > settings.most_ttl_s())
    error = resolver.field("least_ttl_s").error("more than most_ttl_s");
  const deploy::Rule& rule = membership.rule();
  if (error.empty() &&
      (rule.has_spill_below() ? rule.spill_below() : 0.7) > (rule.has_spill_end() ? rule.spill_end() : 0.85))
    error = at.field("rule").error("spill_below is more than spill_end");
  return error;
}

// Rejects budgets that cannot be divided into leases, or whose reservation per router is less than one
// request.
std::string check(const deploy::Shared& shared, const deploy::Fleet& fleet, const Location& at) {
  if (shared.routers() < 1 || shared.routers() > 65536)
    return at.field("routers").error("not from 1 to 65536: " + std::to_string(shared.routers()));
  std::string error =
      check_ranges(shared, at, {{"part_s", 0.2, 60}, {"most_per_s", 1, 1e7}, {"most_delay_s", 0.001, 60}});
  if (error.empty() && shared.has_hearsay())
    error = check_ranges(shared.hearsay(), at.field("hearsay"),
                         {{"witnesses", 2, 1024}, {"keep_s", 0.5, 60}, {"most_part", 0, 0.9}});
  if (!error.empty()) return error;
  if (shared.budgets_size() > 0 && fleet.voters().empty())
    return at.field("budgets", 0)
        .error("without voters nobody hands out the parts: budgets need fleet.voters");
  if (shared.budgets_size() > 256) return at.field("budgets", 256).error("more than 256 budgets");
  std::set<std::string> names;
  for (int i = 0; i < shared.budgets_size(); ++i) {
    const deploy::Budget& budget = shared.budgets(i);
    const Location here = at.field("budgets", i);
    if (budget.name().empty() || budget.name().size() > 64)
      return here.error("name: not from 1 to 64 characters");
    if (budget.team().empty()) return here.error("team: not set");
    if (!names.insert(budget.name()).second)
      return here.field("name").error("duplicate budget name: " + budget.name());
    const bool quota = budget.has_per_s(), stock = budget.has_whole();
    if (quota == stock) return here.error("either per_s and burst, or whole and window_s");
    error = quota ? check_ranges(budget, here, {{"per_s", 0.001, 1e9}, {"burst", 1, 1e9}, {"aside", 0, 0.9}})
                  : check_ranges(budget, here,
                                 {{"whole", 1, 1e12}, {"window_s", 1, 31 * 86400.0}, {"aside", 0, 0.9}});
    if (!error.empty()) return error;
    if (quota && !budget.has_burst()) return here.error("burst: there is none");
    if (stock && !budget.has_window_s()) return here.error("window_s: there is none");
    const double reserved_share = budget.has_aside() ? budget.aside() : 0.1;
    const double reserved_per_router =
        reserved_share * (quota ? budget.burst() : budget.whole() / 2) / shared.routers();
    if (reserved_share > 0 && reserved_per_router < 1)
      return here.error("put aside for " + std::to_string(shared.routers()) +
                        " routers, each would have less than one: a larger " + (quota ? "burst" : "whole") +
                        ", or aside: 0");
    if (quota && (1 - reserved_share) * budget.burst() < 2)
      return here.error(
          "burst: the bank would have less than two after reservations: a larger burst, or a smaller aside");
  }
  return "";
}

std::string check(const deploy::Fleet& fleet, const Location& at) {
  if (fleet.name().empty()) return at.error("name: not set");
  if (!is_host_port(fleet.listen())) return at.field("listen").error("not of the form ADDRESS:PORT");
  if (!fleet.advertise().empty() && !is_host_port(fleet.advertise()))
    return at.field("advertise").error("not of the form ADDRESS:PORT");
  for (const auto& [field, text] : {std::pair{"name", fleet.name()}, std::pair{"site", fleet.site()}}) {
    if (text.size() > 64)
      return at.field(field).error("has " + std::to_string(text.size()) + " characters, more than 64");
  }
  for (int i = 0; i < fleet.seeds_size(); ++i) {
    if (!is_host_port(fleet.seeds(i))) return at.field("seeds", i).error("not of the form ADDRESS:PORT");
  }
  if (fleet.voters_size() % 2 == 0 && fleet.voters_size() > 0)
    return at.field("voters", fleet.voters_size() - 1)
        .error(std::to_string(fleet.voters_size()) +
               " voters: an even number tolerates no more failures than one voter fewer");
  if (fleet.voters_size() > 5) return at.field("voters", 5).error("more than 5 voters");
  std::set<std::string> routers, addresses;
  std::set<std::uint64_t> ids;
  for (int i = 0; i < fleet.voters_size(); ++i) {
    const deploy::FleetVoter& voter = fleet.voters(i);
    const Location here = at.field("voters", i);
    if (voter.router().empty()) return here.error("router: not set");
    if (voter.id() == 0) return here.error("id: not set, or 0");
    if (!is_host_port(voter.at())) return here.field("at").error("not of the form ADDRESS:PORT");
    if (!routers.insert(voter.router()).second)
      return here.field("router").error("another voter has the same router: " + voter.router());
    if (!ids.insert(voter.id()).second)
      return here.field("id").error("another voter has the same id: " + std::to_string(voter.id()));
    if (!addresses.insert(voter.at()).second)
      return here.field("at").error("another voter has the same address: " + voter.at());
  }
  std::set<std::string> sites;
  for (int i = 0; i < fleet.list_readers_size(); ++i) {
    if (fleet.list_readers(i).empty()) return at.field("list_readers", i).error("a site needs a name");
    if (!sites.insert(fleet.list_readers(i)).second)
      return at.field("list_readers", i).error("duplicate site: " + fleet.list_readers(i));
  }
  if (!sites.empty() && fleet.voters().empty())
    return at.error("list_readers: needs voters, which grant the leases on jobs");
  std::string error = check_ranges(fleet, at,
                                   {{"period_s", 0.02, 60},
                                    {"probe_timeout_s", 0.005, 30},
                                    {"lease_s", 0.2, 60},
                                    {"election_s", 0.1, 60},
                                    {"list_silence_s", 0.2, 600},
                                    {"most_routers", 2, 65536}});
  if (error.empty() && fleet.has_shared()) error = check(fleet.shared(), fleet, at.field("shared"));
  const double period = fleet.has_period_s() ? fleet.period_s() : 1.0,
               timeout = fleet.has_probe_timeout_s() ? fleet.probe_timeout_s() : 0.2;
  if (error.empty() && timeout > period / 2)
    error = at.error("probe_timeout_s: more than half of period_s leaves no time for indirect probes");
  return error;
}

}  // namespace

std::string parse(const std::string& text, const std::string& name, deploy::OperatorFile& out) {
  if (text.size() > kMaxFileBytes) return name + ": larger than 4 MiB";
  ParseTree tree;
  FirstError first_error;
  pb::TextFormat::Parser parser;
  parser.RecordErrorsTo(&first_error);
  parser.WriteLocationsTo(&tree);
  if (!parser.ParseFromString(text, &out)) {
    const std::string path = path_of_unfinished_field(deploy::OperatorFile::descriptor(), tree);
    return name + ":" + first_error.position + ": " + (path.empty() ? "" : path + ": ") + first_error.message;
  }
  const Location root(name, deploy::OperatorFile::descriptor(), &tree);
  std::string error;
  if (out.has_kserve()) error = check(out.kserve(), root.field("kserve"));
  if (error.empty() && out.has_membership()) error = check(out.membership(), root.field("membership"));
  if (error.empty() && out.has_fleet()) error = check(out.fleet(), root.field("fleet"));
  if (error.empty() && out.has_membership() && !out.fleet().list_readers().empty())
    error = root.field("fleet")
                .field("list_readers", 0)
                .error("not allowed with membership: each router then reads the list itself");
  if (error.empty()) error = check_ranges(out.calls(), root.field("calls"), {{"cancel_hold_s", 0, 60}});
  return error;
}

std::string load(const std::string& path, deploy::OperatorFile& out) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return path + ": cannot be read";
  return parse(std::string(std::istreambuf_iterator<char>(file), {}), path, out);
}

std::string fixed_part(const deploy::OperatorFile& file) {
  deploy::OperatorFile fixed = file;
  fixed.clear_calls();
  if (fixed.has_kserve()) {
    fixed.mutable_kserve()->clear_models();
    fixed.mutable_kserve()->clear_mapping();
    fixed.mutable_kserve()->clear_check_tensors();
    fixed.mutable_kserve()->clear_pass_metadata();
    fixed.mutable_kserve()->clear_errors_in_band();
    fixed.mutable_kserve()->clear_fill_version();
    fixed.mutable_kserve()->clear_stream_requests();
    // Certificates are reloaded. Whether TLS is on, and whether clients need a certificate, is fixed at the
    // start.
    if (fixed.kserve().has_tls()) {
      deploy::Tls fixed_tls;
      if (!fixed.kserve().tls().client_ca().empty()) fixed_tls.set_client_ca("set");
      *fixed.mutable_kserve()->mutable_tls() = fixed_tls;
    }
    if (fixed.kserve().has_replica_tls()) {
      deploy::ReplicaTls fixed_tls;
      fixed_tls.set_server_name(fixed.kserve().replica_tls().server_name());
      *fixed.mutable_kserve()->mutable_replica_tls() = fixed_tls;
    }
  }
  if (fixed.has_membership()) {
    // Sources, resolver and rule are reloaded. Whether membership is set, and its slots, is fixed at the
    // start.
    fixed.mutable_membership()->clear_sources();
    fixed.mutable_membership()->clear_resolver();
    fixed.mutable_membership()->clear_rule();
  }
  return fixed.SerializeAsString() + (fixed.has_membership() ? "m" : "");
}

std::string describe(const deploy::OperatorFile& file) {
  std::string out;
  if (file.has_kserve()) {
    out += "kserve: listens on " + file.kserve().listen() + ", models:";
    for (const auto& model : file.kserve().models()) out += " " + model.name();
    out += "\n";
    const auto& tls = file.kserve().tls();
    if (file.kserve().has_tls())
      out += "kserve: TLS with certificate " + tls.certificate() +
             (tls.client_ca().empty() ? "" : ", clients authenticated by " + tls.client_ca()) + "\n";
    for (const auto& bound : tls.bound())
      out +=
          "kserve: clients with the certificate name " + bound.san() + " are tenant " + bound.tenant() + "\n";
    if (file.kserve().has_replica_tls())
      out += "kserve: TLS to replicas, authenticated by " + file.kserve().replica_tls().ca() + "\n";
  } else {
    out += "kserve: off\n";
  }
  if (file.has_fleet()) {
    const auto& fleet = file.fleet();
    out += "fleet: " + fleet.name() + " at " + fleet.listen() +
           (fleet.site().empty() ? "" : ", site " + fleet.site()) + ", seeds:";
    for (const std::string& seed : fleet.seeds()) out += " " + seed;
    out += "\n";
    for (const auto& voter : fleet.voters())
      out +=
          "fleet: voter " + std::to_string(voter.id()) + " is " + voter.router() + " at " + voter.at() + "\n";
    for (const std::string& site : fleet.list_readers())
      out += "fleet: one router of " + site + " reads the replica list for the whole site\n";
    for (const auto& budget : fleet.shared().budgets()) {
      const double reserved_share = budget.has_aside() ? budget.aside() : 0.1,
                   amount = budget.has_per_s() ? budget.per_s() : budget.whole();
      out += "fleet: " + budget.team() + " has " + format_number(amount) +
             (budget.unit() == deploy::Budget::TOKENS ? " tokens" : " requests") +
             (budget.has_per_s() ? " per second, " + format_number(budget.burst()) + " in a burst"
                                 : " in each " + format_number(budget.window_s()) + " s") +
             " for the whole fleet; " + format_number(amount * reserved_share / fleet.shared().routers()) +
             " of it reserved for each router; beyond the budget: " +
             (budget.beyond() == deploy::Budget::LAST ? "last" : "refused") + "\n";
    }
    if (fleet.shared().counts()) out += "fleet: request counts are shared\n";
    if (fleet.shared().has_hearsay()) out += "fleet: health of replicas is shared\n";
  }
  if (!file.has_membership()) return out + "membership: the platform's list alone\n";
  for (const auto& source : file.membership().sources()) {
    out += "membership: source " + source.name() + ": ";
    if (source.has_list()) {
      out += "the platform's list\n";
    } else {
      out += "SRV " + source.dns_srv().name() +
             (source.dns_srv().zone().empty() ? "" : ", zone " + source.dns_srv().zone()) +
             (source.dns_srv().zero_weight() == deploy::DnsSrv::DRAINING ? ", weight 0 drains" : "") + "\n";
    }
  }
  for (const auto& server : file.membership().resolver().servers())
    out += "membership: queries the DNS server " + server + "\n";
  return out;
}

}  // namespace flintglade::operator_file
