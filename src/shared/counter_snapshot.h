// File format in which a process saves the counter rows for the router's next process.
//
// A checksummed file (storage/checksummed_file.h) with the magic "fgsh"; its body is a
// coordination::SharedStateUpdate with the rows.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "coordination.pb.h"

namespace flintglade::shared {

std::string encode_counter_snapshot(const coordination::SharedStateUpdate& rows);
// On failure, the status message is one line that describes what is wrong with the bytes.
absl::StatusOr<coordination::SharedStateUpdate> decode_counter_snapshot(std::string_view bytes);

}  // namespace flintglade::shared
