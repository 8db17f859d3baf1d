// Parses the path=value lines with which the simulator configures an instance into Settings. Skips unknown
// paths.
#pragma once

#include <string>
#include <string_view>

#include "flintglade/policy/balancer.h"

namespace flintglade::policy {

// Returns an empty string, or an error message of one line. The settings may have changed in part if it
// fails.
std::string parse_boot_info(std::string_view text, Settings& settings);

}  // namespace flintglade::policy
