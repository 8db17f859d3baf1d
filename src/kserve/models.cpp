#include "kserve/models.h"

#include <algorithm>
#include <tuple>

namespace flintglade::kserve {
namespace {

std::vector<Tensor> tensors(const google::protobuf::RepeatedPtrField<deploy::Tensor>& from) {
  std::vector<Tensor> out;
  for (const deploy::Tensor& t : from)
    out.push_back({t.name(), t.datatype(), {t.shape().begin(), t.shape().end()}});
  return out;
}

MappedField field(const deploy::Field& from) {
  return {{from.metadata().begin(), from.metadata().end()},
          {from.parameters().begin(), from.parameters().end()},
          {from.values().begin(), from.values().end()},
          from.otherwise()};
}

}  // namespace

const std::string& Model::highest_version() const {
  static const std::string kNone;
  // Numbers may have any length: by length, without leading zeros, then by digits. What is no number is
  // lower.
  const auto rank = [](const std::string& v) {
    const bool number = !v.empty() && v.find_first_not_of("0123456789") == std::string::npos;
    const std::string digits = v.substr(std::min(v.find_first_not_of('0'), v.size()));
    return std::tuple(number, number ? digits.size() : 0, number ? digits : v);
  };
  const auto it =
      std::max_element(versions.begin(), versions.end(),
                       [&](const std::string& a, const std::string& b) { return rank(a) < rank(b); });
  return it == versions.end() ? kNone : *it;
}

const Model* ServerSettings::find(std::string_view name, std::string_view version) const {
  const auto it = std::find_if(models.begin(), models.end(), [&](const Model& m) { return m.name == name; });
  if (it == models.end()) return nullptr;
  const bool known = version.empty() || it->versions.empty() ||
                     std::find(it->versions.begin(), it->versions.end(), version) != it->versions.end();
  return known ? &*it : nullptr;
}

ServerSettings front_settings(const deploy::KServe& file) {
  ServerSettings out;
  config::parse_host_port(file.listen(), out.listen);
  out.replica_port = static_cast<std::uint16_t>(file.replica_port());
  for (const deploy::Model& m : file.models()) {
    out.models.push_back({m.name(),
                          m.platform(),
                          {m.versions().begin(), m.versions().end()},
                          tensors(m.inputs()),
                          tensors(m.outputs()),
                          m.class_(),
                          m.tenant(),
                          m.decoupled()});
  }
  const deploy::Mapping& m = file.mapping();
  out.mapping = {field(m.class_()),        field(m.tenant()),        field(m.session()),
                 field(m.prefix()),        field(m.prompt_tokens()), field(m.prefix_tokens()),
                 field(m.output_tokens()), field(m.timeout_us())};
  out.reflection = file.reflection();
  out.check_tensors = file.check_tensors();
  out.pass_metadata = file.pass_metadata();
  out.errors_in_band = file.errors_in_band();
  const deploy::Limits& l = file.limits();
  if (l.has_streams()) out.limits.streams = l.streams();
  if (l.has_streams_per_connection()) out.limits.streams_per_connection = l.streams_per_connection();
  if (l.has_transport_mb()) out.limits.transport_mb = l.transport_mb();
  if (l.has_first_request_s()) out.limits.first_request_s = l.first_request_s();
  if (l.has_connection_age_s()) out.limits.connection_age_s = l.connection_age_s();
  if (l.has_least_ping_s()) out.limits.least_ping_s = l.least_ping_s();
  if (l.has_connections()) out.limits.connections = l.connections();
  if (l.has_connection_idle_s()) out.limits.connection_idle_s = l.connection_idle_s();
  if (l.has_replica_ping_s()) out.limits.replica_ping_s = l.replica_ping_s();
  if (file.has_stream_requests()) out.stream_requests = file.stream_requests();
  const deploy::ReplicaMetadata& said = file.replica_metadata();
  out.replica_metadata.on = file.has_replica_metadata();
  if (said.has_entries()) out.replica_metadata.entries = said.entries();
  if (said.has_ttl_s()) out.replica_metadata.ttl_s = said.ttl_s();
  if (said.has_stale_s()) out.replica_metadata.stale_s = said.stale_s();
  out.fill_version = file.fill_version();
  out.gzip = file.gzip();
  out.tls = file.has_tls();
  out.bound_only = file.tls().bound_only();
  for (const deploy::Bound& b : file.tls().bound()) out.bound.push_back({b.san(), b.tenant(), b.class_()});
  return out;
}

tls::Files front_files(const deploy::KServe& file) {
  return {file.tls().certificate(), file.tls().key(), file.tls().client_ca()};
}
tls::Files replica_files(const deploy::KServe& file) {
  const deploy::ReplicaTls& r = file.replica_tls();
  return {r.certificate(), r.key(), r.ca()};
}

}  // namespace flintglade::kserve
