// Whether a request can be used at all, before a replica is bothered: the tensors of a ModelInferRequest
// against the protocol (KServe v2, "Tensor Data") and against what the operator's file declares of the model.
// No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "kserve/models.h"
#include "kserve_v2.pb.h"

namespace flintglade::kserve {

// Bytes of an element in raw form, 0 for BYTES, whose elements say their own; none: the protocol has no such
// datatype.
std::optional<unsigned> element_size(std::string_view datatype);

// Empty, or one plain line that names the tensor and what is wrong with it.
std::string check_tensors(const inference::ModelInferRequest& request, const Model& model);

}  // namespace flintglade::kserve
