// A visitor of a std::variant made of one lambda for each alternative (from the example at std::visit in
// cppreference).
#pragma once

namespace flintglade::core {

template <class... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};

}  // namespace flintglade::core
