// The operator's file that switches the KServe front on: where it listens and which models it stands for.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"

namespace flintglade::kserve {

struct Tensor {
  std::string name, datatype;
  std::vector<std::int64_t> shape;
};
struct Model {
  std::string name, platform;
  std::vector<std::string> versions;
  std::vector<Tensor> inputs, outputs;
};
struct OperatorFile {
  config::HostPort listen;
  // Where replicas speak gRPC: this port at the address that discovery gives; 0: the very endpoint.
  std::uint16_t replica_port = 0;
  std::vector<Model> models;

  const Model* find(std::string_view name, std::string_view version) const;
};

// Empty, or one plain line that says what is wrong.
std::string parse(std::string_view json, OperatorFile& out);
std::string load(const std::string& path, OperatorFile& out);

}  // namespace flintglade::kserve
