// Turns an instance's path=value lines into Settings. Unknown paths are skipped.
#pragma once

#include <string>
#include <string_view>

#include "flintglade/policy/balancer.h"

namespace flintglade::policy {

// Gives an empty string, or one line that says what could not be read.
std::string parse_boot_info(std::string_view text, Settings& settings);

}  // namespace flintglade::policy
