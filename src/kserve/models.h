// What the operator's file says of the KServe front: where it listens and which models it stands for.
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
  std::string request_class, tenant;           // of requests that say none
  bool decoupled = false;                      // may answer with no message
  const std::string& highest_version() const;  // of those listed, in numbers; empty: none is
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
struct Bound {  // a certificate with this name speaks for this tenant
  std::string san, tenant, request_class;
};
struct ServerSettings {
  config::HostPort listen;
  // Where replicas speak gRPC: this port at the address that discovery gives; 0: the very endpoint.
  std::uint16_t replica_port = 0;
  std::vector<Model> models;
  Mapping mapping;
  bool reflection = false, check_tensors = false, pass_metadata = false, errors_in_band = false;
  std::size_t stream_requests = 16;
  Limits limits;
  DescriptionLimits replica_metadata;
  bool fill_version = false, gzip = false;
  bool tls = false, bound_only = false;
  std::vector<Bound> bound;

  const Model* find(std::string_view name, std::string_view version) const;
};

// Of a file that operator_file::parse has checked.
tls::Files front_files(const deploy::KServe& file);
tls::Files replica_files(const deploy::KServe& file);
ServerSettings front_settings(const deploy::KServe& file);

}  // namespace flintglade::kserve
