// Derives a request's labels (class, tenant, session, lengths and timeout), also for clients that do not know
// this router. Sources, in order of precedence: this router's own metadata keys, other metadata, request
// parameters, the client's certificate, the model, a default. A certificate that is bound to a tenant permits
// that tenant only. No I/O.
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

// Looks up metadata by name; empty if there is none.
using FindMetadata = std::function<std::string_view(const std::string& name)>;

struct MappedLabels {  // owns the strings that config::RequestLabels refers to
  std::string request_class, tenant, session, prefix, prompt_tokens, prefix_tokens, output_cap, expires_ms,
      second_try;
  std::string denied;  // why the client may not use these labels; empty: it may
  config::RequestLabels labels() const;
};

// bound: the binding of the client's certificate; null: none.
MappedLabels map_request(const inference::ModelInferRequest& request, const Model& model,
                         const Mapping& mapping, const FindMetadata& metadata,
                         const CertificateBinding* bound = nullptr);

// The first of the operator's bindings that matches one of a certificate's subject alternative names.
const CertificateBinding* find_certificate_binding(const std::vector<CertificateBinding>& bound,
                                                   const std::vector<std::string>& sans);

// For 'flintglade check': one line per field, with its sources in order of precedence.
std::string describe(const Mapping& mapping);

// Whether a client's metadata is forwarded to a replica: all is, except metadata that concerns one hop only
// or is meant for this router.
bool passes_on(std::string_view name);

}  // namespace flintglade::kserve
