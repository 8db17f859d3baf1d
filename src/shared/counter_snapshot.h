// The file form of the counters' rows, as a process leaves them for the next one.
//
// storage/checksummed_file.h with the magic "fgsh"; the body is a coordination::SharedStateUpdate with the
// rows.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "coordination.pb.h"

namespace flintglade::shared {

std::string encode_counter_snapshot(const coordination::SharedStateUpdate& rows);
// Not OK: one line that says what is wrong with the bytes.
absl::StatusOr<coordination::SharedStateUpdate> decode_counter_snapshot(std::string_view bytes);

}  // namespace flintglade::shared
