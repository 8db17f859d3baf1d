// A visitor of a std::variant made of one lambda for each alternative (from the example at std::visit in
// cppreference).
#pragma once

namespace flintglade::core {

template <class... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;  // clang 14 does not deduce the arguments of an aggregate

}  // namespace flintglade::core
