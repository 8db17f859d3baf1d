// Makes DNS records for the responses of stand-in servers.
#pragma once

#include <string>

#include "dns/codec.h"

namespace flintglade::tests {

inline dns::Record record(const std::string& owner, dns::Type type, const std::string& value,
                          std::uint32_t ttl) {
  dns::Record out;
  out.owner = owner;
  out.type = type;
  out.value = value;
  out.ttl = ttl;
  return out;
}

}  // namespace flintglade::tests
