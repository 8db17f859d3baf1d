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

constexpr std::size_t kMaxFileSize = 1u << 20;  // bytes

template <auto free>
struct Deleter {
  template <typename T>
  void operator()(T* pointer) const {
    free(pointer);
  }
};
using Bio = std::unique_ptr<BIO, Deleter<BIO_free>>;
using Certificate = std::unique_ptr<X509, Deleter<X509_free>>;
using Key = std::unique_ptr<EVP_PKEY, Deleter<EVP_PKEY_free>>;

// Checks the mode of the opened descriptor, not of the path, which may refer to another file by then.
std::string read(const std::string& path, bool secret, std::string& out) {
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
  if (fd < 0) return path + ": " + std::strerror(errno);
  std::string error;
  struct stat file_status {};
  if (::fstat(fd, &file_status) != 0 || !S_ISREG(file_status.st_mode)) {
    error = path + ": not a regular file";
  } else if (secret && (file_status.st_mode & (S_IRWXO | S_IWGRP)) != 0) {
    error = path + ": others may read or change this private key; restrict its mode, for example to 0640";
  } else if (static_cast<std::size_t>(file_status.st_size) > kMaxFileSize) {
    error = path + ": larger than 1 MiB";
  }
  out.clear();
  char bytes[16384];
  for (ssize_t count = 1; error.empty() && count > 0;) {
    count = ::read(fd, bytes, sizeof bytes);
    if (count < 0) error = path + ": " + std::strerror(errno);
    if (count > 0) out.append(bytes, static_cast<std::size_t>(count));
    if (out.size() > kMaxFileSize) error = path + ": larger than 1 MiB";
  }
  ::close(fd);
  return error;
}

Bio memory_bio(const std::string& text) {
  return Bio(BIO_new_mem_buf(text.data(), static_cast<int>(text.size())));
}

int no_passphrase(char*, int, int, void*) { return -1; }  // never prompts on a terminal

std::int64_t unix_time(const ASN1_TIME* time) {
  std::tm parts{};
  return ASN1_TIME_to_tm(time, &parts) == 1 ? static_cast<std::int64_t>(::timegm(&parts)) : 0;
}

std::string utc_text(std::int64_t unix_seconds) {
  const auto time = static_cast<std::time_t>(unix_seconds);
  std::tm parts{};
  char text[32];
  ::gmtime_r(&time, &parts);
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

std::string check_all(Material& material, const Files& files, std::int64_t now) {
  if (!material.roots.empty()) {
    const Bio bio = memory_bio(material.roots);
    if (!Certificate(PEM_read_bio_X509(bio.get(), nullptr, no_passphrase, nullptr)))
      return files.roots + ": holds no certificate";
  }
  if (material.certificate.empty() && material.key.empty()) return "";
  const Bio chain = memory_bio(material.certificate), secret = memory_bio(material.key);
  const Certificate leaf(PEM_read_bio_X509(chain.get(), nullptr, no_passphrase, nullptr));
  if (!leaf) return files.certificate + ": holds no certificate";
  // Parses the rest of the chain too: a truncated chain would otherwise be noticed only by the clients.
  while (const Certificate next{PEM_read_bio_X509(chain.get(), nullptr, no_passphrase, nullptr)}) {
  }
  if (ERR_GET_REASON(ERR_peek_last_error()) != PEM_R_NO_START_LINE)
    return files.certificate + ": a certificate of the chain cannot be parsed";
  const std::int64_t not_before = unix_time(X509_get0_notBefore(leaf.get()));
  const std::int64_t not_after = unix_time(X509_get0_notAfter(leaf.get()));
  if (now < not_before) return files.certificate + ": not valid before " + utc_text(not_before);
  if (now > not_after) return files.certificate + ": expired at " + utc_text(not_after);
  const Key key(PEM_read_bio_PrivateKey(secret.get(), nullptr, no_passphrase, nullptr));
  if (!key) return files.key + ": holds no private key that can be read without a passphrase";
  if (X509_check_private_key(leaf.get(), key.get()) != 1)
    return files.key + ": is not the key of " + files.certificate;
  material.not_after = not_after;
  return "";
}

}  // namespace

std::string check(Material& material, const Files& files, std::int64_t unix_now) {
  ERR_clear_error();
  std::string error = check_all(material, files, unix_now);
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
