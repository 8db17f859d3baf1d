#include "shared/counter_snapshot.h"

#include <cstddef>

#include "absl/status/status.h"
#include "storage/checksummed_file.h"

namespace flintglade::shared {
namespace {

constexpr storage::FileFormat kForm{"fgsh", 1, SIZE_MAX, "it is not a counter snapshot"};

}  // namespace

std::string encode_counter_snapshot(const coordination::SharedStateUpdate& rows) {
  return storage::encode_checksummed(kForm, rows.SerializeAsString());
}

absl::StatusOr<coordination::SharedStateUpdate> decode_counter_snapshot(std::string_view bytes) {
  const auto body = storage::decode_checksummed(kForm, bytes);
  if (!body.ok()) return body.status();
  coordination::SharedStateUpdate rows;
  if (!rows.ParseFromArray(body->data(), static_cast<int>(body->size()))) {
    return absl::DataLossError("its body is not a valid SharedStateUpdate message");
  }
  return rows;
}

}  // namespace flintglade::shared
