// Framing for records in a file whose last write may be incomplete.
//
// A frame is the length of its payload (4 bytes, little-endian), the CRC-32 of the payload (4 bytes,
// little-endian) and the payload. Pure functions, callable from any thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flintglade::coordination {

inline constexpr std::size_t kFrameHeaderBytes = 8;

// The header of a frame as read; neither field has been checked against the payload.
struct FrameHeader {
  std::uint32_t payload_bytes = 0;
  std::uint32_t payload_crc32 = 0;
};

// The payload, preceded by its header.
std::string encode_frame(std::string_view payload);

// The header at the start of `bytes`; nullopt if `bytes` is shorter than a header.
std::optional<FrameHeader> read_frame_header(std::string_view bytes);

// The CRC-32 of zlib.
std::uint32_t crc32_of(std::string_view bytes);

}  // namespace flintglade::coordination
