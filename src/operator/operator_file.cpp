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

std::string number(double value) {
  const std::string out = std::to_string(value);
  const std::size_t end = out.find_last_not_of('0');
  return out.substr(0, end + 1 - (end == out.find('.')));
}
using Tree = pb::TextFormat::ParseInfoTree;

constexpr std::size_t kLargestFile = 4u << 20;
constexpr std::size_t kMostSources = 64, kMostServers = 16;

// Only the first thing that is wrong is told: the rest is most often its consequence.
class FirstError final : public pb::io::ErrorCollector {
 public:
  void AddError(int line, int column, const std::string& message) override {
    if (text.empty()) {
      at = std::to_string(line + 1) + ":" + std::to_string(column + 1);
      text = message;
    }
  }
  std::string at, text;
};

// The messages that were open where parsing ended: those whose inside is known but whose place is not yet,
// since the parser notes a field's place at its end.
std::string open_path(const pb::Descriptor* type, const Tree& tree) {
  for (int f = 0; f < type->field_count(); ++f) {
    const pb::FieldDescriptor* field = type->field(f);
    if (field->message_type() == nullptr) continue;
    const auto nested = [&](int i) { return tree.GetTreeForNested(field, field->is_repeated() ? i : -1); };
    for (int i = 0; nested(i) != nullptr; ++i) {
      if (tree.GetLocation(field, field->is_repeated() ? i : -1).line < 0) {
        std::string path = field->name() + (field->is_repeated() ? "[" + std::to_string(i) + "]" : "");
        const std::string inner = open_path(field->message_type(), *nested(i));
        return inner.empty() ? path : path + "." + inner;
      }
      if (!field->is_repeated()) break;
    }
  }
  return "";
}

// A walk down the file beside the places that the parser noted, so that a check can name both.
class Place {
 public:
  Place(std::string file, const pb::Descriptor* type, const Tree* tree)
      : file_(std::move(file)), type_(type), tree_(tree) {}
  Place in(const char* name, int index = -1) const {
    const pb::FieldDescriptor* field = type_->FindFieldByName(name);
    Place out = *this;
    out.path_ =
        path_ + (path_.empty() ? "" : ".") + name + (index < 0 ? "" : "[" + std::to_string(index) + "]");
    if (tree_ != nullptr) {
      const auto at = tree_->GetLocation(field, index);
      if (at.line >= 0) {
        out.line_ = at.line;
        out.column_ = at.column;
      }
    }
    if (field->message_type() != nullptr) {
      out.type_ = field->message_type();
      out.tree_ = tree_ == nullptr ? nullptr : tree_->GetTreeForNested(field, index);
    }
    return out;
  }
  std::string wrong(const std::string& what) const {
    return file_ + ":" + std::to_string(line_ + 1) + ":" + std::to_string(column_ + 1) + ": " +
           (path_.empty() ? "" : path_ + ": ") + what;
  }

 private:
  std::string file_, path_;
  const pb::Descriptor* type_;
  const Tree* tree_;
  int line_ = 0, column_ = 0;
};

// Each number has its bounds at its check; outside them a setting is more likely a slip than a wish.
std::string numbers(const pb::Message& message, const Place& place,
                    std::initializer_list<std::tuple<const char*, double, double>> bounds) {
  const pb::Reflection* reflection = message.GetReflection();
  for (const auto& [name, least, most] : bounds) {
    const pb::FieldDescriptor* field = message.GetDescriptor()->FindFieldByName(name);
    if (!reflection->HasField(message, field)) continue;
    const double value = field->cpp_type() == pb::FieldDescriptor::CPPTYPE_DOUBLE
                             ? reflection->GetDouble(message, field)
                             : reflection->GetUInt32(message, field);
    if (!(value >= least && value <= most))
      return place.in(name).wrong("not from " + number(least) + " to " + number(most));
  }
  return "";
}

bool is_host_port(const std::string& text) {
  config::HostPort at;
  return config::parse_host_port(text, at);
}

std::string check_tensors(const Place& model, const char* field,
                          const pb::RepeatedPtrField<deploy::Tensor>& tensors) {
  for (int i = 0; i < tensors.size(); ++i) {
    const Place at = model.in(field, i);
    if (tensors[i].name().empty()) return at.wrong("a tensor needs a name");
    if (tensors[i].datatype().empty()) return at.wrong("a tensor needs a datatype");
    if (tensors[i].shape().empty()) return at.wrong("a tensor needs a shape");
  }
  return "";
}

std::string check(const deploy::Tls& tls, const Place& at) {
  if (tls.certificate().empty()) return at.wrong("certificate: there is none");
  if (tls.key().empty()) return at.wrong("key: there is none");
  if (tls.client_ca().empty() && (tls.bound_size() > 0 || tls.bound_only()))
    return at.wrong("client_ca: tenants are bound to certificates, and none is asked for");
  for (int i = 0; i < tls.bound_size(); ++i) {
    const Place here = at.in("bound", i);
    if (tls.bound(i).san().empty()) return here.wrong("san: there is none");
    if (tls.bound(i).tenant().empty()) return here.wrong("tenant: there is none");
    if (tls.bound(i).san().find('*') < tls.bound(i).san().size() - 1)
      return here.in("san").wrong("'*' stands at the end or not at all");
  }
  return numbers(tls, at, {{"look_every_s", 0, 86400}});
}

std::string check(const deploy::ReplicaTls& tls, const Place& at) {
  if (tls.ca().empty()) return at.wrong("ca: there is none, and replicas could be anybody");
  if (tls.certificate().empty() != tls.key().empty())
    return at.wrong("certificate and key: there is one without the other");
  return numbers(tls, at, {{"look_every_s", 0, 86400}});
}

std::string check(const deploy::KServe& kserve, const Place& at) {
  if (!is_host_port(kserve.listen())) return at.in("listen").wrong("not of the form ADDRESS:PORT");
  if (kserve.replica_port() > 65535) return at.in("replica_port").wrong("not a port");
  std::string error = numbers(kserve, at, {{"stream_requests", 1, 1024}});
  if (error.empty())
    error = numbers(kserve.limits(), at.in("limits"),
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
    error = numbers(kserve.replica_metadata(), at.in("replica_metadata"),
                    {{"entries", 1, 4096}, {"ttl_s", 0, 86400}, {"stale_s", 0, 604800}});
  if (error.empty() && kserve.has_tls()) error = check(kserve.tls(), at.in("tls"));
  if (error.empty() && kserve.has_replica_tls()) error = check(kserve.replica_tls(), at.in("replica_tls"));
  if (!error.empty()) return error;
  if (kserve.models().empty()) return at.wrong("models: there is none");
  std::set<std::string> names;
  for (int i = 0; i < kserve.models_size(); ++i) {
    const deploy::Model& model = kserve.models(i);
    const Place here = at.in("models", i);
    if (model.name().empty()) return here.wrong("a model needs a name");
    if (!names.insert(model.name()).second)
      return here.in("name").wrong("a model of this name stands before");
    error = check_tensors(here, "inputs", model.inputs());
    if (error.empty()) error = check_tensors(here, "outputs", model.outputs());
    if (!error.empty()) return error;
  }
  return "";
}

// RFC 1035, 3.1: labels of 1 to 63 octets, 253 in all; RFC 2782: _service._proto before the domain.
std::string wrong_with_name(const std::string& name) {
  if (name.empty()) return "is missing";
  if (name.size() > 253) return "is longer than 253 characters";
  std::vector<std::string> labels(1);
  for (const char c : name) {
    if (c == '.') {
      labels.emplace_back();
    } else if (c <= ' ' || c >= 127 || c == '\\') {
      return "has a character that is not allowed";
    } else {
      labels.back() += c;
    }
  }
  if (labels.back().empty()) labels.pop_back();  // a dot at the end says: absolute
  for (const std::string& label : labels) {
    if (label.empty() || label.size() > 63) return "has a label of 0 or more than 63 characters";
  }
  if (labels.size() < 3 || labels[0][0] != '_' || labels[1][0] != '_')
    return "is not of the form _service._proto.domain";
  return "";
}

std::string check(const deploy::Membership& membership, const Place& at) {
  if (membership.sources().empty()) return at.wrong("sources: there is none");
  if (membership.sources_size() > static_cast<int>(kMostSources))
    return at.in("sources", kMostSources).wrong("more than " + std::to_string(kMostSources) + " sources");
  std::set<std::string> names, asked;
  int lists = 0;
  for (int i = 0; i < membership.sources_size(); ++i) {
    const deploy::Source& source = membership.sources(i);
    const Place here = at.in("sources", i);
    if (source.name().empty()) return here.wrong("a source needs a name");
    if (!names.insert(source.name()).second)
      return here.in("name").wrong("a source of this name stands before");
    if (source.has_list()) {
      if (++lists > 1) return here.in("list").wrong("the platform's list stands before");
    } else if (source.has_dns_srv()) {
      const std::string wrong = wrong_with_name(source.dns_srv().name());
      if (!wrong.empty()) return here.in("dns_srv").in("name").wrong(wrong);
      if (!asked.insert(source.dns_srv().name()).second)
        return here.in("dns_srv").in("name").wrong("another source asks for the same name");
    } else {
      return here.wrong("a source is either list or dns_srv");
    }
  }
  const deploy::Resolver& r = membership.resolver();
  const Place resolver = at.in("resolver");
  if (!asked.empty() && r.servers().empty())
    return resolver.wrong("servers: a dns_srv source needs at least one");
  if (r.servers_size() > static_cast<int>(kMostServers))
    return resolver.in("servers", kMostServers)
        .wrong("more than " + std::to_string(kMostServers) + " servers");
  for (int i = 0; i < r.servers_size(); ++i) {
    if (!is_host_port(r.servers(i))) return resolver.in("servers", i).wrong("not of the form ADDRESS:PORT");
  }
  std::string error = numbers(r, resolver,
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
    error = numbers(membership.rule(), at.in("rule"),
                    {{"guard_part", 0.01, 1},
                     {"guard_s", 0, 3600},
                     {"return_s", 0, 3600},
                     {"source_stale_s", 1, 604800},
                     {"spill_below", 0.01, 1},
                     {"spill_end", 0.01, 1},
                     {"spill_hold_s", 0, 3600}});
  if (error.empty()) error = numbers(membership, at, {{"slots", 64, 65536}});
  if (error.empty() && r.has_least_ttl_s() && r.has_most_ttl_s() && r.least_ttl_s() > r.most_ttl_s())
    error = resolver.in("least_ttl_s").wrong("more than most_ttl_s");
  const deploy::Rule& rule = membership.rule();
  if (error.empty() &&
      (rule.has_spill_below() ? rule.spill_below() : 0.7) > (rule.has_spill_end() ? rule.spill_end() : 0.85))
    error = at.in("rule").wrong("spill_below is more than spill_end");
  return error;
}

// Budgets whose parts can't sum, or of which a part would be no whole request.
std::string check(const deploy::Shared& shared, const deploy::Fleet& fleet, const Place& at) {
  if (shared.routers() < 1 || shared.routers() > 65536) return at.in("routers").wrong("from 1 to 65536");
  std::string error =
      numbers(shared, at, {{"part_s", 0.2, 60}, {"most_per_s", 1, 1e7}, {"most_delay_s", 0.001, 60}});
  if (error.empty() && shared.has_hearsay())
    error = numbers(shared.hearsay(), at.in("hearsay"),
                    {{"witnesses", 2, 1024}, {"keep_s", 0.5, 60}, {"most_part", 0, 0.9}});
  if (!error.empty()) return error;
  if (shared.budgets_size() > 0 && fleet.voters().empty())
    return at.in("budgets", 0).wrong("without voters nobody hands out the parts");
  if (shared.budgets_size() > 256) return at.in("budgets", 256).wrong("more than 256 budgets");
  std::set<std::string> names;
  for (int i = 0; i < shared.budgets_size(); ++i) {
    const deploy::Budget& b = shared.budgets(i);
    const Place here = at.in("budgets", i);
    if (b.name().empty() || b.name().size() > 64) return here.wrong("name: from 1 to 64 characters");
    if (b.team().empty()) return here.wrong("team: there is none");
    if (!names.insert(b.name()).second) return here.in("name").wrong("a budget of this name stands before");
    const bool quota = b.has_per_s(), stock = b.has_whole();
    if (quota == stock) return here.wrong("either per_s and burst, or whole and window_s");
    error = quota ? numbers(b, here, {{"per_s", 0.001, 1e9}, {"burst", 1, 1e9}, {"aside", 0, 0.9}})
                  : numbers(b, here, {{"whole", 1, 1e12}, {"window_s", 1, 31 * 86400.0}, {"aside", 0, 0.9}});
    if (!error.empty()) return error;
    if (quota && !b.has_burst()) return here.wrong("burst: there is none");
    if (stock && !b.has_window_s()) return here.wrong("window_s: there is none");
    const double aside = b.has_aside() ? b.aside() : 0.1;
    const double own = aside * (quota ? b.burst() : b.whole() / 2) / shared.routers();
    if (aside > 0 && own < 1)
      return here.wrong("put aside for " + std::to_string(shared.routers()) +
                        " routers, each would have less than one: a larger " + (quota ? "burst" : "whole") +
                        ", or aside: 0");
    if (quota && (1 - aside) * b.burst() < 2) return here.wrong("burst: the bank would have less than two");
  }
  return "";
}

std::string check(const deploy::Fleet& fleet, const Place& at) {
  if (fleet.name().empty()) return at.wrong("name: there is none");
  if (!is_host_port(fleet.listen())) return at.in("listen").wrong("not of the form ADDRESS:PORT");
  if (!fleet.advertise().empty() && !is_host_port(fleet.advertise()))
    return at.in("advertise").wrong("not of the form ADDRESS:PORT");
  for (const auto& [field, text] : {std::pair{"name", fleet.name()}, std::pair{"site", fleet.site()}}) {
    if (text.size() > 64) return at.in(field).wrong("longer than 64 characters");
  }
  for (int i = 0; i < fleet.seeds_size(); ++i) {
    if (!is_host_port(fleet.seeds(i))) return at.in("seeds", i).wrong("not of the form ADDRESS:PORT");
  }
  if (fleet.voters_size() % 2 == 0 && fleet.voters_size() > 0)
    return at.in("voters", fleet.voters_size() - 1)
        .wrong("an even number of voters stands no more failures than one fewer");
  if (fleet.voters_size() > 5) return at.in("voters", 5).wrong("more than 5 voters");
  std::set<std::string> routers, places;
  std::set<std::uint64_t> ids;
  for (int i = 0; i < fleet.voters_size(); ++i) {
    const deploy::FleetVoter& v = fleet.voters(i);
    const Place here = at.in("voters", i);
    if (v.router().empty()) return here.wrong("router: there is none");
    if (v.id() == 0) return here.wrong("id: from 1");
    if (!is_host_port(v.at())) return here.in("at").wrong("not of the form ADDRESS:PORT");
    if (!routers.insert(v.router()).second)
      return here.in("router").wrong("a voter of this router stands before");
    if (!ids.insert(v.id()).second) return here.in("id").wrong("a voter of this id stands before");
    if (!places.insert(v.at()).second) return here.in("at").wrong("a voter at this address stands before");
  }
  std::set<std::string> sites;
  for (int i = 0; i < fleet.list_readers_size(); ++i) {
    if (fleet.list_readers(i).empty()) return at.in("list_readers", i).wrong("a site needs a name");
    if (!sites.insert(fleet.list_readers(i)).second)
      return at.in("list_readers", i).wrong("this site stands before");
  }
  if (!sites.empty() && fleet.voters().empty())
    return at.wrong("list_readers: without voters no job has an owner");
  std::string error = numbers(fleet, at,
                              {{"period_s", 0.02, 60},
                               {"probe_timeout_s", 0.005, 30},
                               {"lease_s", 0.2, 60},
                               {"election_s", 0.1, 60},
                               {"list_silence_s", 0.2, 600},
                               {"most_routers", 2, 65536}});
  if (error.empty() && fleet.has_shared()) error = check(fleet.shared(), fleet, at.in("shared"));
  const double period = fleet.has_period_s() ? fleet.period_s() : 1.0,
               timeout = fleet.has_probe_timeout_s() ? fleet.probe_timeout_s() : 0.2;
  if (error.empty() && timeout > period / 2)
    error = at.wrong("probe_timeout_s: more than half of period_s leaves others no time to probe");
  return error;
}

}  // namespace

std::string parse(const std::string& text, const std::string& name, deploy::OperatorFile& out) {
  if (text.size() > kLargestFile) return name + ": larger than 4 MiB";
  Tree tree;
  FirstError first;
  pb::TextFormat::Parser parser;
  parser.RecordErrorsTo(&first);
  parser.WriteLocationsTo(&tree);
  if (!parser.ParseFromString(text, &out)) {
    const std::string path = open_path(deploy::OperatorFile::descriptor(), tree);
    return name + ":" + first.at + ": " + (path.empty() ? "" : path + ": ") + first.text;
  }
  const Place root(name, deploy::OperatorFile::descriptor(), &tree);
  std::string error;
  if (out.has_kserve()) error = check(out.kserve(), root.in("kserve"));
  if (error.empty() && out.has_membership()) error = check(out.membership(), root.in("membership"));
  if (error.empty() && out.has_fleet()) error = check(out.fleet(), root.in("fleet"));
  if (error.empty() && out.has_membership() && !out.fleet().list_readers().empty())
    error = root.in("fleet")
                .in("list_readers", 0)
                .wrong("with sources of one's own, each router reads the list itself");
  if (error.empty()) error = numbers(out.calls(), root.in("calls"), {{"cancel_hold_s", 0, 60}});
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
    // Certificates are read anew; whether there are any does not change, nor whether clients need one.
    if (fixed.kserve().has_tls()) {
      deploy::Tls kept;
      if (!fixed.kserve().tls().client_ca().empty()) kept.set_client_ca("set");
      *fixed.mutable_kserve()->mutable_tls() = kept;
    }
    if (fixed.kserve().has_replica_tls()) {
      deploy::ReplicaTls kept;
      kept.set_server_name(fixed.kserve().replica_tls().server_name());
      *fixed.mutable_kserve()->mutable_replica_tls() = kept;
    }
  }
  if (fixed.has_membership()) {
    // Sources, resolver and rule change live; whether there is a membership at all, and its slots, do not.
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
      out += "kserve: TLS with " + tls.certificate() +
             (tls.client_ca().empty() ? "" : ", clients by " + tls.client_ca()) + "\n";
    for (const auto& bound : tls.bound())
      out += "kserve: " + bound.san() + " is tenant " + bound.tenant() + "\n";
    if (file.kserve().has_replica_tls())
      out += "kserve: replicas by " + file.kserve().replica_tls().ca() + "\n";
  } else {
    out += "kserve: off\n";
  }
  if (file.has_fleet()) {
    const auto& fleet = file.fleet();
    out += "fleet: " + fleet.name() + " at " + fleet.listen() +
           (fleet.site().empty() ? "" : ", site " + fleet.site()) + ", seeds:";
    for (const std::string& seed : fleet.seeds()) out += " " + seed;
    out += "\n";
    for (const auto& v : fleet.voters())
      out += "fleet: voter " + std::to_string(v.id()) + " is " + v.router() + " at " + v.at() + "\n";
    for (const std::string& site : fleet.list_readers())
      out += "fleet: one router of " + site + " reads the list for all of it\n";
    for (const auto& b : fleet.shared().budgets()) {
      const double aside = b.has_aside() ? b.aside() : 0.1, all = b.has_per_s() ? b.per_s() : b.whole();
      out += "fleet: " + b.team() + " has " + number(all) +
             (b.unit() == deploy::Budget::TOKENS ? " tokens" : " requests") +
             (b.has_per_s() ? " a second, " + number(b.burst()) + " at once"
                            : " in each " + number(b.window_s()) + " s") +
             " over the whole fleet; " + number(all * aside / fleet.shared().routers()) +
             " of it at a router that hears nothing; beyond it: " +
             (b.beyond() == deploy::Budget::LAST ? "last" : "refused") + "\n";
    }
    if (fleet.shared().counts()) out += "fleet: counts are shared\n";
    if (fleet.shared().has_hearsay()) out += "fleet: what routers see of replicas is shared\n";
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
    out += "membership: asks the DNS server " + server + "\n";
  return out;
}

}  // namespace flintglade::operator_file
