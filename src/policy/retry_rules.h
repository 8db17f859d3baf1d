// Retry rules: what the effect of a request's class allows once attempts were made. Budgets and timing are
// not decided here (retry_budget.h, hedging.h). Pure functions.
#pragma once

#include "policy/request.h"

namespace flintglade::policy {

// Whether a further attempt may be sent now.
bool may_send(const Request& request, const ClassSettings& request_class, const Settings& settings,
              double now);
// Whether it may be rejected with the promise that a retry by the client is harmless.
bool may_reject(const Request& request, const ClassSettings& request_class);

}  // namespace flintglade::policy
