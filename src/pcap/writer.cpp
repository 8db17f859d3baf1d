#include "pcap/writer.h"

#include <pcap/pcap.h>

#include <algorithm>
#include <vector>

namespace flintglade::pcap {
namespace {

constexpr std::size_t kMaxSegmentPayload = 1448;  // the usual payload limit of a TCP segment on Ethernet
constexpr std::size_t kIpHeaderSize = 20, kTcpHeaderSize = 20;
constexpr std::uint8_t kFin = 0x01, kSyn = 0x02, kRst = 0x04, kPsh = 0x08, kAck = 0x10;

void put(std::uint8_t* destination, std::uint32_t value, int size) {
  for (int i = size - 1; i >= 0; --i, value >>= 8) destination[i] = static_cast<std::uint8_t>(value);
}

std::uint32_t word_sum(const std::uint8_t* data, std::size_t size) {
  std::uint32_t total = 0;
  for (std::size_t i = 0; i < size; ++i) total += i % 2 == 0 ? data[i] << 8 : data[i];
  return total;
}
std::uint16_t checksum(std::uint32_t total) {
  while (total >> 16 != 0) total = (total & 0xffff) + (total >> 16);
  return static_cast<std::uint16_t>(~total);
}

}  // namespace

void Writer::HandleCloser::operator()(::pcap* p) const { pcap_close(p); }
void Writer::HandleCloser::operator()(::pcap_dumper* p) const { pcap_dump_close(p); }

Writer::Writer() = default;
Writer::~Writer() = default;

std::string Writer::open(const std::string& path) {
  file_.reset(pcap_open_dead(DLT_RAW, 65535));
  if (!file_) return "pcap: no memory for " + path;
  dump_.reset(pcap_dump_open(file_.get(), path.c_str()));
  return dump_ ? "" : "pcap: " + std::string(pcap_geterr(file_.get()));
}

Writer::Exchange Writer::begin(const Conversation& conversation, core::Micros at) {
  Exchange exchange{conversation, 1, 1};
  packet(conversation.client, conversation.server, 0, 0, kSyn, {}, at);
  packet(conversation.server, conversation.client, 0, 1, kSyn | kAck, {}, at);
  packet(conversation.client, conversation.server, 1, 1, kAck, {}, at);
  return exchange;
}

void Writer::from_client(Exchange& exchange, std::string_view bytes, core::Micros at) {
  payload(exchange.conversation.client, exchange.conversation.server, exchange.client_next,
          exchange.server_next, bytes, at);
}
void Writer::from_server(Exchange& exchange, std::string_view bytes, core::Micros at) {
  payload(exchange.conversation.server, exchange.conversation.client, exchange.server_next,
          exchange.client_next, bytes, at);
}

void Writer::end(Exchange& exchange, bool complete, core::Micros at) {
  const Conversation& conversation = exchange.conversation;
  packet(conversation.server, conversation.client, exchange.server_next, exchange.client_next,
         (complete ? kFin : kRst) | kAck, {}, at);
  if (complete)
    packet(conversation.client, conversation.server, exchange.client_next, exchange.server_next + 1,
           kFin | kAck, {}, at);
}

void Writer::payload(const SocketAddress& from, const SocketAddress& to, std::uint32_t& next,
                     std::uint32_t acknowledged, std::string_view bytes, core::Micros at) {
  for (std::size_t offset = 0; offset < bytes.size(); offset += kMaxSegmentPayload) {
    const std::string_view segment = bytes.substr(offset, kMaxSegmentPayload);
    packet(from, to, next, acknowledged, kPsh | kAck, segment, at);
    next += static_cast<std::uint32_t>(segment.size());
  }
}

void Writer::packet(const SocketAddress& from, const SocketAddress& to, std::uint32_t sequence,
                    std::uint32_t acknowledged, std::uint8_t flags, std::string_view bytes, core::Micros at) {
  std::vector<std::uint8_t> frame(kIpHeaderSize + kTcpHeaderSize + bytes.size());
  std::uint8_t* ip = frame.data();
  std::uint8_t* tcp = ip + kIpHeaderSize;
  ip[0] = 0x45;
  put(ip + 2, static_cast<std::uint32_t>(frame.size()), 2);
  ip[8] = 64;
  ip[9] = 6;
  std::copy(from.address.begin(), from.address.end(), ip + 12);
  std::copy(to.address.begin(), to.address.end(), ip + 16);
  put(ip + 10, checksum(word_sum(ip, kIpHeaderSize)), 2);
  put(tcp, from.port, 2);
  put(tcp + 2, to.port, 2);
  put(tcp + 4, sequence, 4);
  put(tcp + 8, acknowledged, 4);
  tcp[12] = (kTcpHeaderSize / 4) << 4;
  tcp[13] = flags;
  put(tcp + 14, 65535, 2);
  std::copy(bytes.begin(), bytes.end(), tcp + kTcpHeaderSize);
  const std::size_t tcp_size = kTcpHeaderSize + bytes.size();
  put(tcp + 16,
      checksum(word_sum(ip + 12, 8) + 6 + static_cast<std::uint32_t>(tcp_size) + word_sum(tcp, tcp_size)), 2);
  pcap_pkthdr header{};
  header.ts.tv_sec = at / core::kSecond;
  header.ts.tv_usec = at % core::kSecond;
  header.caplen = header.len = static_cast<bpf_u_int32>(frame.size());
  pcap_dump(reinterpret_cast<u_char*>(dump_.get()), &header, frame.data());
}

}  // namespace flintglade::pcap
