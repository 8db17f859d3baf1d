// Writes exchanges as a pcap savefile: each conversation as the TCP segments that would have carried it.
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
  std::string open(const std::string& path);  // empty, or one line that says why it cannot be written

  // One exchange on a connection of its own. Sequence numbers are its state.
  struct Exchange {
    Conversation conversation;
    std::uint32_t client_next = 0, server_next = 0;
  };
  Exchange begin(const Conversation& conversation, core::Micros at);
  void from_client(Exchange& exchange, std::string_view bytes, core::Micros at);
  void from_server(Exchange& exchange, std::string_view bytes, core::Micros at);
  void end(Exchange& exchange, bool whole, core::Micros at);  // not whole: a reset instead of a FIN

 private:
  struct Close {
    void operator()(::pcap* p) const;
    void operator()(::pcap_dumper* p) const;
  };
  void payload(const Side& from, const Side& to, std::uint32_t& next, std::uint32_t acknowledged,
               std::string_view bytes, core::Micros at);
  void packet(const Side& from, const Side& to, std::uint32_t sequence, std::uint32_t acknowledged,
              std::uint8_t flags, std::string_view bytes, core::Micros at);
  std::unique_ptr<::pcap, Close> file_;
  std::unique_ptr<::pcap_dumper, Close> dump_;
};

}  // namespace flintglade::pcap
