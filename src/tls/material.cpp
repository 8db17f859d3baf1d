#include "tls/material.h"

#include <fcntl.h>
#include <openssl/asn1.h>
#include <openssl/bio.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <ctime>
#include <memory>

namespace flintglade::tls {
namespace {

constexpr std::size_t kLargest = 1u << 20;

template <auto free>
struct With {
  template <typename T>
  void operator()(T* p) const {
    free(p);
  }
};
using Bio = std::unique_ptr<BIO, With<BIO_free>>;
using Cert = std::unique_ptr<X509, With<X509_free>>;
using Key = std::unique_ptr<EVP_PKEY, With<EVP_PKEY_free>>;

// The mode is that of the very file that is read, whatever its name points at a moment later.
std::string read(const std::string& path, bool secret, std::string& out) {
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
  if (fd < 0) return path + ": " + std::strerror(errno);
  std::string error;
  struct stat about {};
  if (::fstat(fd, &about) != 0 || !S_ISREG(about.st_mode)) {
    error = path + ": not a file";
  } else if (secret && (about.st_mode & (S_IRWXO | S_IWGRP)) != 0) {
    error = path + ": others may read or change this private key: take their rights away";
  } else if (static_cast<std::size_t>(about.st_size) > kLargest) {
    error = path + ": larger than 1 MiB";
  }
  out.clear();
  char bytes[16384];
  for (ssize_t n = 1; error.empty() && n > 0;) {
    n = ::read(fd, bytes, sizeof bytes);
    if (n < 0) error = path + ": " + std::strerror(errno);
    if (n > 0) out.append(bytes, static_cast<std::size_t>(n));
    if (out.size() > kLargest) error = path + ": larger than 1 MiB";
  }
  ::close(fd);
  return error;
}

Bio of(const std::string& text) { return Bio(BIO_new_mem_buf(text.data(), static_cast<int>(text.size()))); }

int no_passphrase(char*, int, int, void*) { return -1; }  // never asks at a terminal

std::int64_t unix_time(const ASN1_TIME* time) {
  std::tm parts{};
  return ASN1_TIME_to_tm(time, &parts) == 1 ? static_cast<std::int64_t>(::timegm(&parts)) : 0;
}

std::string day(std::int64_t at) {
  const auto t = static_cast<std::time_t>(at);
  std::tm parts{};
  char text[32];
  ::gmtime_r(&t, &parts);
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

std::string check_all(Material& m, const Files& names, std::int64_t now) {
  if (!m.roots.empty()) {
    const Bio bio = of(m.roots);
    if (!Cert(PEM_read_bio_X509(bio.get(), nullptr, no_passphrase, nullptr)))
      return names.roots + ": holds no certificate";
  }
  if (m.certificate.empty() && m.key.empty()) return "";
  const Bio chain = of(m.certificate), secret = of(m.key);
  const Cert leaf(PEM_read_bio_X509(chain.get(), nullptr, no_passphrase, nullptr));
  if (!leaf) return names.certificate + ": holds no certificate";
  // What stands behind the leaf has to be whole too: a chain cut short fails only at the client.
  while (const Cert next{PEM_read_bio_X509(chain.get(), nullptr, no_passphrase, nullptr)}) {
  }
  if (ERR_GET_REASON(ERR_peek_last_error()) != PEM_R_NO_START_LINE)
    return names.certificate + ": a certificate of the chain cannot be read";
  const std::int64_t from = unix_time(X509_get0_notBefore(leaf.get()));
  const std::int64_t to = unix_time(X509_get0_notAfter(leaf.get()));
  if (now < from) return names.certificate + ": not valid before " + day(from);
  if (now > to) return names.certificate + ": expired at " + day(to);
  const Key key(PEM_read_bio_PrivateKey(secret.get(), nullptr, no_passphrase, nullptr));
  if (!key) return names.key + ": holds no private key that can be read without a passphrase";
  if (X509_check_private_key(leaf.get(), key.get()) != 1)
    return names.key + ": is not the key of " + names.certificate;
  m.not_after = to;
  return "";
}

}  // namespace

std::string check(Material& material, const Files& names, std::int64_t unix_now) {
  ERR_clear_error();
  std::string error = check_all(material, names, unix_now);
  ERR_clear_error();
  return error;
}

std::string load(const Files& files, std::int64_t unix_now, Material& out) {
  Material fresh;
  std::string error;
  if (!files.certificate.empty()) error = read(files.certificate, false, fresh.certificate);
  if (error.empty() && !files.key.empty()) error = read(files.key, true, fresh.key);
  if (error.empty() && !files.roots.empty()) error = read(files.roots, false, fresh.roots);
  if (error.empty()) error = check(fresh, files, unix_now);
  if (error.empty()) out = std::move(fresh);
  return error;
}

}  // namespace flintglade::tls
