#include "membership/suspicion.h"

#include <algorithm>
#include <cmath>

namespace flintglade::membership {

double suspicion_length(const SuspicionBounds& bounds, std::size_t reporters) {
  const double confirmed =
      std::log(static_cast<double>(reporters)) / std::log(static_cast<double>(kConfirmationsForMinimum + 1));
  return std::max(bounds.minimum, bounds.maximum - (bounds.maximum - bounds.minimum) * confirmed);
}

}  // namespace flintglade::membership
