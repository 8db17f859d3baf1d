#include "coordination/framed_bytes.h"

#include <zlib.h>

namespace flintglade::coordination {
namespace {

constexpr int kIntegerBytes = 4;

void append_little_endian(std::string& out, std::uint32_t value) {
  for (int i = 0; i < kIntegerBytes; ++i) out.push_back(static_cast<char>(value >> (8 * i)));
}

std::uint32_t read_little_endian(std::string_view bytes) {
  std::uint32_t value = 0;
  for (int i = 0; i < kIntegerBytes; ++i) {
    const auto byte = static_cast<unsigned char>(bytes[static_cast<std::size_t>(i)]);
    value |= static_cast<std::uint32_t>(byte) << (8 * i);
  }
  return value;
}

}  // namespace

std::string encode_frame(std::string_view payload) {
  std::string out;
  append_little_endian(out, static_cast<std::uint32_t>(payload.size()));
  append_little_endian(out, crc32_of(payload));
  return out.append(payload);
}

std::optional<FrameHeader> read_frame_header(std::string_view bytes) {
  if (bytes.size() < kFrameHeaderBytes) return std::nullopt;
  return FrameHeader{read_little_endian(bytes), read_little_endian(bytes.substr(kIntegerBytes))};
}

std::uint32_t crc32_of(std::string_view bytes) {
  return static_cast<std::uint32_t>(
      ::crc32(0, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}

}  // namespace flintglade::coordination
