#include "simulator_adapter/wire.h"

#include <gtest/gtest.h>

#include <string>

namespace flintglade::policy::wire {
namespace {

std::vector<std::uint8_t> hex(const std::string& text) {
  std::vector<std::uint8_t> bytes;
  std::string digits;
  for (char character : text) {
    if (character != ' ') digits += character;
  }
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    bytes.push_back(static_cast<std::uint8_t>(std::stoi(digits.substr(i, 2), nullptr, 16)));
  }
  return bytes;
}
std::string to_hex(std::string_view bytes) {
  static const char* kDigits = "0123456789abcdef";
  std::string out;
  for (unsigned char character : bytes) {
    out += kDigits[character >> 4];
    out += kDigits[character & 15];
  }
  return out;
}
ReplicaId replica(std::vector<std::uint8_t> bytes) {  // address and port in wire order
  return (ReplicaId{bytes[0]} | ReplicaId{bytes[1]} << 8 | ReplicaId{bytes[2]} << 16 |
          ReplicaId{bytes[3]} << 24)
             << 16 |
         (ReplicaId{bytes[4]} | ReplicaId{bytes[5]} << 8);
}

const char* kBatch =
    "6a000000 508d976e12d32040 05000000"
    "0b 04000000 03000000"
    "03 39000000 c4913a5d6fae0600 0000 0000 640ad2557c3bf091 cba145b6f34d2140 fa7e6abc7493883f "
    "107cf3d901648e2b"
    " 0000e144 00009644 00008043 01"
    "07 08000000 4d00000000000000"
    "0b 04000000 05000000"
    "06 08000000 192b6f0ea2ea0300";

TEST(Wire, ReadsTheExampleBatch) {
  const auto bytes = hex(kBatch);
  const BatchHeader header = parse_header(bytes.data());
  EXPECT_EQ(header.length, bytes.size() - kBatchHeaderSize);
  EXPECT_NEAR(header.clock, 8.412, 0.001);
  ASSERT_EQ(header.records, 5u);
  BatchReader reader(bytes.data() + kBatchHeaderSize, header.length, header.records);
  Event event;
  ASSERT_TRUE(reader.next(event));
  EXPECT_EQ(std::get<Instance>(event).index, 3u);
  ASSERT_TRUE(reader.next(event));
  const NewRequest request = std::get<NewRequest>(event);
  EXPECT_EQ(request.id, 0x0006ae6f5d3a91c4u);
  EXPECT_EQ(request.key, 0x91f03b7c55d20a64u);
  EXPECT_EQ(request.prefix_id, 0x2b8e6401d9f37c10u);
  EXPECT_NEAR(request.deadline, 8.652, 0.001);
  EXPECT_NEAR(request.hint, 0.012, 0.0001);
  EXPECT_FLOAT_EQ(static_cast<float>(request.prompt_tokens), 1800.0F);
  EXPECT_FLOAT_EQ(static_cast<float>(request.prefix_tokens), 1200.0F);
  EXPECT_FLOAT_EQ(static_cast<float>(request.output_cap), 256.0F);
  EXPECT_FALSE(request.is_retry);
  ASSERT_TRUE(reader.next(event));
  EXPECT_EQ(std::get<TimerExpired>(event).cookie, 0x4du);
  ASSERT_TRUE(reader.next(event));
  EXPECT_EQ(std::get<Instance>(event).index, 5u);
  ASSERT_TRUE(reader.next(event));
  EXPECT_EQ(std::get<ClientDisconnected>(event).id, 0x0003eaa20e6f2b19u);
  EXPECT_FALSE(reader.next(event));
  EXPECT_EQ(reader.error(), "");
}

TEST(Wire, ReadsTheExampleList) {
  const auto bytes =
      hex("02 37000000 01 29000000 02000000 0a124a07 5b1b 00 00 0000 01 0000803f 0000000000000000"
          " 0a9011f2 841b 01 00 0000 01 0000c03f 6666666666661840");
  BatchReader reader(bytes.data(), bytes.size(), 1);
  Event event;
  ASSERT_TRUE(reader.next(event)) << reader.error();
  const EndpointListChange list = std::get<EndpointListChange>(event);
  EXPECT_EQ(list.kind, ListKind::cached);
  EXPECT_EQ(list.version, 41u);
  ASSERT_EQ(list.replicas.size(), 2u);
  EXPECT_EQ(list.replicas[0].id, replica({0x0a, 0x12, 0x4a, 0x07, 0x5b, 0x1b}));
  EXPECT_EQ(list.replicas[1].zone, 1u);
  EXPECT_EQ(list.replicas[1].health, Health::ready);
  EXPECT_DOUBLE_EQ(list.replicas[1].size, 1.5);
  EXPECT_DOUBLE_EQ(list.replicas[1].started_at, 6.1);
}

TEST(Wire, ReadsTheExampleResponse) {
  const auto bytes =
      hex("05 20000000 c4913a5d6fae0600 0000 0a124a07 5b1b 0100 8b6ce7fba9f1923f 01 00000000 00");
  BatchReader reader(bytes.data(), bytes.size(), 1);
  Event event;
  ASSERT_TRUE(reader.next(event)) << reader.error();
  const AttemptResult result = std::get<AttemptResult>(event);
  EXPECT_EQ(result.outcome, Outcome::ok);
  EXPECT_NEAR(result.latency, 0.0185, 0.0001);
  EXPECT_TRUE(result.closed);
  EXPECT_TRUE(result.report.empty());
}

TEST(Wire, ReadsAHealthCheckResultAPeerMessageAndADetach) {
  const auto bytes =
      hex("08 1d000000 000000000000e03f 0a124a07 5b1b 0300 03 0000803f 00000040 00004040"
          "09 08000000 07000000 0200 6869"
          "0a 00000000");
  BatchReader reader(bytes.data(), bytes.size(), 3);
  Event event;
  ASSERT_TRUE(reader.next(event)) << reader.error();
  EXPECT_EQ(std::get<HealthCheckResult>(event).report, (std::vector<float>{1, 2, 3}));
  EXPECT_EQ(std::get<HealthCheckResult>(event).outcome, Outcome::timeout);
  ASSERT_TRUE(reader.next(event)) << reader.error();
  EXPECT_EQ(std::get<PeerMessage>(event).from, 7u);
  EXPECT_EQ(std::get<PeerMessage>(event).bytes, "hi");
  ASSERT_TRUE(reader.next(event)) << reader.error();
  EXPECT_TRUE(std::holds_alternative<Detach>(event));
}

TEST(Wire, WritesTheExampleReply) {
  ReplyWriter writer;
  writer.set_instance(3);
  double allow = 0.0, span = 0.5;
  const auto allow_bytes = hex("7b14ae47e17ab43f");
  std::copy(allow_bytes.begin(), allow_bytes.end(), reinterpret_cast<std::uint8_t*>(&allow));
  writer.attempt(0x0006ae6f5d3a91c4u, replica({0x0a, 0x12, 0x4a, 0x07, 0x5b, 0x1b}), allow);
  writer.set_timer(span, 0x4d);
  EXPECT_EQ(to_hex(writer.finish()),
            "03000000"
            "39000000"
            "4e0400000003000000"
            "4116000000c4913a5d6fae06000a124a075b1b7b14ae47e17ab43f"
            "4510000000000000000000e03f4d00000000000000");
  writer.clear();
  EXPECT_EQ(to_hex(writer.finish()), "0000000000000000");
}

TEST(Wire, WritesEveryOtherAction) {
  ReplyWriter writer;
  writer.set_instance(1);
  writer.reject(2, 0.5);
  writer.fail(3);
  writer.set_instance(4);
  writer.stop_attempt(5, 6);
  writer.subscribe(true);
  writer.bail_out("no");
  EXPECT_EQ(to_hex(writer.finish()).substr(16),
            "4e0400000001000000"
            "42100000000200000000000000000000000000e03f"
            "43080000000300000000000000"
            "4e0400000004000000"
            "440a00000005000000000000000600"
            "4b0100000001"
            "4a0400000002006e6f");
}

struct Malformed {
  const char* bytes;
  std::uint32_t records;
  const char* expected_error;
};
class WireMalformed : public testing::TestWithParam<Malformed> {};

TEST_P(WireMalformed, IsDiagnosedInOneLine) {
  const auto bytes = hex(GetParam().bytes);
  BatchReader reader(bytes.data(), bytes.size(), GetParam().records);
  Event event;
  while (reader.next(event)) {
  }
  EXPECT_NE(reader.error().find(GetParam().expected_error), std::string::npos) << reader.error();
  EXPECT_EQ(reader.error().find('\n'), std::string::npos);
  EXPECT_FALSE(reader.next(event));
}
INSTANTIATE_TEST_SUITE_P(
    All, WireMalformed,
    testing::Values(Malformed{"07 0800", 1, "inside a record's head"},
                    Malformed{"07 08000000 4d000000", 1, "overruns the frame"},
                    Malformed{"63 00000000", 1, "unknown code 99"},
                    Malformed{"07 04000000 4d000000", 1, "out of bounds"},
                    Malformed{"07 09000000 4d0000000000000000", 1, "bytes to spare"},
                    Malformed{"0a 00000000 0a 00000000", 1, "after the last record"},
                    Malformed{"0a 00000000", 2, "inside a record's head"},
                    // a list whose count claims 4294967295 entries
                    Malformed{"02 09000000 00 01000000 ffffffff", 1, "out of bounds"},
                    Malformed{"02 09000000 09 01000000 00000000", 1, "out of bounds"},
                    // settings whose length exceeds their record
                    Malformed{"01 0c000000 0100000000000000 ffffff7f", 1, "out of bounds"},
                    // an unknown outcome
                    Malformed{"08 11000000 000000000000e03f 0a124a07 5b1b 2a00 00", 1, "out of bounds"},
                    // a load report whose count exceeds the bytes that follow
                    Malformed{"08 11000000 000000000000e03f 0a124a07 5b1b 0100 04", 1, "out of bounds"},
                    Malformed{"09 06000000 07000000 0500", 1, "out of bounds"}));

TEST(Wire, EveryCutOfABatchIsDiagnosed) {
  const auto bytes = hex(kBatch);
  for (std::size_t cut = kBatchHeaderSize; cut < bytes.size(); ++cut) {
    BatchReader reader(bytes.data() + kBatchHeaderSize, cut - kBatchHeaderSize, 5);
    Event event;
    while (reader.next(event)) {
    }
    EXPECT_NE(reader.error(), "") << cut;
  }
}

}  // namespace
}  // namespace flintglade::policy::wire
