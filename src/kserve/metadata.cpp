#include "kserve/metadata.h"

#include <grpc/grpc.h>
#include <grpc/slice.h>

#include <algorithm>

namespace flintglade::kserve {
namespace {

constexpr std::string_view kSomeName = "tracestate";

grpc_slice borrowed(std::string_view text) { return grpc_slice_from_static_buffer(text.data(), text.size()); }

}  // namespace

bool is_sendable_metadata(std::string_view name, std::string_view value) {
  if (grpc_header_key_is_legal(borrowed(name)) == 0) return false;
  return grpc_is_binary_header(borrowed(name)) != 0 ||
         grpc_header_nonbin_value_is_legal(borrowed(value)) != 0;
}

bool is_trace_context(std::string_view name) { return name == "traceparent" || name == "tracestate"; }

std::optional<std::string> sendable_trace_context(std::string_view value) {
  std::string out(value);
  std::replace(out.begin(), out.end(), '\t', ' ');
  if (!is_sendable_metadata(kSomeName, out)) return std::nullopt;
  return out;
}

}  // namespace flintglade::kserve
