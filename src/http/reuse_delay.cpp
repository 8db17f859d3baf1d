#include "http/reuse_delay.h"

#include <algorithm>

namespace flintglade::http {
namespace {

using core::Micros;

// The rest is at least this multiple of the lateness of a second response that was seen.
constexpr Micros kLatenessMultiple = 2;
constexpr Micros kRaisedFor = 60 * core::kSecond;

}  // namespace

Micros ReuseDelay::at(Micros now) const { return now < raised_until_ ? raised_ : kMin; }

void ReuseDelay::on_unsolicited_response(Micros lateness, Micros now) {
  // Later than that it is no second response, for example the notice of a server that closes an idle
  // connection.
  if (lateness > kMax) return;
  const Micros needed = std::min(kMax, kLatenessMultiple * lateness);
  if (needed <= kMin || needed < at(now)) return;
  raised_ = needed;
  raised_until_ = now + kRaisedFor;
}

}  // namespace flintglade::http
