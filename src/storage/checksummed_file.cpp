#include "storage/checksummed_file.h"

#include <zlib.h>

#include "absl/status/status.h"

namespace flintglade::storage {
namespace {

// Offsets of the header's fields.
constexpr std::size_t kMagicBytes = 4, kVersionOffset = 4, kLengthOffset = 8, kChecksumOffset = 12,
                      kHeaderBytes = 16;

std::uint32_t checksum(std::string_view bytes) {
  return static_cast<std::uint32_t>(
      ::crc32(0, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}

void append_little_endian(std::string& out, std::uint32_t number) {
  for (int shift = 0; shift < 32; shift += 8) out += static_cast<char>(number >> shift);
}

std::uint32_t read_little_endian(std::string_view bytes, std::size_t offset) {
  std::uint32_t number = 0;
  for (std::size_t i = 0; i < 4; ++i) {
    number |= std::uint32_t{static_cast<unsigned char>(bytes[offset + i])} << (8 * i);
  }
  return number;
}

}  // namespace

std::string encode_checksummed(const FileFormat& format, std::string_view body) {
  std::string out(format.magic);
  append_little_endian(out, format.version);
  append_little_endian(out, static_cast<std::uint32_t>(body.size()));
  append_little_endian(out, checksum(body));
  out += body;
  return out;
}

absl::StatusOr<std::string_view> decode_checksummed(const FileFormat& format, std::string_view bytes) {
  if (bytes.size() < kHeaderBytes || bytes.substr(0, kMagicBytes) != format.magic) {
    return absl::InvalidArgumentError(std::string(format.magic_error));
  }
  const std::uint32_t version = read_little_endian(bytes, kVersionOffset);
  if (version != format.version) {
    return absl::FailedPreconditionError("format version " + std::to_string(version) + ", expected " +
                                         std::to_string(format.version));
  }
  const std::string_view body = bytes.substr(kHeaderBytes);
  if (body.size() > format.max_body_bytes) {
    return absl::DataLossError("body of " + std::to_string(body.size()) + " bytes, at most " +
                               std::to_string(format.max_body_bytes));
  }
  const std::uint32_t length = read_little_endian(bytes, kLengthOffset);
  if (body.size() != length) {
    return absl::DataLossError("body of " + std::to_string(body.size()) + " bytes, header declares " +
                               std::to_string(length));
  }
  if (checksum(body) != read_little_endian(bytes, kChecksumOffset)) {
    return absl::DataLossError("body does not match its checksum");
  }
  return body;
}

}  // namespace flintglade::storage
