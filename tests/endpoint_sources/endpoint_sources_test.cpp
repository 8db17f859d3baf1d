// The endpoint sources on an event loop, with a watch on simulated list services on loopback.
#include "endpoint_sources/endpoint_sources.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "core/broker_fixture.h"
#include "discovery/watch.h"

namespace flintglade::endpoint_sources {
namespace {

using boost::asio::ip::tcp;

constexpr std::chrono::seconds kWaitTimeout{5};
// Longer than the longest wait before the first retry (kListRetryDelay).
constexpr std::chrono::milliseconds kLongerThanFirstRetry{700};

constexpr char kHead[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr char kList[] =
    R"({"rev":7,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"Ready"}]})";

std::vector<SourceSpec> list_only() {
  SourceSpec spec;
  spec.name = "list";
  spec.list = true;
  return {spec};
}

class EndpointSourcesTest : public testing::Test {
 protected:
  bool run_until(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!condition() && std::chrono::steady_clock::now() < deadline)
      io_.run_one_for(std::chrono::milliseconds(20));
    return condition();
  }

  boost::asio::io_context io_{1};
  tests::FakePorts ports_;
  tcp::acceptor first_service_{io_, {boost::asio::ip::address_v4::loopback(), 0}};
  tcp::acceptor second_service_{io_, {boost::asio::ip::address_v4::loopback(), 0}};
  discovery::Watch watch_{io_,
                          ports_,
                          {"127.0.0.1", first_service_.local_endpoint().port()},
                          discovery::Names{},
                          discovery::BootClock(0)};
  EndpointSources sources_{io_, ports_, watch_, deploy::Membership{}, list_only()};
};

// Guards against a retry that is still due after a reload has moved service discovery: it ended the watch
// that had just been opened at the new address.
TEST_F(EndpointSourcesTest, RetriesNoListThatHasComeInTheMeantime) {
  std::vector<core::EndpointListUpdate> updates;
  sources_.set_update_handler([&](core::EndpointListUpdate update) { updates.push_back(std::move(update)); });
  first_service_.close();
  sources_.start("");
  ASSERT_TRUE(run_until([&] { return watch_.status().find("cannot connect") != std::string::npos; }));

  watch_.set_address({"127.0.0.1", second_service_.local_endpoint().port()});
  tcp::socket peer(io_);
  second_service_.accept(peer);
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", sizeof kList - 1);
  boost::asio::write(peer, boost::asio::buffer(kHead + std::string(size) + kList + "\r\n"));
  ASSERT_TRUE(run_until([&] { return !updates.empty() && updates.back().kind == policy::ListKind::full; }));

  const std::uint64_t requests = watch_.counters().requests;
  io_.run_for(kLongerThanFirstRetry);
  EXPECT_EQ(watch_.counters().requests, requests);
}

}  // namespace
}  // namespace flintglade::endpoint_sources
