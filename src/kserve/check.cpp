#include "kserve/check.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string_view>

namespace flintglade::kserve {
namespace {

using Contents = inference::InferTensorContents;
using Input = inference::ModelInferRequest::InferInputTensor;

// The datatypes of the protocol: bytes per element in raw form (0: each element is length-prefixed), and the
// number of elements in the field of InferTensorContents that holds the datatype (null for FP16 and BF16,
// which are sent in raw form only).
struct Datatype {
  std::string_view name;
  unsigned size;
  int (*count)(const Contents&);
  std::int64_t min_value = 0, max_value = 0;  // of the narrow integers, which share a wider field
};
constexpr Datatype kDatatypes[] = {
    {"BOOL", 1, [](const Contents& c) { return c.bool_contents_size(); }},
    {"UINT8", 1, [](const Contents& c) { return c.uint_contents_size(); }, 0, 255},
    {"UINT16", 2, [](const Contents& c) { return c.uint_contents_size(); }, 0, 65535},
    {"UINT32", 4, [](const Contents& c) { return c.uint_contents_size(); }},
    {"UINT64", 8, [](const Contents& c) { return c.uint64_contents_size(); }},
    {"INT8", 1, [](const Contents& c) { return c.int_contents_size(); }, -128, 127},
    {"INT16", 2, [](const Contents& c) { return c.int_contents_size(); }, -32768, 32767},
    {"INT32", 4, [](const Contents& c) { return c.int_contents_size(); }},
    {"INT64", 8, [](const Contents& c) { return c.int64_contents_size(); }},
    {"FP16", 2, nullptr},
    {"BF16", 2, nullptr},
    {"FP32", 4, [](const Contents& c) { return c.fp32_contents_size(); }},
    {"FP64", 8, [](const Contents& c) { return c.fp64_contents_size(); }},
    {"BYTES", 0, [](const Contents& c) { return c.bytes_contents_size(); }},
};

const Datatype* find_datatype(std::string_view name) {
  const auto* it = std::find_if(std::begin(kDatatypes), std::end(kDatatypes),
                                [name](const Datatype& d) { return d.name == name; });
  return it == std::end(kDatatypes) ? nullptr : it;
}

int count_all_contents(const Contents& c) {
  return c.bool_contents_size() + c.int_contents_size() + c.int64_contents_size() + c.uint_contents_size() +
         c.uint64_contents_size() + c.fp32_contents_size() + c.fp64_contents_size() + c.bytes_contents_size();
}

std::string shape_text(const google::protobuf::RepeatedField<std::int64_t>& shape) {
  std::string out = "[";
  for (const std::int64_t dimension : shape) out += (out.size() > 1 ? "," : "") + std::to_string(dimension);
  return out + "]";
}

// The number of elements; empty if a dimension is negative or the product overflows.
std::optional<std::uint64_t> element_count(const google::protobuf::RepeatedField<std::int64_t>& shape) {
  std::uint64_t product = 1;
  bool has_zero_dimension = false;
  for (const std::int64_t dimension : shape) {
    if (dimension < 0) return std::nullopt;
    has_zero_dimension = has_zero_dimension || dimension == 0;
    if (dimension > 0 && __builtin_mul_overflow(product, static_cast<std::uint64_t>(dimension), &product))
      return std::nullopt;
  }
  return has_zero_dimension ? 0 : product;
}

// BYTES in raw form: each element is preceded by its length as four bytes, little endian.
std::string check_framing(std::string_view raw, std::uint64_t expected) {
  std::uint64_t found = 0;
  while (!raw.empty()) {
    if (raw.size() < 4) return "the length of element " + std::to_string(found) + " is cut off";
    std::uint32_t length = 0;
    for (int i = 3; i >= 0; --i)
      length = length << 8 | static_cast<unsigned char>(raw[static_cast<std::size_t>(i)]);
    if (raw.size() - 4 < length) return "element " + std::to_string(found) + " is longer than what is left";
    raw.remove_prefix(4 + std::size_t{length});
    ++found;
  }
  if (found != expected)
    return std::to_string(found) + " elements where the shape has " + std::to_string(expected);
  return "";
}

std::string check_contents(const Datatype& type, const Contents& contents, std::uint64_t expected) {
  if (type.count == nullptr) return std::string(type.name) + " goes in raw_input_contents only";
  const int count = type.count(contents);
  if (count_all_contents(contents) != count)
    return "contents of another datatype than " + std::string(type.name);
  if (static_cast<std::uint64_t>(count) != expected)
    return std::to_string(count) + " elements where the shape has " + std::to_string(expected);
  if (type.max_value == 0) return "";
  for (const std::int64_t value : contents.int_contents()) {
    if (value < type.min_value || value > type.max_value)
      return std::to_string(value) + " is no " + std::string(type.name);
  }
  for (const std::uint32_t value : contents.uint_contents()) {
    if (value > static_cast<std::uint64_t>(type.max_value))
      return std::to_string(value) + " is no " + std::string(type.name);
  }
  return "";
}

bool matches_declared_shape(const google::protobuf::RepeatedField<std::int64_t>& shape,
                            const std::vector<std::int64_t>& declared) {
  if (shape.size() != static_cast<int>(declared.size())) return false;
  for (int i = 0; i < shape.size(); ++i) {
    const std::int64_t dimension = declared[static_cast<std::size_t>(i)];
    if (dimension >= 0 && dimension != shape[i]) return false;  // -1 accepts any size
  }
  return true;
}

std::string check_declared(const Input& input, const Model& model) {
  if (model.inputs.empty()) return "";  // the operator file declares no inputs
  const auto it = std::find_if(model.inputs.begin(), model.inputs.end(),
                               [&](const Tensor& t) { return t.name == input.name(); });
  if (it == model.inputs.end()) return "the model has no such input";
  if (it->datatype != input.datatype()) return input.datatype() + " where the model takes " + it->datatype;
  if (matches_declared_shape(input.shape(), it->shape)) return "";
  google::protobuf::RepeatedField<std::int64_t> declared(it->shape.begin(), it->shape.end());
  return "shape " + shape_text(input.shape()) + " where the model takes " + shape_text(declared);
}

}  // namespace

std::optional<unsigned> element_size(std::string_view datatype) {
  const Datatype* type = find_datatype(datatype);
  return type == nullptr ? std::nullopt : std::optional(type->size);
}

std::string check_tensors(const inference::ModelInferRequest& request, const Model& model) {
  const int raw_count = request.raw_input_contents_size();
  const bool uses_raw_contents = raw_count > 0;
  if (uses_raw_contents && raw_count != request.inputs_size())
    return std::to_string(raw_count) + " raw_input_contents for " + std::to_string(request.inputs_size()) +
           " inputs";
  std::set<std::string_view> input_names;
  for (int i = 0; i < request.inputs_size(); ++i) {
    const Input& input = request.inputs(i);
    const auto input_error = [&](const std::string& what) {
      return "input " + (input.name().empty() ? std::to_string(i) : "'" + input.name() + "'") + ": " + what;
    };
    if (input.name().empty()) return input_error("it has no name");
    if (!input_names.insert(input.name()).second) return input_error("it stands twice");
    const Datatype* type = find_datatype(input.datatype());
    if (type == nullptr) return input_error("the datatype '" + input.datatype() + "' is unknown");
    const auto count = element_count(input.shape());
    if (!count) return input_error("the shape " + shape_text(input.shape()) + " is no shape of data");
    std::string error = check_declared(input, model);
    if (!error.empty()) return input_error(error);
    if (uses_raw_contents) {
      if (input.has_contents() && count_all_contents(input.contents()) > 0)
        return input_error("contents and raw_input_contents at once");
      const std::string& bytes = request.raw_input_contents(i);
      if (type->size == 0) {
        error = check_framing(bytes, *count);
      } else if (*count > std::numeric_limits<std::uint64_t>::max() / type->size ||
                 bytes.size() != *count * type->size) {
        error = std::to_string(bytes.size()) + " bytes where shape " + shape_text(input.shape()) + " of " +
                std::string(type->name) + " has " +
                (*count > std::numeric_limits<std::uint64_t>::max() / type->size
                     ? "more than there can be"
                     : std::to_string(*count * type->size));
      }
    } else {
      error = check_contents(*type, input.contents(), *count);
    }
    if (!error.empty()) return input_error(error);
  }
  for (const Tensor& declared : model.inputs) {
    if (input_names.count(declared.name) == 0) return "input '" + declared.name + "': it is missing";
  }
  std::set<std::string_view> output_names;
  for (const auto& output : request.outputs()) {
    if (!output_names.insert(output.name()).second) return "output '" + output.name() + "': it stands twice";
    if (!model.outputs.empty() && std::none_of(model.outputs.begin(), model.outputs.end(),
                                               [&](const Tensor& t) { return t.name == output.name(); }))
      return "output '" + output.name() + "': the model has no such output";
  }
  return "";
}

}  // namespace flintglade::kserve
