#include "kserve/operator_file.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace flintglade::kserve {
namespace {

using Json = nlohmann::json;

std::string text(const Json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

bool read_tensors(const Json& model, const char* key, std::vector<Tensor>& out) {
  const auto it = model.find(key);
  if (it == model.end()) return true;
  if (!it->is_array()) return false;
  for (const Json& item : *it) {
    Tensor tensor{text(item, "name"), text(item, "datatype"), {}};
    const auto shape = item.find("shape");
    if (tensor.name.empty() || tensor.datatype.empty() || shape == item.end() || !shape->is_array())
      return false;
    for (const Json& n : *shape) {
      if (!n.is_number_integer()) return false;
      tensor.shape.push_back(n.get<std::int64_t>());
    }
    out.push_back(std::move(tensor));
  }
  return true;
}

}  // namespace

const Model* OperatorFile::find(std::string_view name, std::string_view version) const {
  const auto it = std::find_if(models.begin(), models.end(), [&](const Model& m) { return m.name == name; });
  if (it == models.end()) return nullptr;
  const bool known = version.empty() || it->versions.empty() ||
                     std::find(it->versions.begin(), it->versions.end(), version) != it->versions.end();
  return known ? &*it : nullptr;
}

std::string parse(std::string_view json, OperatorFile& out) {
  const Json root = Json::parse(json, nullptr, false);
  if (!root.is_object()) return "kserve: not a JSON object";
  if (!config::parse_host_port(text(root, "listen"), out.listen))
    return "kserve: listen is not of the form ADDRESS:PORT";
  if (const auto port = root.find("replica_port"); port != root.end()) {
    if (!port->is_number_unsigned() || port->get<std::uint64_t>() > 65535)
      return "kserve: replica_port is not a port";
    out.replica_port = port->get<std::uint16_t>();
  }
  const auto models = root.find("models");
  if (models == root.end() || !models->is_array() || models->empty())
    return "kserve: models is missing or empty";
  for (const Json& item : *models) {
    Model model;
    model.name = text(item, "name");
    model.platform = text(item, "platform");
    if (model.name.empty()) return "kserve: a model without a name";
    if (const auto versions = item.find("versions"); versions != item.end() && versions->is_array()) {
      for (const Json& v : *versions)
        model.versions.push_back(v.is_string() ? v.get<std::string>() : v.dump());
    }
    if (!read_tensors(item, "inputs", model.inputs) || !read_tensors(item, "outputs", model.outputs))
      return "kserve: model " + model.name + " has a tensor without name, datatype or shape";
    out.models.push_back(std::move(model));
  }
  return "";
}

std::string load(const std::string& path, OperatorFile& out) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return "kserve: " + path + " cannot be read";
  return parse(std::string(std::istreambuf_iterator<char>(file), {}), out);
}

}  // namespace flintglade::kserve
