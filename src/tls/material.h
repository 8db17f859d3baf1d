// Certificates and keys in PEM, checked before anything is built from them. No sockets; reads only the files
// that it is told to. Errors are one plain line each. Dates and names as RFC 5280 has them.
#pragma once

#include <cstdint>
#include <string>

namespace flintglade::tls {

struct Files {
  std::string certificate, key;  // both or neither; the leaf first, then its chain
  std::string roots;             // those whose word is taken of the other side; may be empty
  bool operator==(const Files&) const = default;
};

struct Material {
  std::string certificate, key, roots;  // PEM
  std::int64_t not_after = 0;           // Unix seconds: when the leaf expires; 0: there is none
  bool same(const Material& other) const {
    return certificate == other.certificate && key == other.key && roots == other.roots;
  }
};

// Reads the files and checks them: a key that others may read is refused (owner and group may), as are a
// certificate that is not yet or no longer valid at `unix_now`, a key that is another certificate's, and
// roots that hold no certificate. Gives an empty string, or what is wrong; out is then unchanged.
std::string load(const Files& files, std::int64_t unix_now, Material& out);

// As load, of text that has been read. Sets not_after.
std::string check(Material& material, const Files& names, std::int64_t unix_now);

}  // namespace flintglade::tls
