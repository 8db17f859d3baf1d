// Whatever stands in the scratch folder as a state: no crash, and nothing that the module could not work
// with. The head is made to fit, so that what is behind the checksum is reached.
#include <zlib.h>

#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "hot_restart/snapshot.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace flintglade;
  std::string bytes("fgst\x01\0\0\0", 8);
  for (const std::uint32_t x : {static_cast<std::uint32_t>(size),
                                static_cast<std::uint32_t>(::crc32(0, data, static_cast<uInt>(size)))}) {
    for (int i = 0; i < 4; ++i) bytes += static_cast<char>(x >> (8 * i) & 0xff);
  }
  bytes.append(reinterpret_cast<const char*>(data), size);
  core::Broker::ProcessSnapshot out;
  bool same_list = false;
  if (!hot_restart::decode_snapshot(bytes, {"", "", 10, 0}, 20, out, same_list).empty()) return 0;
  if (out.learned.waits.size() != out.learned.class_work.size() ||
      out.learned.quota_at.size() != out.learned.quota_tokens.size() || !(out.learned.admit > 0.0))
    std::abort();
  for (const auto& [id, known] : out.learned.replicas) {
    if (!std::isfinite(known.health + known.cold_tokens + known.stay.area)) std::abort();
  }
  return 0;
}
