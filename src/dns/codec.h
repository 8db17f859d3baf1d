// Encodes and decodes DNS messages (RFC 1035, 2782, 6891). The library ldns handles the wire format. Names
// are in presentation format, in lower case and with a trailing dot.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flintglade::dns {

enum class Type : std::uint16_t { a = 1, ns = 2, cname = 5, soa = 6, aaaa = 28, srv = 33, other = 0 };
enum class Rcode : std::uint8_t { ok = 0, formerr = 1, servfail = 2, nxdomain = 3, notimp = 4, refused = 5 };

struct Record {
  std::string owner;
  Type type = Type::other;
  std::uint32_t ttl = 0;                             // seconds, as on the wire
  std::string value;                                 // A, AAAA: the address; SRV, CNAME: the target
  std::uint16_t priority = 0, weight = 0, port = 0;  // SRV
  std::uint32_t minimum = 0;                         // SOA
  bool operator==(const Record&) const = default;
};

struct Message {
  std::uint16_t id = 0;
  bool is_response = false;  // QR
  bool truncated = false;    // TC
  bool edns = false;
  std::uint8_t rcode = 0;
  std::string question_name;
  std::uint16_t question_type = 0;  // a number, as Type does not have all types
  std::vector<Record> answers, authority, additional;
};

// A query with RD set, and with an OPT record that advertises udp_size unless it is 0. Empty if the name is
// not a valid domain name.
std::string encode_query(std::uint16_t id, const std::string& name, Type type, std::uint16_t udp_size);

// Returns nothing unless the bytes are a complete message with one question of class IN. Records of other
// classes and types are skipped, and so are those beyond max_records in a section. Of a truncated message
// only the header and the question are read, because its records may be incomplete.
std::optional<Message> decode(std::string_view bytes, std::size_t max_records);

// Encodes any message; used by the stand-in server and the tests.
std::string encode(const Message& message);

// The name in the form described above; empty if it is not a valid domain name.
std::string canonical(const std::string& name);
// Whether name is equal to domain or below it.
bool within(std::string_view name, std::string_view domain);

}  // namespace flintglade::dns
