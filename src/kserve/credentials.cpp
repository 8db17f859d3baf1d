#include "kserve/credentials.h"

#include <grpc/grpc.h>
#include <grpc/grpc_security.h>
#include <grpc/support/log.h>

#include <string_view>

#include "log/log.h"

namespace flintglade::kserve {
namespace {

// The library's C++ side has fixed files or a watcher that checks nothing; its C side asks for the material
// at each handshake, which is what a checked reload needs.
class Fetched final : public grpc::ServerCredentials {
 public:
  Fetched(const tls::CertificateProvider& certificate_provider, bool clients_need_one)
      : certificate_provider_(certificate_provider) {
    credentials_ = grpc_ssl_server_credentials_create_with_options(
        grpc_ssl_server_credentials_create_options_using_config_fetcher(
            clients_need_one ? GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY
                             : GRPC_SSL_DONT_REQUEST_CLIENT_CERTIFICATE,
            &Fetched::fetch, this));
  }
  ~Fetched() override { grpc_server_credentials_release(credentials_); }
  void SetAuthMetadataProcessor(const std::shared_ptr<grpc::AuthMetadataProcessor>&) override {}

 private:
  int AddPortToServer(const std::string& at, grpc_server* server) override {
    return grpc_server_add_http2_port(server, at.c_str(), credentials_);
  }
  // One caller at a time: gRPC holds a lock of its own around it.
  static grpc_ssl_certificate_config_reload_status fetch(void* self,
                                                         grpc_ssl_server_certificate_config** out) {
    auto& me = *static_cast<Fetched*>(self);
    const std::uint64_t generation = me.certificate_provider_.generation();
    if (generation == me.fetched_) return GRPC_SSL_CERTIFICATE_CONFIG_RELOAD_UNCHANGED;
    const tls::Material m = me.certificate_provider_.current();
    const grpc_ssl_pem_key_cert_pair pair{m.key.c_str(), m.certificate.c_str()};
    // gRPC 1.51 aborts where a fetched configuration has no roots, wanted or not. Where no client is asked
    // for a certificate nobody reads them, and the server's own stands in.
    const std::string& roots = m.roots.empty() ? m.certificate : m.roots;
    *out = grpc_ssl_server_certificate_config_create(roots.c_str(), &pair, 1);
    if (*out == nullptr) return GRPC_SSL_CERTIFICATE_CONFIG_RELOAD_FAIL;
    me.fetched_ = generation;
    return GRPC_SSL_CERTIFICATE_CONFIG_RELOAD_NEW;
  }
  const tls::CertificateProvider& certificate_provider_;
  std::uint64_t fetched_ = 0;
  grpc_server_credentials* credentials_;
};

void to_our_log(gpr_log_func_args* args) {
  if (args->severity != GPR_LOG_SEVERITY_ERROR) return;
  std::string_view text = args->message;
  log::event(log::Level::warn, text.find("andshake") != std::string_view::npos ? "handshake_failed" : "grpc",
             {{"why", text}});
  // The library aborts after this; what stands in our queue would be lost with it.
  if (text.starts_with("assertion failed")) log::flush();
}

}  // namespace

std::shared_ptr<grpc::ServerCredentials> server_credentials(
    const tls::CertificateProvider& certificate_provider, bool clients_need_one) {
  return std::make_shared<Fetched>(certificate_provider, clients_need_one);
}

std::shared_ptr<grpc::ChannelCredentials> channel_credentials(const tls::Material& material) {
  return grpc::SslCredentials({material.roots, material.key, material.certificate});
}

std::string channel_target(const config::HostPort& at) {
  return (at.host.find(':') != std::string::npos ? "ipv6:" : "ipv4:") + config::host_port(at.host, at.port);
}

void log_through_ours() { gpr_set_log_function(&to_our_log); }

}  // namespace flintglade::kserve
