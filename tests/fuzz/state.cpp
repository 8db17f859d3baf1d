// Fuzzes the decoder of hot-restart snapshot files: it must not crash, and must accept only values that the
// decision module can work with. The header gets the matching size and checksum, so that the fuzzer gets past
// the checksum.
#include <zlib.h>

#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "hot_restart/snapshot.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace flintglade;
  std::string bytes("fgst\x01\0\0\0", 8);
  for (const std::uint32_t header_field :
       {static_cast<std::uint32_t>(size),
        static_cast<std::uint32_t>(::crc32(0, data, static_cast<uInt>(size)))}) {
    for (int i = 0; i < 4; ++i) bytes += static_cast<char>(header_field >> (8 * i) & 0xff);
  }
  bytes.append(reinterpret_cast<const char*>(data), size);
  const auto decoded = hot_restart::decode_snapshot(bytes, {"", "", 10, 0}, 20);
  if (!decoded.ok()) return 0;
  const core::Broker::ProcessSnapshot& snapshot = decoded->snapshot;
  if (snapshot.learned.first_event_latency.size() != snapshot.learned.mean_class_work.size() ||
      snapshot.learned.quota_updated_at.size() != snapshot.learned.quota_tokens.size() ||
      !(snapshot.learned.admitted_share > 0.0))
    std::abort();
  for (const auto& [id, replica] : snapshot.learned.replicas) {
    if (!std::isfinite(replica.health + replica.slow_start_tokens + replica.time_in_system.in_flight_seconds))
      std::abort();
  }
  return 0;
}
