#include "policy/retry_rules.h"

#include <algorithm>

namespace flintglade::policy {

bool may_send(const Request& request, const ClassSettings& its_class, const Settings& settings, double now) {
  if (static_cast<int>(request.attempts.size()) >= settings.max_attempts) return false;
  double first = 1e300;  // when the first that may have run was sent
  for (const Attempt& attempt : request.attempts) {
    if (attempt.out && !settings.may_duplicate) return false;
    if (!attempt.out && !attempt.may_have_run) continue;
    if (its_class.semantics == Semantics::not_idempotent) return false;
    first = std::min(first, attempt.sent);
  }
  // Written while the group still drops repeats, also where the connection has to come up first.
  return its_class.semantics != Semantics::idempotency_key ||
         now + settings.dial_timeout < first + its_class.key_ttl;
}

bool may_reject(const Request& request, const ClassSettings& its_class) {
  if (its_class.semantics == Semantics::idempotent) return true;
  if (its_class.semantics == Semantics::idempotency_key &&
      its_class.idempotency_scope == IdempotencyScope::all)
    return true;
  return std::none_of(request.attempts.begin(), request.attempts.end(),
                      [](const Attempt& attempt) { return attempt.out || attempt.may_have_run; });
}

}  // namespace flintglade::policy
