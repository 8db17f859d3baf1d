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
  const auto decoded = hot_restart::decode_snapshot(bytes, {"", "", 10, 0}, 20);
  if (!decoded.ok()) return 0;
  const core::Broker::ProcessSnapshot& out = decoded->snapshot;
  if (out.learned.first_event_latency.size() != out.learned.mean_class_work.size() ||
      out.learned.quota_updated_at.size() != out.learned.quota_tokens.size() ||
      !(out.learned.admitted_share > 0.0))
    std::abort();
  for (const auto& [id, known] : out.learned.replicas) {
    if (!std::isfinite(known.health + known.slow_start_tokens + known.time_in_system.in_flight_seconds))
      std::abort();
  }
  return 0;
}
