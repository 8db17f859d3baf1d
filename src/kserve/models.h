// Settings of the KServe front end from the operator file: the listen address, the models that it serves, the
// label mapping and the limits. Fields with the name of a setting are described in proto/operator.proto.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "operator.pb.h"
#include "tls/material.h"

namespace flintglade::kserve {

struct Tensor {
  std::string name, datatype;
  std::vector<std::int64_t> shape;
};
struct Model {
  std::string name, platform;
  std::vector<std::string> versions;
  std::vector<Tensor> inputs, outputs;
  std::string request_class, tenant;           // of requests that state none
  bool decoupled = false;                      // a response may consist of no message at all
  const std::string& highest_version() const;  // compared as numbers; empty if none is listed
};
struct MappedField {
  std::vector<std::string> metadata, parameters;
  std::map<std::string, std::string> values;
  std::string otherwise;
};
struct Mapping {
  MappedField request_class, tenant, session, prefix, prompt_tokens, prefix_tokens, output_tokens, timeout_us;
};
struct Limits {
  std::size_t streams = 2048, streams_per_connection = 256, transport_mb = 32, connections = 64;
  double first_request_s = 5.0, connection_age_s = 0.0, least_ping_s = 5.0, replica_ping_s = 0.0,
         connection_idle_s = 0.0;
};
struct DescriptionLimits {
  bool on = false;
  std::size_t entries = 64;
  double ttl_s = 60.0, stale_s = 3600.0;
};
// A client certificate with this subject alternative name may act for this tenant.
struct CertificateBinding {
  std::string san, tenant, request_class;
};
struct ServerSettings {
  config::HostPort listen;
  // The gRPC port of the replicas, at the host that discovery gives; 0: the port that discovery gives.
  std::uint16_t replica_port = 0;
  std::vector<Model> models;
  Mapping mapping;
  bool reflection = false, check_tensors = false, pass_metadata = false, errors_in_band = false;
  std::size_t stream_requests = 16;
  Limits limits;
  DescriptionLimits replica_metadata;
  bool fill_version = false, gzip = false;
  bool tls = false, bound_only = false;
  std::vector<CertificateBinding> bound;

  const Model* find(std::string_view name, std::string_view version) const;
};

// The file must have been validated by operator_file::parse.
tls::Files front_tls_files(const deploy::KServe& file);
tls::Files replica_tls_files(const deploy::KServe& file);
ServerSettings front_settings(const deploy::KServe& file);

}  // namespace flintglade::kserve
