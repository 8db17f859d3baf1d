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

constexpr std::size_t kMostAhead = 1u << 20;     // bytes kept beyond a gap in one conversation
constexpr std::size_t kMostRequests = 1u << 20;  // of one file
constexpr std::uint8_t kSyn = 0x02;

std::uint32_t be(const std::uint8_t* p, int bytes) {
  std::uint32_t value = 0;
  for (int i = 0; i < bytes; ++i) value = value << 8 | p[i];
  return value;
}

struct Segment {
  Conversation conversation;  // client: the sender
  std::uint32_t sequence = 0;
  bool syn = false;
  std::string_view payload;
};

// Where the IPv4 header starts; nothing for other protocols and other kinds of link.
std::optional<std::size_t> ip_offset(int link, const std::uint8_t* data, std::size_t size) {
  switch (link) {
    case DLT_RAW:
    case DLT_IPV4:
      return 0;
    case DLT_NULL:
    case DLT_LOOP:
      return 4;
    case DLT_LINUX_SLL:
      if (size >= 16 && be(data + 14, 2) == 0x0800) return 16;
      return {};
    case DLT_EN10MB: {
      std::size_t at = 12;
      if (size >= 18 && be(data + at, 2) == 0x8100) at += 4;  // a VLAN tag
      if (size >= at + 2 && be(data + at, 2) == 0x0800) return at + 2;
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
  const std::size_t have = size - *offset, head = (ip[0] & 0x0f) * 4u;
  const std::size_t total = be(ip + 2, 2);
  if (ip[0] >> 4 != 4 || ip[9] != 6 || head < 20 || total < head + 20 || total > have) return false;
  if ((be(ip + 6, 2) & 0x3fff) != 0) return false;  // a fragment
  const std::uint8_t* tcp = ip + head;
  const std::size_t tcp_head = (tcp[12] >> 4) * 4u;
  if (tcp_head < 20 || total < head + tcp_head) return false;
  std::copy_n(ip + 12, 4, out.conversation.client.address.begin());
  std::copy_n(ip + 16, 4, out.conversation.server.address.begin());
  out.conversation.client.port = static_cast<std::uint16_t>(be(tcp, 2));
  out.conversation.server.port = static_cast<std::uint16_t>(be(tcp + 2, 2));
  out.sequence = be(tcp + 4, 4);
  out.syn = (tcp[13] & kSyn) != 0;
  out.payload = {reinterpret_cast<const char*>(tcp + tcp_head), total - head - tcp_head};
  return true;
}

// One direction of a connection, put back in order, and the requests in it.
class Direction {
 public:
  void add(const Segment& s, Micros at, const config::Labels& labels, ReadResult& out) {
    if (s.syn) {
      *this = {};
      next_ = s.sequence + 1;
      return;
    }
    if (s.payload.empty() || broken_) return;
    if (!next_) next_ = s.sequence;  // the file starts in the middle of it
    ahead_.emplace_back(s.sequence, std::string(s.payload));
    ahead_bytes_ += s.payload.size();
    for (bool moved = true; moved;) {
      moved = false;
      for (auto it = ahead_.begin(); it != ahead_.end();) {
        const auto before = static_cast<std::int32_t>(*next_ - it->first);  // bytes already seen
        if (before < 0) {
          ++it;
          continue;
        }
        const std::string bytes = std::move(it->second);
        ahead_bytes_ -= bytes.size();
        it = ahead_.erase(it);
        if (static_cast<std::size_t>(before) >= bytes.size()) continue;  // sent again
        *next_ += static_cast<std::uint32_t>(bytes.size() - before);
        feed(std::string_view(bytes).substr(before), s.conversation, at, labels, out);
        moved = true;
      }
    }
    if (ahead_bytes_ > kMostAhead) broken_ = true;  // a lost segment: what follows cannot be read
  }

 private:
  void feed(std::string_view bytes, const Conversation& conversation, Micros at, const config::Labels& labels,
            ReadResult& out) {
    const auto room = buffer_.prepare(bytes.size());
    std::copy(bytes.begin(), bytes.end(), static_cast<char*>(room.data()));
    buffer_.commit(bytes.size());
    while (buffer_.size() > 0 && !broken_) {
      if (!parser_) {
        parser_ = std::make_unique<Parser>();
        parser_->eager(true);
        parser_->body_limit(http::kLargestBody);
      }
      boost::system::error_code ec;
      buffer_.consume(parser_->put(buffer_.data(), ec));
      if (ec && ec != beast_http::error::need_more) {
        broken_ = true;  // the other direction, or no HTTP at all
      } else if (parser_->is_done()) {
        http::Request request = parser_->release();
        parser_.reset();
        if (http::path_of(request.target()) != http::kCompletionsPath) continue;
        std::ostringstream head;
        head << request.base();
        CapturedRequest captured{at, conversation, head.str(), {}};
        if (out.requests.size() < kMostRequests &&
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

  using Parser = beast_http::request_parser<beast_http::string_body>;
  std::optional<std::uint32_t> next_;
  std::vector<std::pair<std::uint32_t, std::string>> ahead_;
  std::size_t ahead_bytes_ = 0;
  bool broken_ = false;
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
  int got = 0;
  while ((got = pcap_next_ex(file.get(), &header, &data)) == 1) {
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
  if (got == PCAP_ERROR) return "pcap: " + std::string(pcap_geterr(file.get()));
  return "";
}

}  // namespace flintglade::pcap
