// The metadata keys and method names of the KServe front. docs/kserve.md documents them.
#pragma once

#include <grpcpp/support/byte_buffer.h>

#include <string>
#include <string_view>

namespace flintglade::kserve {

// What a client says of its request.
inline constexpr char kClass[] = "flintglade-class", kTenant[] = "flintglade-tenant",
                      kSession[] = "flintglade-session", kPrefix[] = "flintglade-prefix",
                      kPromptTokens[] = "flintglade-prompt-tokens",
                      kPrefixTokens[] = "flintglade-prefix-tokens", kMaxOut[] = "flintglade-max-out",
                      kExpires[] = "flintglade-expires-in-ms", kSecondTry[] = "flintglade-second-try",
                      kTrace[] = "flintglade-trace-id";
// What a replica says in its trailing metadata.
inline constexpr char kNeverRan[] = "flintglade-never-ran", kCachedTokens[] = "flintglade-cached-tokens";
// The standard word to a client's retry policy: milliseconds, or -1 for not at all.
inline constexpr char kPushback[] = "grpc-retry-pushback-ms";

inline constexpr std::string_view kInfer = "/inference.GRPCInferenceService/ModelInfer",
                                  kStreamInfer = "/inference.GRPCInferenceService/ModelStreamInfer";
inline constexpr int kLargestMessage = 256 << 10;

inline grpc::ByteBuffer to_buffer(std::string_view bytes) {
  const grpc::Slice slice(bytes.data(), bytes.size());
  return grpc::ByteBuffer(&slice, 1);
}
inline std::string to_string(const grpc::ByteBuffer& buffer) {
  grpc::Slice slice;
  if (!buffer.DumpToSingleSlice(&slice).ok()) return "";
  return {reinterpret_cast<const char*>(slice.begin()), slice.size()};
}
// A name that a client chose, in the form that a header can carry: a client's id may hold any bytes, any
// number of them. gRPC ends the whole process over a value with others; the conformance suite found it with
// an id in UTF-8.
std::string header_value(std::string_view name);

template <typename Map>
std::string_view find_metadata(const Map& map, const char* key) {
  const auto it = map.find(key);
  return it == map.end() ? std::string_view() : std::string_view(it->second.data(), it->second.size());
}

}  // namespace flintglade::kserve
