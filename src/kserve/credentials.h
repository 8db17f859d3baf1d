// gRPC's own credentials, from material that may change while the server runs.
#pragma once

#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>

#include <memory>
#include <string>
#include <vector>

#include "config/config.h"
#include "tls/certificate_provider.h"

namespace flintglade::kserve {

// Each handshake takes what the provider has in force then; connections that are up keep what they began
// with. With clients_need_one, a client without a certificate by one of the roots is refused in its
// handshake. The provider must outlive the server.
std::shared_ptr<grpc::ServerCredentials> server_credentials(
    const tls::CertificateProvider& certificate_provider, bool clients_need_one);

std::shared_ptr<grpc::ChannelCredentials> channel_credentials(const tls::Material& material);

// What gRPC calls a numeric address: no name is looked up.
std::string channel_target(const config::HostPort& at);

// gRPC tells of handshakes that failed by its own log only. From here on its errors are events of ours.
void log_through_ours();

}  // namespace flintglade::kserve
