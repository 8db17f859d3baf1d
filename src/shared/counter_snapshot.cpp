#include "shared/counter_snapshot.h"

#include <zlib.h>

#include <cstddef>
#include <cstdint>

#include "absl/status/status.h"

namespace flintglade::shared {
namespace {

constexpr std::string_view kMagic = "fgsh";
constexpr std::uint32_t kFormVersion = 1;
// Offsets of the header's fields.
constexpr std::size_t kVersionAt = 4, kLengthAt = 8, kChecksumAt = 12, kHeaderBytes = 16;

std::uint32_t checksum(std::string_view bytes) {
  return static_cast<std::uint32_t>(
      ::crc32(0, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}

void append_little_endian(std::string& to, std::uint32_t number) {
  for (int shift = 0; shift < 32; shift += 8) to += static_cast<char>(number >> shift);
}

std::uint32_t read_little_endian(std::string_view bytes, std::size_t at) {
  std::uint32_t number = 0;
  for (std::size_t i = 0; i < 4; ++i) {
    number |= std::uint32_t{static_cast<unsigned char>(bytes[at + i])} << (8 * i);
  }
  return number;
}

}  // namespace

std::string encode_counter_snapshot(const coordination::SharedStateUpdate& rows) {
  const std::string body = rows.SerializeAsString();
  std::string out(kMagic);
  append_little_endian(out, kFormVersion);
  append_little_endian(out, static_cast<std::uint32_t>(body.size()));
  append_little_endian(out, checksum(body));
  return out + body;
}

absl::StatusOr<coordination::SharedStateUpdate> decode_counter_snapshot(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes || bytes.substr(0, kMagic.size()) != kMagic) {
    return absl::DataLossError("it is no snapshot of counts");
  }
  const std::uint32_t version = read_little_endian(bytes, kVersionAt);
  if (version != kFormVersion) {
    return absl::FailedPreconditionError("it is of version " + std::to_string(version));
  }
  const std::string_view body = bytes.substr(kHeaderBytes);
  if (body.size() != read_little_endian(bytes, kLengthAt) ||
      checksum(body) != read_little_endian(bytes, kChecksumAt)) {
    return absl::DataLossError("it is torn");
  }
  coordination::SharedStateUpdate rows;
  if (!rows.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
    return absl::DataLossError("it cannot be read");
  }
  return rows;
}

}  // namespace flintglade::shared
