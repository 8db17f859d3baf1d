// Validates the tensors of a ModelInferRequest before it is sent to a replica: against the protocol (KServe
// v2, "Tensor Data") and against the model's declaration in the operator file. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "kserve/models.h"
#include "kserve_v2.pb.h"

namespace flintglade::kserve {

// Size in bytes of one element in raw form; 0 for BYTES, whose elements are length-prefixed. Empty if the
// protocol has no such datatype.
std::optional<unsigned> element_size(std::string_view datatype);

// Returns an empty string if the request is valid, else a one-line error that names the tensor.
std::string check_tensors(const inference::ModelInferRequest& request, const Model& model);

}  // namespace flintglade::kserve
