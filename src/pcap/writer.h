// Writes HTTP exchanges to a pcap savefile. Each conversation is written as the TCP segments that would have
// carried it.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "core/ports.h"
#include "pcap/packets.h"

struct pcap;
struct pcap_dumper;

namespace flintglade::pcap {

class Writer {
 public:
  Writer();
  ~Writer();
  // Returns an empty string, or a one-line error when the file cannot be written.
  std::string open(const std::string& path);

  // One HTTP exchange on its own TCP connection, with the next sequence number of each direction.
  struct Exchange {
    Conversation conversation;
    std::uint32_t client_next = 0, server_next = 0;
  };
  Exchange begin(const Conversation& conversation, core::Micros at);
  void from_client(Exchange& exchange, std::string_view bytes, core::Micros at);
  void from_server(Exchange& exchange, std::string_view bytes, core::Micros at);
  // Closes the connection: with FIN when the response is complete, otherwise with RST.
  void end(Exchange& exchange, bool complete, core::Micros at);

 private:
  struct HandleCloser {
    void operator()(::pcap* p) const;
    void operator()(::pcap_dumper* p) const;
  };
  void payload(const SocketAddress& from, const SocketAddress& to, std::uint32_t& next,
               std::uint32_t acknowledged, std::string_view bytes, core::Micros at);
  void packet(const SocketAddress& from, const SocketAddress& to, std::uint32_t sequence,
              std::uint32_t acknowledged, std::uint8_t flags, std::string_view bytes, core::Micros at);
  std::unique_ptr<::pcap, HandleCloser> file_;
  std::unique_ptr<::pcap_dumper, HandleCloser> dump_;
};

}  // namespace flintglade::pcap
