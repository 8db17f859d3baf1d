#include "pcap/reader.h"

#include <pcap/pcap.h>

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string_view>

#include "http/request.h"

namespace flintglade::pcap {
namespace {

namespace beast_http = boost::beast::http;
using core::Micros;

constexpr std::size_t kMaxReorderBytes = 1u << 20;  // buffered behind a gap in one direction
constexpr std::size_t kMaxRequests = 1u << 20;      // limit for one file
constexpr std::uint8_t kSyn = 0x02;

std::uint32_t big_endian(const std::uint8_t* data, int size) {
  std::uint32_t value = 0;
  for (int i = 0; i < size; ++i) value = value << 8 | data[i];
  return value;
}

struct Segment {
  Conversation conversation;  // client is the sender of this segment, in either direction
  std::uint32_t sequence = 0;
  bool syn = false;
  std::string_view payload;
};

// Offset of the IPv4 header in a frame; empty for other protocols and unsupported link types.
std::optional<std::size_t> ip_offset(int link, const std::uint8_t* data, std::size_t size) {
  switch (link) {
    case DLT_RAW:
    case DLT_IPV4:
      return 0;
    case DLT_NULL:
    case DLT_LOOP:
      return 4;
    case DLT_LINUX_SLL:
      if (size >= 16 && big_endian(data + 14, 2) == 0x0800) return 16;
      return {};
    case DLT_EN10MB: {
      std::size_t at = 12;
      if (size >= 18 && big_endian(data + at, 2) == 0x8100) at += 4;  // skip the VLAN tag
      if (size >= at + 2 && big_endian(data + at, 2) == 0x0800) return at + 2;
      return {};
    }
    default:
      return {};
  }
}

bool parse_segment(int link, const std::uint8_t* data, std::size_t size, Segment& out) {
  const auto offset = ip_offset(link, data, size);
  if (!offset || size < *offset + 20) return false;
  const std::uint8_t* ip = data + *offset;
  const std::size_t available = size - *offset, ip_header_size = (ip[0] & 0x0f) * 4u;
  const std::size_t ip_size = big_endian(ip + 2, 2);
  if (ip[0] >> 4 != 4 || ip[9] != 6 || ip_header_size < 20 || ip_size < ip_header_size + 20 ||
      ip_size > available)
    return false;
  if ((big_endian(ip + 6, 2) & 0x3fff) != 0) return false;  // fragments are not reassembled
  const std::uint8_t* tcp = ip + ip_header_size;
  const std::size_t tcp_header_size = (tcp[12] >> 4) * 4u;
  if (tcp_header_size < 20 || ip_size < ip_header_size + tcp_header_size) return false;
  std::copy_n(ip + 12, 4, out.conversation.client.address.begin());
  std::copy_n(ip + 16, 4, out.conversation.server.address.begin());
  out.conversation.client.port = static_cast<std::uint16_t>(big_endian(tcp, 2));
  out.conversation.server.port = static_cast<std::uint16_t>(big_endian(tcp + 2, 2));
  out.sequence = big_endian(tcp + 4, 4);
  out.syn = (tcp[13] & kSyn) != 0;
  out.payload = {reinterpret_cast<const char*>(tcp + tcp_header_size),
                 ip_size - ip_header_size - tcp_header_size};
  return true;
}

// Reassembles one direction of a TCP connection and parses the requests in it.
class Direction {
 public:
  void add(const Segment& segment, Micros at, const config::Labels& labels, ReadResult& out) {
    if (segment.syn) {
      *this = {};
      next_sequence_ = segment.sequence + 1;
      return;
    }
    if (segment.payload.empty() || unreadable_) return;
    // Without a SYN, the capture starts in the middle of the connection.
    if (!next_sequence_) next_sequence_ = segment.sequence;
    out_of_order_.emplace_back(segment.sequence, std::string(segment.payload));
    out_of_order_bytes_ += segment.payload.size();
    for (bool progressed = true; progressed;) {
      progressed = false;
      for (auto pending = out_of_order_.begin(); pending != out_of_order_.end();) {
        // Bytes of this segment that were read before; negative behind a gap.
        const auto already_read = static_cast<std::int32_t>(*next_sequence_ - pending->first);
        if (already_read < 0) {
          ++pending;
          continue;
        }
        const std::string bytes = std::move(pending->second);
        out_of_order_bytes_ -= bytes.size();
        pending = out_of_order_.erase(pending);
        if (static_cast<std::size_t>(already_read) >= bytes.size()) continue;  // a retransmission
        *next_sequence_ += static_cast<std::uint32_t>(bytes.size() - already_read);
        feed(std::string_view(bytes).substr(already_read), segment.conversation, at, labels, out);
        progressed = true;
      }
    }
    // A segment is missing from the capture: the bytes behind the gap cannot be parsed.
    if (out_of_order_bytes_ > kMaxReorderBytes) unreadable_ = true;
  }

 private:
  void feed(std::string_view bytes, const Conversation& conversation, Micros at, const config::Labels& labels,
            ReadResult& out) {
    const auto room = buffer_.prepare(bytes.size());
    std::copy(bytes.begin(), bytes.end(), static_cast<char*>(room.data()));
    buffer_.commit(bytes.size());
    while (buffer_.size() > 0 && !unreadable_) {
      if (!parser_) {
        parser_ = std::make_unique<Parser>();
        parser_->eager(true);
        parser_->body_limit(http::kLargestBody);
      }
      boost::system::error_code ec;
      buffer_.consume(parser_->put(buffer_.data(), ec));
      if (ec && ec != beast_http::error::need_more) {
        unreadable_ = true;  // the direction with the responses, or not HTTP
      } else if (parser_->is_done()) {
        http::Request request = parser_->release();
        parser_.reset();
        if (http::path_of(request.target()) != http::kCompletionsPath) continue;
        std::ostringstream head;
        head << request.base();
        CapturedRequest captured{at, conversation, head.str(), {}};
        if (out.requests.size() < kMaxRequests &&
            http::to_core_request(std::move(request), labels, captured.rpc).empty()) {
          out.requests.push_back(std::move(captured));
        } else {
          ++out.malformed;
        }
      } else if (ec) {
        return;
      }
    }
  }

  using Parser = beast_http::request_parser<beast_http::string_body, http::Fields::allocator_type>;
  std::optional<std::uint32_t> next_sequence_;
  std::vector<std::pair<std::uint32_t, std::string>> out_of_order_;
  std::size_t out_of_order_bytes_ = 0;
  bool unreadable_ = false;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<Parser> parser_;
};

}  // namespace

std::string read_requests(const std::string& path, const config::Labels& labels, ReadResult& out) {
  char error[PCAP_ERRBUF_SIZE] = "";
  const std::unique_ptr<pcap_t, decltype(&pcap_close)> file(pcap_open_offline(path.c_str(), error),
                                                            &pcap_close);
  if (!file) return "pcap: " + std::string(error);
  const int link = pcap_datalink(file.get());
  std::map<Conversation, Direction> directions;
  std::optional<Micros> first;
  pcap_pkthdr* header = nullptr;
  const u_char* data = nullptr;
  int read_status = 0;
  while ((read_status = pcap_next_ex(file.get(), &header, &data)) == 1) {
    ++out.packets;
    const Micros at = header->ts.tv_sec * core::kSecond + header->ts.tv_usec;
    if (!first) first = at;
    Segment segment;
    if (!parse_segment(link, data, header->caplen, segment)) {
      ++out.skipped;
      continue;
    }
    directions[segment.conversation].add(segment, std::max<Micros>(0, at - *first), labels, out);
  }
  if (read_status == PCAP_ERROR) return "pcap: " + std::string(pcap_geterr(file.get()));
  return "";
}

}  // namespace flintglade::pcap
