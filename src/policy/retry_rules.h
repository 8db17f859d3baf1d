// Retry rules: what the idempotency of a request's class allows after attempts have been sent. Budgets and
// timing are decided elsewhere (retry_budget.h, hedging.h). Pure functions.
#pragma once

#include "policy/request.h"

namespace flintglade::policy {

// Whether another attempt may be sent now.
bool may_send(const Request& request, const ClassSettings& request_class, const Settings& settings,
              double now);
// Whether the request may be rejected, which tells the client that it can safely retry.
bool may_reject(const Request& request, const ClassSettings& request_class);

}  // namespace flintglade::policy
