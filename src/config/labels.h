// The names by which requests speak of classes, tenants, sessions and prefixes, on whatever wire they come.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/ports.h"

namespace flintglade::config {

struct Labels {
  std::vector<std::string> classes;
  std::vector<std::string> tenants;    // empty: the site has none
  std::vector<core::Micros> patience;  // by class, for clients that do not say how long they wait
};

// The raw text of what a request says of itself; empty where it says nothing.
struct RequestLabels {
  std::string_view request_class{}, tenant{}, session{}, prefix{}, prompt_tokens{}, prefix_tokens{},
      output_cap{}, expires_ms{}, again{}, work_hint{};
};

// FNV-1a: the same on every router and after every restart.
std::uint64_t hash_name(std::string_view name);

// An opaque name to a number: hex where it is hex, else a hash; 0 only for an empty one.
std::uint64_t name_to_key(std::string_view name);

// Fills the fields that labels decide. Gives an empty string, or what is wrong with the request.
std::string apply(const RequestLabels& request, const Labels& labels, core::Request& out);

}  // namespace flintglade::config
