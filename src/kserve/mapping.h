// What a request says of itself, for clients that know nothing of this router: class, tenant, session,
// lengths and patience from our own metadata, other metadata, request parameters, the client's certificate,
// the model, or a default; in that order. But a certificate that is bound to a tenant speaks for that one
// only. No I/O.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/labels.h"
#include "kserve/models.h"
#include "kserve_v2.pb.h"

namespace flintglade::kserve {

// Metadata by name; empty where there is none.
using FindMetadata = std::function<std::string_view(const std::string& name)>;

struct Mapped {  // owns what config::RequestLabels points at
  std::string request_class, tenant, session, prefix, prompt_tokens, prefix_tokens, output_cap, expires_ms,
      again;
  std::string denied;  // what it may not claim; empty: nothing
  config::RequestLabels labels() const;
};

// bound: what the client's certificate stands for; null: nothing.
Mapped map_request(const inference::ModelInferRequest& request, const Model& model, const Mapping& mapping,
                   const FindMetadata& metadata, const Bound* bound = nullptr);

// The first of the operator's bindings that one of a certificate's names meets.
const Bound* find_bound(const std::vector<Bound>& bound, const std::vector<std::string>& sans);

// For 'flintglade check': one line a field, with its sources in order.
std::string describe(const Mapping& mapping);

// Of a client's metadata, what a replica is to have too: all but what belongs to one hop or to us.
bool passes_on(std::string_view name);

}  // namespace flintglade::kserve
