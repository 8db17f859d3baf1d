// A KServe client's `tracestate` has a tab between its two members.
#include "kserve_site.h"

using namespace rig;

int main(int argc, char** argv) {
  const Case run(argc, argv);
  KServeSite site(run);
  auto metadata = sound_metadata();
  metadata.emplace_back("tracestate", "rojo=00f067aa0ba902b7, congo=t61rcWkgMzE");
  const GrpcAnswer sound = grpc_infer(site.kserve_port, "call-1", metadata, 5);
  if (run.trouble) metadata.back().second = "rojo=00f067aa0ba902b7,\tcongo=t61rcWkgMzE";
  const GrpcAnswer answer = grpc_infer(site.kserve_port, "call-2", metadata, 5);
  RIG_NOTE("status of the sound call %d, of the second call %d", sound.status, answer.status);
  if (sound.status != 0) could_not_run("the sound call was not served");
  site.end();
}
