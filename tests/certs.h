// Certificates for tests. They are generated at run time with libcrypto; none are kept in the repository.
#pragma once

#include <string>

namespace flintglade::tests {

// Writes FOLDER/NAME.pem and FOLDER/NAME.key with a P-256 key. The certificate is signed by FOLDER/CA.pem; an
// empty ca makes a self-signed certificate authority. sans lists the subject alternative names in OpenSSL's
// syntax: "DNS:x,URI:spiffe://y,IP:127.0.0.1". The validity times are in seconds relative to now.
void make_certificate(const std::string& folder, const std::string& name, const std::string& ca,
                      const std::string& sans, long valid_from_s, long valid_until_s);
std::string read_file(const std::string& path);

}  // namespace flintglade::tests
