#include "kserve/credentials.h"

#include <grpc/grpc.h>
#include <grpc/grpc_security.h>
#include <grpc/support/log.h>

#include <string_view>

#include "log/log.h"

namespace flintglade::kserve {
namespace {

// gRPC's C++ API offers fixed files or a file watcher that validates nothing. Its C API requests the material
// at each handshake, so material can be validated before it replaces the current one.
class FetchingServerCredentials final : public grpc::ServerCredentials {
 public:
  FetchingServerCredentials(const tls::CertificateProvider& certificate_provider,
                            bool require_client_certificate)
      : certificate_provider_(certificate_provider) {
    credentials_ = grpc_ssl_server_credentials_create_with_options(
        grpc_ssl_server_credentials_create_options_using_config_fetcher(
            require_client_certificate ? GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY
                                       : GRPC_SSL_DONT_REQUEST_CLIENT_CERTIFICATE,
            &FetchingServerCredentials::fetch, this));
  }
  ~FetchingServerCredentials() override { grpc_server_credentials_release(credentials_); }
  void SetAuthMetadataProcessor(const std::shared_ptr<grpc::AuthMetadataProcessor>&) override {}

 private:
  int AddPortToServer(const std::string& address, grpc_server* server) override {
    return grpc_server_add_http2_port(server, address.c_str(), credentials_);
  }
  // gRPC calls this under its own lock, so calls never overlap.
  static grpc_ssl_certificate_config_reload_status fetch(void* self,
                                                         grpc_ssl_server_certificate_config** out) {
    auto& credentials = *static_cast<FetchingServerCredentials*>(self);
    const std::uint64_t generation = credentials.certificate_provider_.generation();
    if (generation == credentials.fetched_generation_) return GRPC_SSL_CERTIFICATE_CONFIG_RELOAD_UNCHANGED;
    const tls::Material material = credentials.certificate_provider_.current();
    const grpc_ssl_pem_key_cert_pair pair{material.key.c_str(), material.certificate.c_str()};
    // gRPC 1.51 aborts if a fetched configuration has no roots, even when they are not used. Without client
    // certificates the roots are never read, so the server's own certificate serves as a placeholder.
    const std::string& roots = material.roots.empty() ? material.certificate : material.roots;
    *out = grpc_ssl_server_certificate_config_create(roots.c_str(), &pair, 1);
    if (*out == nullptr) return GRPC_SSL_CERTIFICATE_CONFIG_RELOAD_FAIL;
    credentials.fetched_generation_ = generation;
    return GRPC_SSL_CERTIFICATE_CONFIG_RELOAD_NEW;
  }
  const tls::CertificateProvider& certificate_provider_;
  std::uint64_t fetched_generation_ = 0;
  grpc_server_credentials* credentials_;
};

void log_grpc_error(gpr_log_func_args* args) {
  if (args->severity != GPR_LOG_SEVERITY_ERROR) return;
  std::string_view message = args->message;
  log::event(log::Level::warn,
             message.find("andshake") != std::string_view::npos ? "handshake_failed" : "grpc",
             {{"why", message}});
  // gRPC aborts the process after this message; counts of collapsed events that are not yet written would be
  // lost.
  if (message.starts_with("assertion failed")) log::flush();
}

}  // namespace

std::shared_ptr<grpc::ServerCredentials> server_credentials(
    const tls::CertificateProvider& certificate_provider, bool require_client_certificate) {
  return std::make_shared<FetchingServerCredentials>(certificate_provider, require_client_certificate);
}

std::shared_ptr<grpc::ChannelCredentials> channel_credentials(const tls::Material& material) {
  return grpc::SslCredentials({material.roots, material.key, material.certificate});
}

std::string channel_target(const config::HostPort& address) {
  return (address.host.find(':') != std::string::npos ? "ipv6:" : "ipv4:") +
         config::host_port(address.host, address.port);
}

void redirect_grpc_log() { gpr_set_log_function(&log_grpc_error); }

}  // namespace flintglade::kserve
