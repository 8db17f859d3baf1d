// The ranges of the decision module's settings. Pure functions; settings out of range are no error here.
#pragma once

#include "flintglade/policy/balancer.h"

namespace flintglade::policy {

// The settings with each figure drawn into the range that the module's arithmetic holds for; what is not
// finite becomes the least value. There is at least one class afterwards.
Settings within_bounds(Settings settings);

}  // namespace flintglade::policy
