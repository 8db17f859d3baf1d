// The metadata keys and method names of the KServe front end. docs/kserve.md documents them.
#pragma once

#include <grpcpp/support/byte_buffer.h>

#include <string>
#include <string_view>

namespace flintglade::kserve {

// Request metadata from clients.
inline constexpr char kClass[] = "flintglade-class", kTenant[] = "flintglade-tenant",
                      kSession[] = "flintglade-session", kPrefix[] = "flintglade-prefix",
                      kPromptTokens[] = "flintglade-prompt-tokens",
                      kPrefixTokens[] = "flintglade-prefix-tokens", kMaxOut[] = "flintglade-max-out",
                      kExpires[] = "flintglade-expires-in-ms", kSecondTry[] = "flintglade-second-try",
                      kTrace[] = "flintglade-trace-id";
// Trailing metadata from replicas.
inline constexpr char kNeverRan[] = "flintglade-never-ran", kCachedTokens[] = "flintglade-cached-tokens";
// The standard hint to a client's retry policy: milliseconds until a retry is welcome, or -1 for no retry.
inline constexpr char kPushback[] = "grpc-retry-pushback-ms";

inline constexpr std::string_view kInfer = "/inference.GRPCInferenceService/ModelInfer",
                                  kStreamInfer = "/inference.GRPCInferenceService/ModelStreamInfer";
inline constexpr int kMaxMessageBytes = 256 << 10;

inline grpc::ByteBuffer to_buffer(std::string_view bytes) {
  const grpc::Slice slice(bytes.data(), bytes.size());
  return grpc::ByteBuffer(&slice, 1);
}
inline std::string to_string(const grpc::ByteBuffer& buffer) {
  grpc::Slice slice;
  if (!buffer.DumpToSingleSlice(&slice).ok()) return "";
  return {reinterpret_cast<const char*>(slice.begin()), slice.size()};
}
// Encodes a client-chosen name as a valid header value: a client's id may contain any bytes and have any
// length. gRPC aborts the process on a header value with invalid bytes; the conformance suite found this with
// an id in UTF-8.
std::string header_value(std::string_view name);

template <typename Map>
std::string_view find_metadata(const Map& map, const char* key) {
  const auto it = map.find(key);
  return it == map.end() ? std::string_view() : std::string_view(it->second.data(), it->second.size());
}

}  // namespace flintglade::kserve
