// Certificates for tests, made here and now by libssl; nothing is kept in the repository.
#pragma once

#include <string>

namespace flintglade::tests {

// FOLDER/NAME.pem and NAME.key, on P-256: signed by FOLDER/CA, or by itself, and then it is an authority.
// sans as openssl's extension has them: "DNS:x,URI:spiffe://y,IP:127.0.0.1". Valid from and to so many
// seconds from now.
void make_certificate(const std::string& folder, const std::string& name, const std::string& ca,
                      const std::string& sans, long from_s, long to_s);
std::string read_file(const std::string& path);

}  // namespace flintglade::tests
