// Certificates and keys in PEM, validated before credentials are built from them. No sockets; reads only the
// given files. Each error is one line of text. Dates and names follow RFC 5280.
#pragma once

#include <cstdint>
#include <string>

namespace flintglade::tls {

struct Files {  // paths
  // Both or neither; the certificate file holds the leaf first, then its chain.
  std::string certificate, key;
  std::string roots;  // the trusted roots for the peer's certificate; may be empty
  bool operator==(const Files&) const = default;
};

struct Material {
  std::string certificate, key, roots;  // PEM
  std::int64_t not_after = 0;           // Unix seconds of the leaf's expiry; 0: no certificate
  bool same(const Material& other) const {
    return certificate == other.certificate && key == other.key && roots == other.roots;
  }
};

// Reads and validates the files. Rejects a key that others may access or its group may write (the group may
// read), a certificate that is not yet or no longer valid at `unix_now`, a key that does not match the
// certificate, and roots without a certificate. Returns an empty string or the error; on an error out is
// unchanged.
std::string load(const Files& files, std::int64_t unix_now, Material& out);

// As load, for material that has been read already. Sets not_after. The files are named in errors.
std::string check(Material& material, const Files& files, std::int64_t unix_now);

}  // namespace flintglade::tls
