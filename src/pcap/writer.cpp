#include "pcap/writer.h"

#include <pcap/pcap.h>

#include <algorithm>
#include <vector>

namespace flintglade::pcap {
namespace {

constexpr std::size_t kSegment = 1448;
constexpr std::size_t kIpHead = 20, kTcpHead = 20;
constexpr std::uint8_t kFin = 0x01, kSyn = 0x02, kRst = 0x04, kPsh = 0x08, kAck = 0x10;

void put(std::uint8_t* at, std::uint32_t value, int bytes) {
  for (int i = bytes - 1; i >= 0; --i, value >>= 8) at[i] = static_cast<std::uint8_t>(value);
}

std::uint32_t sum(const std::uint8_t* data, std::size_t size) {
  std::uint32_t total = 0;
  for (std::size_t i = 0; i < size; ++i) total += i % 2 == 0 ? data[i] << 8 : data[i];
  return total;
}
std::uint16_t checksum(std::uint32_t total) {
  while (total >> 16 != 0) total = (total & 0xffff) + (total >> 16);
  return static_cast<std::uint16_t>(~total);
}

}  // namespace

void Writer::Close::operator()(::pcap* p) const { pcap_close(p); }
void Writer::Close::operator()(::pcap_dumper* p) const { pcap_dump_close(p); }

Writer::Writer() = default;
Writer::~Writer() = default;

std::string Writer::open(const std::string& path) {
  file_.reset(pcap_open_dead(DLT_RAW, 65535));
  if (!file_) return "pcap: no memory for " + path;
  dump_.reset(pcap_dump_open(file_.get(), path.c_str()));
  return dump_ ? "" : "pcap: " + std::string(pcap_geterr(file_.get()));
}

Writer::Exchange Writer::begin(const Conversation& conversation, core::Micros at) {
  Exchange e{conversation, 1, 1};
  packet(conversation.client, conversation.server, 0, 0, kSyn, {}, at);
  packet(conversation.server, conversation.client, 0, 1, kSyn | kAck, {}, at);
  packet(conversation.client, conversation.server, 1, 1, kAck, {}, at);
  return e;
}

void Writer::from_client(Exchange& e, std::string_view bytes, core::Micros at) {
  payload(e.conversation.client, e.conversation.server, e.client_next, e.server_next, bytes, at);
}
void Writer::from_server(Exchange& e, std::string_view bytes, core::Micros at) {
  payload(e.conversation.server, e.conversation.client, e.server_next, e.client_next, bytes, at);
}

void Writer::end(Exchange& e, bool whole, core::Micros at) {
  const Conversation& c = e.conversation;
  packet(c.server, c.client, e.server_next, e.client_next, (whole ? kFin : kRst) | kAck, {}, at);
  if (whole) packet(c.client, c.server, e.client_next, e.server_next + 1, kFin | kAck, {}, at);
}

void Writer::payload(const Side& from, const Side& to, std::uint32_t& next, std::uint32_t acknowledged,
                     std::string_view bytes, core::Micros at) {
  for (std::size_t done = 0; done < bytes.size(); done += kSegment) {
    const std::string_view piece = bytes.substr(done, kSegment);
    packet(from, to, next, acknowledged, kPsh | kAck, piece, at);
    next += static_cast<std::uint32_t>(piece.size());
  }
}

void Writer::packet(const Side& from, const Side& to, std::uint32_t sequence, std::uint32_t acknowledged,
                    std::uint8_t flags, std::string_view bytes, core::Micros at) {
  std::vector<std::uint8_t> frame(kIpHead + kTcpHead + bytes.size());
  std::uint8_t* ip = frame.data();
  std::uint8_t* tcp = ip + kIpHead;
  ip[0] = 0x45;
  put(ip + 2, static_cast<std::uint32_t>(frame.size()), 2);
  ip[8] = 64;
  ip[9] = 6;
  std::copy(from.address.begin(), from.address.end(), ip + 12);
  std::copy(to.address.begin(), to.address.end(), ip + 16);
  put(ip + 10, checksum(sum(ip, kIpHead)), 2);
  put(tcp, from.port, 2);
  put(tcp + 2, to.port, 2);
  put(tcp + 4, sequence, 4);
  put(tcp + 8, acknowledged, 4);
  tcp[12] = (kTcpHead / 4) << 4;
  tcp[13] = flags;
  put(tcp + 14, 65535, 2);
  std::copy(bytes.begin(), bytes.end(), tcp + kTcpHead);
  const std::size_t tcp_size = kTcpHead + bytes.size();
  put(tcp + 16, checksum(sum(ip + 12, 8) + 6 + static_cast<std::uint32_t>(tcp_size) + sum(tcp, tcp_size)), 2);
  pcap_pkthdr header{};
  header.ts.tv_sec = at / core::kSecond;
  header.ts.tv_usec = at % core::kSecond;
  header.caplen = header.len = static_cast<bpf_u_int32>(frame.size());
  pcap_dump(reinterpret_cast<u_char*>(dump_.get()), &header, frame.data());
}

}  // namespace flintglade::pcap
