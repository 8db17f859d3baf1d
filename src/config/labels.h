// The labels of requests (class, tenant, session, prefix and others), independent of the wire protocol.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/ports.h"

namespace flintglade::config {

struct Labels {
  std::vector<std::string> classes;
  std::vector<std::string> tenants;    // empty: the site uses no tenants
  std::vector<core::Micros> patience;  // time-out by class, for requests that set none
};

// The unparsed labels of a request; empty where the request has none.
struct RequestLabels {
  std::string_view request_class{}, tenant{}, session{}, prefix{}, prompt_tokens{}, prefix_tokens{},
      output_cap{}, expires_ms{}, again{}, work_hint{};
};

// FNV-1a, so that the hash is the same on every router and after every restart.
std::uint64_t hash_name(std::string_view name);

// Converts an opaque name to a number: the value of a hexadecimal name, otherwise its hash; 0 if it is empty.
std::uint64_t name_to_key(std::string_view name);

// Sets the fields of a request that depend on its labels. Returns an empty string, or an error message for
// the client.
std::string apply(const RequestLabels& request, const Labels& labels, core::Request& out);

}  // namespace flintglade::config
