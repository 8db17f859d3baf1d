// gRPC credentials built from certificates and keys that may be replaced while the server runs.
#pragma once

#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>

#include <memory>
#include <string>
#include <vector>

#include "config/config.h"
#include "tls/certificate_provider.h"

namespace flintglade::kserve {

// Each handshake uses the provider's current material; established connections keep the material they started
// with. With require_client_certificate, the handshake of a client without a certificate issued by one of the
// roots fails. The provider must outlive the server.
std::shared_ptr<grpc::ServerCredentials> server_credentials(
    const tls::CertificateProvider& certificate_provider, bool require_client_certificate);

std::shared_ptr<grpc::ChannelCredentials> channel_credentials(const tls::Material& material);

// The gRPC target for a numeric address, which gRPC does not resolve by DNS.
std::string channel_target(const config::HostPort& address);

// Writes gRPC's error messages as events to this project's log: gRPC reports failed handshakes only in its
// own log. Applies to the whole process.
void redirect_grpc_log();

}  // namespace flintglade::kserve
