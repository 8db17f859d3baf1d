// KServe clients ask for the index of the model repository, which this router does not serve, and leave.
#include "kserve_site.h"

using namespace rig;

namespace {

constexpr int kMostClients = 40;  // one after another

void ask_for_index(int port, bool leaves) {
  const int fd = connect_to(port);
  if (fd < 0) return;
  const std::string fields = field(":method", "POST") + field(":scheme", "http") +
                             field(":path", "/inference.GRPCInferenceService/RepositoryIndex") +
                             field(":authority", "backend.local") +
                             field("content-type", "application/grpc") + field("te", "trailers");
  send_all(fd, kPreface + frame(kSettings, 0, 0, "") + frame(kHeaders, kEndHeaders, 1, fields) +
                   frame(kData, kEndStream, 1, grpc_message("")));
  std::string buffer;
  Frame got;
  int status = -1;
  for (const double until = now() + 2; !leaves && status < 0 && read_frame(fd, buffer, until - now(), got);) {
    const std::size_t at = got.payload.find("grpc-status");
    if (got.type == kHeaders && at != std::string::npos) status = std::atoi(got.payload.c_str() + at + 12);
  }
  RIG_NOTE("grpc client: asked for RepositoryIndex, %s", leaves ? "and has left" : "and waited");
  if (!leaves) RIG_NOTE("grpc client: status %d", status);
  ::close(fd);
}

}  // namespace

int main(int argc, char** argv) {
  const Case run(argc, argv);
  KServeSite site(run);
  for (int i = 0; i < kMostClients && !site.router.ended(); ++i) {
    ask_for_index(site.kserve_port, run.trouble);
    sleep_for(0.1);
  }
  site.end();
}
