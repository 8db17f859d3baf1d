// A visitor for a std::variant, built from one lambda for each alternative (after the cppreference example
// for std::visit).
#pragma once

namespace flintglade::core {

template <class... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;  // clang 14 does not deduce the arguments of an aggregate

}  // namespace flintglade::core
