#include "kserve/models.h"

#include <algorithm>
#include <tuple>

namespace flintglade::kserve {
namespace {

std::vector<Tensor> tensors(const google::protobuf::RepeatedPtrField<deploy::Tensor>& from) {
  std::vector<Tensor> out;
  for (const deploy::Tensor& tensor : from)
    out.push_back({tensor.name(), tensor.datatype(), {tensor.shape().begin(), tensor.shape().end()}});
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
  static const std::string kNoVersion;
  // Numbers may have any length, so they are compared without leading zeros by length, then by digits. A
  // version that is not a number ranks below all numbers.
  const auto rank = [](const std::string& version) {
    const bool number = !version.empty() && version.find_first_not_of("0123456789") == std::string::npos;
    const std::string digits = version.substr(std::min(version.find_first_not_of('0'), version.size()));
    return std::tuple(number, number ? digits.size() : 0, number ? digits : version);
  };
  const auto it =
      std::max_element(versions.begin(), versions.end(),
                       [&](const std::string& a, const std::string& b) { return rank(a) < rank(b); });
  return it == versions.end() ? kNoVersion : *it;
}

const Model* ServerSettings::find(std::string_view name, std::string_view version) const {
  const auto it =
      std::find_if(models.begin(), models.end(), [&](const Model& model) { return model.name == name; });
  if (it == models.end()) return nullptr;
  const bool has_version = version.empty() || it->versions.empty() ||
                           std::find(it->versions.begin(), it->versions.end(), version) != it->versions.end();
  return has_version ? &*it : nullptr;
}

ServerSettings front_settings(const deploy::KServe& file) {
  ServerSettings out;
  config::parse_host_port(file.listen(), out.listen);
  out.replica_port = static_cast<std::uint16_t>(file.replica_port());
  for (const deploy::Model& model : file.models()) {
    out.models.push_back({model.name(),
                          model.platform(),
                          {model.versions().begin(), model.versions().end()},
                          tensors(model.inputs()),
                          tensors(model.outputs()),
                          model.class_(),
                          model.tenant(),
                          model.decoupled()});
  }
  const deploy::Mapping& mapping = file.mapping();
  out.mapping = {field(mapping.class_()),        field(mapping.tenant()),
                 field(mapping.session()),       field(mapping.prefix()),
                 field(mapping.prompt_tokens()), field(mapping.prefix_tokens()),
                 field(mapping.output_tokens()), field(mapping.timeout_us())};
  out.reflection = file.reflection();
  out.check_tensors = file.check_tensors();
  out.pass_metadata = file.pass_metadata();
  out.errors_in_band = file.errors_in_band();
  const deploy::Limits& limits = file.limits();
  if (limits.has_streams()) out.limits.streams = limits.streams();
  if (limits.has_streams_per_connection())
    out.limits.streams_per_connection = limits.streams_per_connection();
  if (limits.has_transport_mb()) out.limits.transport_mb = limits.transport_mb();
  if (limits.has_first_request_s()) out.limits.first_request_s = limits.first_request_s();
  if (limits.has_connection_age_s()) out.limits.connection_age_s = limits.connection_age_s();
  if (limits.has_least_ping_s()) out.limits.least_ping_s = limits.least_ping_s();
  if (limits.has_connections()) out.limits.connections = limits.connections();
  if (limits.has_connection_idle_s()) out.limits.connection_idle_s = limits.connection_idle_s();
  if (limits.has_replica_ping_s()) out.limits.replica_ping_s = limits.replica_ping_s();
  if (file.has_stream_requests()) out.stream_requests = file.stream_requests();
  const deploy::ReplicaMetadata& replica_metadata = file.replica_metadata();
  out.replica_metadata.on = file.has_replica_metadata();
  if (replica_metadata.has_entries()) out.replica_metadata.entries = replica_metadata.entries();
  if (replica_metadata.has_ttl_s()) out.replica_metadata.ttl_s = replica_metadata.ttl_s();
  if (replica_metadata.has_stale_s()) out.replica_metadata.stale_s = replica_metadata.stale_s();
  out.fill_version = file.fill_version();
  out.gzip = file.gzip();
  out.tls = file.has_tls();
  out.bound_only = file.tls().bound_only();
  for (const deploy::Bound& binding : file.tls().bound())
    out.bound.push_back({binding.san(), binding.tenant(), binding.class_()});
  return out;
}

tls::Files front_tls_files(const deploy::KServe& file) {
  return {file.tls().certificate(), file.tls().key(), file.tls().client_ca()};
}
tls::Files replica_tls_files(const deploy::KServe& file) {
  const deploy::ReplicaTls& replica_tls = file.replica_tls();
  return {replica_tls.certificate(), replica_tls.key(), replica_tls.ca()};
}

}  // namespace flintglade::kserve
