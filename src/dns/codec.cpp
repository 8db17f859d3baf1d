#include "dns/codec.h"

#include <ldns/ldns.h>

#include <cstdlib>
#include <memory>

namespace flintglade::dns {
namespace {

struct LdnsDeleter {
  void operator()(ldns_pkt* packet) const { ldns_pkt_free(packet); }
  void operator()(ldns_rdf* rdf) const { ldns_rdf_deep_free(rdf); }
  void operator()(char* text) const { std::free(text); }
};
using PacketPtr = std::unique_ptr<ldns_pkt, LdnsDeleter>;
using RdfPtr = std::unique_ptr<ldns_rdf, LdnsDeleter>;

std::string to_text(const ldns_rdf* rdf) {
  if (rdf == nullptr) return "";
  const std::unique_ptr<char, LdnsDeleter> out(ldns_rdf2str(rdf));
  return out ? out.get() : "";
}
std::string to_canonical_name(const ldns_rdf* rdf) {
  if (rdf == nullptr) return "";
  const RdfPtr copy(ldns_rdf_clone(rdf));
  ldns_dname2canonical(copy.get());
  return to_text(copy.get());
}

bool decode_record(const ldns_rr* rr, Record& out) {
  if (ldns_rr_get_class(rr) != LDNS_RR_CLASS_IN) return false;
  out.owner = to_canonical_name(ldns_rr_owner(rr));
  out.ttl = ldns_rr_ttl(rr);
  const std::size_t fields = ldns_rr_rd_count(rr);
  switch (ldns_rr_get_type(rr)) {
    case LDNS_RR_TYPE_A:
    case LDNS_RR_TYPE_AAAA:
      out.type = ldns_rr_get_type(rr) == LDNS_RR_TYPE_A ? Type::a : Type::aaaa;
      if (fields != 1) return false;
      out.value = to_text(ldns_rr_rdf(rr, 0));
      return !out.value.empty();
    case LDNS_RR_TYPE_CNAME:
    case LDNS_RR_TYPE_NS:
      out.type = ldns_rr_get_type(rr) == LDNS_RR_TYPE_NS ? Type::ns : Type::cname;
      if (fields != 1) return false;
      out.value = to_canonical_name(ldns_rr_rdf(rr, 0));
      return !out.value.empty();
    case LDNS_RR_TYPE_SOA:
      out.type = Type::soa;
      if (fields != 7) return false;
      out.minimum = ldns_rdf2native_int32(ldns_rr_rdf(rr, 6));
      return true;
    case LDNS_RR_TYPE_SRV:
      out.type = Type::srv;
      if (fields != 4) return false;
      out.priority = ldns_rdf2native_int16(ldns_rr_rdf(rr, 0));
      out.weight = ldns_rdf2native_int16(ldns_rr_rdf(rr, 1));
      out.port = ldns_rdf2native_int16(ldns_rr_rdf(rr, 2));
      out.value = to_canonical_name(ldns_rr_rdf(rr, 3));
      return !out.value.empty();
    default:
      return false;
  }
}

void decode_section(const ldns_rr_list* list, std::size_t max_records, std::vector<Record>& out) {
  const std::size_t count = list == nullptr ? 0 : ldns_rr_list_rr_count(list);
  for (std::size_t i = 0; i < count && out.size() < max_records; ++i) {
    Record record;
    if (decode_record(ldns_rr_list_rr(list, i), record)) out.push_back(std::move(record));
  }
}

PacketPtr parse(const std::uint8_t* bytes, std::size_t size) {
  ldns_pkt* packet = nullptr;
  if (ldns_wire2pkt(&packet, bytes, size) != LDNS_STATUS_OK) return nullptr;
  return PacketPtr(packet);
}

std::string to_wire(const ldns_pkt* packet) {
  std::uint8_t* bytes = nullptr;
  std::size_t size = 0;
  if (ldns_pkt2wire(&bytes, packet, &size) != LDNS_STATUS_OK) return "";
  std::string out(reinterpret_cast<char*>(bytes), size);
  std::free(bytes);
  return out;
}

void append_records(ldns_pkt* packet, ldns_pkt_section section, const std::vector<Record>& records) {
  for (const Record& record : records) {
    std::string line = record.owner + " 0 IN ";
    if (record.type == Type::a) line += "A " + record.value;
    if (record.type == Type::aaaa) line += "AAAA " + record.value;
    if (record.type == Type::cname) line += "CNAME " + record.value;
    if (record.type == Type::ns) line += "NS " + record.value;
    if (record.type == Type::soa) line += "SOA ns. admin. 1 60 60 60 " + std::to_string(record.minimum);
    if (record.type == Type::srv)
      line += "SRV " + std::to_string(record.priority) + " " + std::to_string(record.weight) + " " +
              std::to_string(record.port) + " " + record.value;
    ldns_rr* rr = nullptr;
    if (ldns_rr_new_frm_str(&rr, line.c_str(), 0, nullptr, nullptr) != LDNS_STATUS_OK) continue;
    ldns_rr_set_ttl(rr, record.ttl);
    ldns_pkt_push_rr(packet, section, rr);
  }
}

}  // namespace

std::string canonical(const std::string& name) {
  const RdfPtr rdf(ldns_dname_new_frm_str(name.c_str()));
  return to_canonical_name(rdf.get());
}

bool within(std::string_view name, std::string_view domain) {
  if (domain == ".") return true;
  if (name.size() < domain.size() || name.substr(name.size() - domain.size()) != domain) return false;
  return name.size() == domain.size() || name[name.size() - domain.size() - 1] == '.';
}

std::string encode_query(std::uint16_t id, const std::string& name, Type type, std::uint16_t udp_size) {
  ldns_rdf* owner = ldns_dname_new_frm_str(name.c_str());
  if (owner == nullptr) return "";
  // Takes ownership of the name.
  const PacketPtr packet(
      ldns_pkt_query_new(owner, static_cast<ldns_rr_type>(type), LDNS_RR_CLASS_IN, LDNS_RD));
  if (!packet) return "";
  ldns_pkt_set_id(packet.get(), id);
  if (udp_size > 0) ldns_pkt_set_edns_udp_size(packet.get(), udp_size);
  return to_wire(packet.get());
}

std::optional<Message> decode(std::string_view bytes, std::size_t max_records) {
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  if (bytes.size() < LDNS_HEADER_SIZE || bytes.size() > 65535) return std::nullopt;
  Message out;
  PacketPtr packet;
  if (LDNS_TC_WIRE(data)) {
    // Its records may be cut off anywhere: setting their counts in the header to 0 makes the parser skip
    // them.
    std::string header(bytes);
    for (std::size_t i = 6; i < LDNS_HEADER_SIZE; ++i) header[i] = '\0';
    packet = parse(reinterpret_cast<const std::uint8_t*>(header.data()), header.size());
  } else {
    packet = parse(data, bytes.size());
  }
  if (!packet || ldns_pkt_get_opcode(packet.get()) != LDNS_PACKET_QUERY) return std::nullopt;
  const ldns_rr_list* questions = ldns_pkt_question(packet.get());
  if (questions == nullptr || ldns_rr_list_rr_count(questions) != 1) return std::nullopt;
  const ldns_rr* question = ldns_rr_list_rr(questions, 0);
  if (ldns_rr_get_class(question) != LDNS_RR_CLASS_IN) return std::nullopt;
  out.id = ldns_pkt_id(packet.get());
  out.is_response = ldns_pkt_qr(packet.get());
  out.truncated = ldns_pkt_tc(packet.get());
  out.edns = ldns_pkt_edns(packet.get());
  out.rcode = static_cast<std::uint8_t>(ldns_pkt_get_rcode(packet.get()));
  out.question_name = to_canonical_name(ldns_rr_owner(question));
  out.question_type = static_cast<std::uint16_t>(ldns_rr_get_type(question));
  decode_section(ldns_pkt_answer(packet.get()), max_records, out.answers);
  decode_section(ldns_pkt_authority(packet.get()), max_records, out.authority);
  decode_section(ldns_pkt_additional(packet.get()), max_records, out.additional);
  return out;
}

std::string encode(const Message& message) {
  const PacketPtr packet(ldns_pkt_new());
  ldns_pkt_set_id(packet.get(), message.id);
  ldns_pkt_set_qr(packet.get(), message.is_response);
  ldns_pkt_set_rd(packet.get(), true);
  ldns_pkt_set_ra(packet.get(), true);
  ldns_pkt_set_tc(packet.get(), message.truncated);
  ldns_pkt_set_rcode(packet.get(), message.rcode);
  if (message.edns) ldns_pkt_set_edns_udp_size(packet.get(), 1232);
  ldns_rr* question = ldns_rr_new();
  ldns_rr_set_question(question, true);
  ldns_rr_set_owner(question, ldns_dname_new_frm_str(message.question_name.c_str()));
  ldns_rr_set_type(question, static_cast<ldns_rr_type>(message.question_type));
  ldns_rr_set_class(question, LDNS_RR_CLASS_IN);
  ldns_pkt_push_rr(packet.get(), LDNS_SECTION_QUESTION, question);
  append_records(packet.get(), LDNS_SECTION_ANSWER, message.answers);
  append_records(packet.get(), LDNS_SECTION_AUTHORITY, message.authority);
  append_records(packet.get(), LDNS_SECTION_ADDITIONAL, message.additional);
  return to_wire(packet.get());
}

}  // namespace flintglade::dns
