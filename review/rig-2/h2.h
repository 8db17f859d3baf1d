// A client and a model replica of KServe v2 over gRPC, with as much of HTTP/2 (RFC 9113) and HPACK (RFC 7541)
// as they need: header fields are sent as literals, and those that come are not decoded.
#pragma once

#include "rig.h"

namespace rig {

enum FrameType {
  kData = 0,
  kHeaders = 1,
  kResetStream = 3,
  kSettings = 4,
  kPing = 6,
  kGoAway = 7,
  kWindowUpdate = 8
};
constexpr int kEndStream = 1, kAck = 1, kEndHeaders = 4;
inline const std::string kPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

inline std::string frame(int type, int flags, int stream, const std::string& payload) {
  std::string out;
  for (const int shift : {16, 8, 0}) out += static_cast<char>(payload.size() >> shift);
  out += static_cast<char>(type);
  out += static_cast<char>(flags);
  for (const int shift : {24, 16, 8, 0}) out += static_cast<char>(stream >> shift);
  return out + payload;
}

// A literal field that is not indexed; name and value are shorter than 127 bytes.
inline std::string field(const std::string& name, const std::string& value) {
  return std::string(1, '\0') + static_cast<char>(name.size()) + name + static_cast<char>(value.size()) +
         value;
}

inline std::string grpc_message(const std::string& bytes) {
  std::string out(1, '\0');
  for (const int shift : {24, 16, 8, 0}) out += static_cast<char>(bytes.size() >> shift);
  return out + bytes;
}

// The encoding of a protobuf field that holds text.
inline std::string proto_text(int number, const std::string& text) {
  return std::string(1, static_cast<char>(number << 3 | 2)) + static_cast<char>(text.size()) + text;
}

struct Frame {
  int type = 0, flags = 0, stream = 0;
  std::string payload;
};

// False if the connection has ended or nothing came within the time.
inline bool read_frame(int fd, std::string& buffer, double seconds, Frame& out) {
  const double until = now() + seconds;
  const auto byte = [&buffer](std::size_t at) { return static_cast<unsigned char>(buffer[at]); };
  for (;;) {
    if (buffer.size() >= 9) {
      const std::size_t size = static_cast<std::size_t>(byte(0)) << 16 | byte(1) << 8 | byte(2);
      if (buffer.size() >= 9 + size) {
        out.type = byte(3);
        out.flags = byte(4);
        out.stream = (byte(5) & 0x7f) << 24 | byte(6) << 16 | byte(7) << 8 | byte(8);
        out.payload = buffer.substr(9, size);
        buffer.erase(0, 9 + size);
        return true;
      }
    }
    if (read_more(fd, buffer, until - now()) != 1) return false;
  }
}

// Answers each ModelInfer with one message and status 0.
class GrpcReplica {
 public:
  void start(int port = 0) {
    server_.start(port, [this](int fd, int) { serve(fd); });
  }
  int port() const { return server_.port(); }
  int calls() const { return calls_; }

 private:
  void serve(int fd) {
    std::string buffer;
    while (buffer.size() < kPreface.size()) {
      if (read_more(fd, buffer, 30) != 1) return;
    }
    buffer.erase(0, kPreface.size());
    if (!send_all(fd, frame(kSettings, 0, 0, ""))) return;
    Frame got;
    while (read_frame(fd, buffer, 60, got)) {
      if (got.type == kSettings && (got.flags & kAck) == 0) send_all(fd, frame(kSettings, kAck, 0, ""));
      if (got.type == kPing && (got.flags & kAck) == 0) send_all(fd, frame(kPing, kAck, 0, got.payload));
      if (got.type != kData || (got.flags & kEndStream) == 0) continue;
      ++calls_;
      RIG_NOTE("grpc replica: got a call");
      send_all(fd, frame(kHeaders, kEndHeaders, got.stream,
                         field(":status", "200") + field("content-type", "application/grpc")) +
                       frame(kData, 0, got.stream, grpc_message(proto_text(1, "m"))) +
                       frame(kHeaders, kEndHeaders | kEndStream, got.stream, field("grpc-status", "0")));
    }
  }
  Server server_;
  std::atomic<int> calls_ = 0;
};

struct GrpcAnswer {
  int status = -1;  // -1: none
  bool closed = false;
};

// One ModelInfer on a connection of its own, with further metadata.
inline GrpcAnswer grpc_infer(int port, const std::string& id,
                             const std::vector<std::pair<std::string, std::string>>& metadata,
                             double patience) {
  GrpcAnswer answer;
  const int fd = connect_to(port);
  if (fd < 0) return answer;
  std::string fields = field(":method", "POST") + field(":scheme", "http") +
                       field(":path", "/inference.GRPCInferenceService/ModelInfer") +
                       field(":authority", "backend.local") + field("content-type", "application/grpc") +
                       field("te", "trailers");
  for (const auto& [name, value] : metadata) fields += field(name, value);
  send_all(fd, kPreface + frame(kSettings, 0, 0, "") + frame(kHeaders, kEndHeaders, 1, fields) +
                   frame(kData, kEndStream, 1, grpc_message(proto_text(1, "m") + proto_text(3, id))));
  RIG_NOTE("grpc client: sent %s", id.c_str());
  std::string buffer;
  Frame got;
  for (const double until = now() + patience; answer.status < 0;) {
    if (!read_frame(fd, buffer, until - now(), got)) {
      answer.closed = now() < until;
      break;
    }
    if (got.type == kSettings && (got.flags & kAck) == 0) send_all(fd, frame(kSettings, kAck, 0, ""));
    if (got.type == kPing && (got.flags & kAck) == 0) send_all(fd, frame(kPing, kAck, 0, got.payload));
    const std::size_t at = got.payload.find("grpc-status");
    if (got.type == kHeaders && at != std::string::npos)
      answer.status = std::atoi(got.payload.c_str() + at + 12);
  }
  RIG_NOTE("grpc client: %s: status %d%s", id.c_str(), answer.status,
           answer.closed ? ", connection closed" : "");
  ::close(fd);
  return answer;
}

}  // namespace rig
