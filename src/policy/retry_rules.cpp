#include "policy/retry_rules.h"

#include <algorithm>

namespace flintglade::policy {

bool may_send(const Request& request, const ClassSettings& request_class, const Settings& settings,
              double now) {
  if (static_cast<int>(request.attempts.size()) >= settings.max_attempts) return false;
  double first_effect_at = 1e300;  // time at which the first attempt that may have run was sent
  for (const Attempt& attempt : request.attempts) {
    if (attempt.in_flight && !settings.may_duplicate) return false;
    if (!attempt.in_flight && !attempt.may_have_run) continue;
    if (request_class.semantics == Semantics::not_idempotent) return false;
    first_effect_at = std::min(first_effect_at, attempt.sent_at);
  }
  // The request must be written while the replicas still drop repeats of this key, even if the connection has
  // to be established first.
  return request_class.semantics != Semantics::idempotency_key ||
         now + settings.dial_timeout < first_effect_at + request_class.key_ttl;
}

bool may_reject(const Request& request, const ClassSettings& request_class) {
  if (request_class.semantics == Semantics::idempotent) return true;
  if (request_class.semantics == Semantics::idempotency_key &&
      request_class.idempotency_scope == IdempotencyScope::all)
    return true;
  return std::none_of(request.attempts.begin(), request.attempts.end(),
                      [](const Attempt& attempt) { return attempt.in_flight || attempt.may_have_run; });
}

}  // namespace flintglade::policy
