#include "certs.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <sys/stat.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <memory>
#include <random>
#include <stdexcept>

namespace flintglade::tests {
namespace {

struct Deleter {
  void operator()(X509* p) const { X509_free(p); }
  void operator()(EVP_PKEY* p) const { EVP_PKEY_free(p); }
  void operator()(std::FILE* p) const { std::fclose(p); }
};
template <typename T>
using OwnedPtr = std::unique_ptr<T, Deleter>;

OwnedPtr<std::FILE> open(const std::string& path, const char* mode) {
  OwnedPtr<std::FILE> file(std::fopen(path.c_str(), mode));
  if (!file) throw std::runtime_error("cannot open " + path);
  return file;
}

void add_extension(X509* cert, X509* issuer, int nid, const std::string& value) {
  X509V3_CTX context;
  X509V3_set_ctx(&context, issuer, cert, nullptr, nullptr, 0);
  X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, &context, nid, value.c_str());
  if (extension == nullptr) throw std::runtime_error("invalid value of a certificate extension: " + value);
  X509_add_ext(cert, extension, -1);
  X509_EXTENSION_free(extension);
}

}  // namespace

void make_certificate(const std::string& folder, const std::string& name, const std::string& ca,
                      const std::string& sans, long valid_from_s, long valid_until_s) {
  const std::string path = folder + "/" + name;
  const OwnedPtr<EVP_PKEY> key(EVP_EC_gen("P-256"));
  const OwnedPtr<X509> cert(X509_new());
  X509_set_version(cert.get(), 2);
  ASN1_INTEGER_set(X509_get_serialNumber(cert.get()), static_cast<long>(std::random_device{}() >> 1));
  X509_gmtime_adj(X509_getm_notBefore(cert.get()), valid_from_s);
  X509_gmtime_adj(X509_getm_notAfter(cert.get()), valid_until_s);
  X509_set_pubkey(cert.get(), key.get());
  const auto* common_name = reinterpret_cast<const unsigned char*>(name.c_str());
  X509_NAME_add_entry_by_txt(X509_get_subject_name(cert.get()), "CN", MBSTRING_ASC, common_name, -1, -1, 0);
  OwnedPtr<X509> issuer;
  OwnedPtr<EVP_PKEY> signer;
  if (!ca.empty()) {
    issuer.reset(PEM_read_X509(open(folder + "/" + ca + ".pem", "r").get(), nullptr, nullptr, nullptr));
    signer.reset(PEM_read_PrivateKey(open(folder + "/" + ca + ".key", "r").get(), nullptr, nullptr, nullptr));
    if (!issuer || !signer)
      throw std::runtime_error("cannot read the certificate or key of the authority " + ca);
  }
  X509* issuer_cert = issuer ? issuer.get() : cert.get();
  X509_set_issuer_name(cert.get(), X509_get_subject_name(issuer_cert));
  add_extension(cert.get(), issuer_cert, NID_basic_constraints,
                ca.empty() ? "critical,CA:TRUE" : "critical,CA:FALSE");
  if (!sans.empty()) add_extension(cert.get(), issuer_cert, NID_subject_alt_name, sans);
  X509_sign(cert.get(), signer ? signer.get() : key.get(), EVP_sha256());
  // Written to temporary files and renamed, as tools that rotate certificates do.
  PEM_write_X509(open(path + ".pem.new", "w").get(), cert.get());
  PEM_write_PrivateKey(open(path + ".key.new", "w").get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
  ::chmod((path + ".key.new").c_str(), 0600);
  std::rename((path + ".key.new").c_str(), (path + ".key").c_str());
  std::rename((path + ".pem.new").c_str(), (path + ".pem").c_str());
}

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace flintglade::tests
