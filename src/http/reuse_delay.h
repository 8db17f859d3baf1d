// How long a connection to a replica rests after a response before the next request is sent on it.
//
// HTTP/1.1 assigns responses to requests by their order alone (RFC 9112, section 9.2), and nothing in a
// response names its request. A replica that sends a second response after the end of the first one would
// have it taken for the response to the next request on that connection. During the rest a second response
// arrives while no request waits; the connection is closed then. So the rest has to be longer than a second
// response can be late.
//
// The minimum is far above the few milliseconds that the platform's protocol allows a second response. A
// second response that comes late within the rest lengthens it for a while, as the next one may be later
// still. Pure; times in microseconds.
#pragma once

#include "core/time.h"

namespace flintglade::http {

class ReuseDelay {
 public:
  static constexpr core::Micros kMin = 250 * core::kMilli;
  // A longer rest would hold too many descriptors on a busy router.
  static constexpr core::Micros kMax = 500 * core::kMilli;

  // The rest that a connection needs now.
  core::Micros at(core::Micros now) const;
  // Bytes that no request waits for arrived on a connection this long after the end of its response.
  void on_unsolicited_response(core::Micros lateness, core::Micros now);

 private:
  core::Micros raised_ = kMin;  // in force until raised_until_
  core::Micros raised_until_ = 0;
};

}  // namespace flintglade::http
