// The valid ranges of the decision module's settings. Pure functions; settings out of range are not errors
// but are clamped.
#pragma once

#include "flintglade/policy/balancer.h"

namespace flintglade::policy {

// Returns the settings with each number clamped to the range in which the module's arithmetic is valid;
// numbers that are not finite become the minimum. The result has at least one class.
Settings clamped_settings(Settings settings);

}  // namespace flintglade::policy
