// A replica that speaks HTTP/2 frame by frame (libnghttp2), for what no gRPC server would do. Kinds, with N
// messages first:
//   h2.rst N [code=C]         RST_STREAM with an error code of RFC 9113, 7 (8: CANCEL)
//   h2.trailers N [status=S]  trailers with a grpc-status; none before them: trailers only
//   h2.close N                the connection ends
//   h2.goaway N               GOAWAY that takes this stream in, then N messages more and OK
//   h2.going                  GOAWAY that leaves this stream out, and no answer
//   h2.big                    one message of 300 KiB
//   h2.torn                   a message whose length prefix says more than there is, then OK
//   h2.silent                 not a word any more, no answer to a ping either
#pragma once

#include <memory>
#include <string>

#include "stand_ins.h"

namespace flintglade::tests {

std::unique_ptr<Replica> make_h2_replica(const Words& words);

}  // namespace flintglade::tests
