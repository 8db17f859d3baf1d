// Plain asserts on the parts that need no socket. Each guards against a failure that a scenario would show
// only by chance.
#include <fcntl.h>
#include <google/protobuf/text_format.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>

#include "admin/metrics.h"
#include "check.h"
#include "config/config.h"
#include "config/labels.h"
#include "core/broker.h"
#include "core_stand_ins.h"
#include "discovery/entries.h"
#include "http/connection_eviction.h"
#include "http/replica_client.h"
#include "http/server.h"
#include "http/sse.h"
#include "kserve/check.h"
#include "kserve/descriptions.h"
#include "kserve/mapping.h"
#include "kserve/names.h"
#include "log/collapse.h"
#include "log/log.h"
#include "operator/operator_file.h"
#include "pcap/reader.h"
#include "pcap/writer.h"

namespace {

using namespace flintglade;
using core::Micros;
using flintglade::policy::Health;
using flintglade::policy::Outcome;
using flintglade::tests::Core;

// Guards against timers that wake an idle process: the HTTP server and replica client must set no timer while
// they have no connection.
void no_timer_is_set_without_connections() {
  Core c;
  boost::asio::io_context io(1);
  http::HttpReplicaClient replica_client(io, *c.broker, c.ports, {});
  http::HttpServer front(io, *c.broker, c.ports, {{}, [] { return std::size_t{8}; }});
  CHECK(io.poll() == 0 && io.stopped());  // no timer is set
  int fired = 0;
  http::IdleTimer timer(io, c.ports, [&fired] { ++fired; });
  timer.fire_by(core::kNever);
  timer.fire_by(c.ports.time + core::kSecond);
  timer.fire_by(c.ports.time);
  timer.fire_by(c.ports.time + 2 * core::kSecond);
  io.restart();
  io.run();
  CHECK(fired == 1);
}

// The log had a thread, which woke an idle router and which the end of the process waited for.
void the_log_has_no_thread_and_never_waits() {
  const auto threads = [] {
    const std::filesystem::directory_iterator all("/proc/self/task");
    return std::distance(begin(all), end(all));
  };
  const auto before = threads();
  const int real = dup(STDERR_FILENO);
  int ends[2];
  CHECK(real >= 0 && pipe(ends) == 0 && fcntl(ends[1], F_SETFL, O_NONBLOCK) == 0);
  const std::string page(4096, 'x');
  while (write(ends[1], page.data(), page.size()) > 0) {
  }
  CHECK(fcntl(ends[1], F_SETFL, 0) == 0 && dup2(ends[1], STDERR_FILENO) >= 0);
  const auto lost = log::dropped();
  log::event(log::Level::error, "nobody_reads", {});  // a write would wait for good
  log::flush();
  dup2(real, STDERR_FILENO);
  CHECK(log::dropped() == lost + 1 && threads() == before);
  for (const int fd : {real, ends[0], ends[1]}) close(fd);
}

// ---- parsing of replica and client data -----------------------------------------------------------------

void events_are_complete_for_every_chunk_size() {
  const std::string all =
      "data: {\"a\":1}\n\ndata: x\r\n\r\ndata: {\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\": "
      "4096}}}\n\n: note\n\ndata: [DONE]";
  for (std::size_t size = 1; size <= all.size(); ++size) {
    http::EventStream stream;
    std::string out;
    for (std::size_t offset = 0; offset < all.size(); offset += size) {
      const std::string events = stream.feed(std::string_view(all).substr(offset, size));
      CHECK(events.empty() || events.back() == '\n');
      out += events;
    }
    CHECK(out + stream.finish() == all);
    CHECK(stream.cached_tokens() == 4096);
  }
}

void a_report_with_a_missing_or_invalid_field_is_rejected() {
  const std::vector<std::string> fields = {"inflight", "qps"};
  CHECK(http::parse_report("TEXT inflight=7, max_inflight=90, qps=1.5", fields) ==
        (std::vector<float>{7.0F, 1.5F}));
  // A field name must not match as part of a longer one.
  CHECK(http::parse_report("TEXT max_inflight=9, qps=2", fields).empty());
  for (const char* invalid : {"", "TEXT inflight=x, qps=1", "TEXT inflight=7z, qps=1",
                              "TEXT inflight=-3, qps=1", "TEXT inflight=nan, qps=1", "TEXT qps=1"})
    CHECK(http::parse_report(invalid, fields).empty());
}

void settings_are_flattened_and_checked() {
  std::string error;
  const std::string lines =
      config::flatten(R"({"classes":[{"name":"a b"}],"zones":["x","y,z"],"on":true,"n":{"v":1.5}})", error);
  CHECK(error.empty());
  CHECK(lines == "classes.count=1\nclasses.0.name=a_b\nn.v=1.5\non=true\nzones=x,y_z\n");
  config::Config c;
  CHECK(config::parse("[]", c) == "config: not a JSON object");
  CHECK(config::parse(R"({"settings":{}})", c) == "config: settings.classes is missing or empty");
  CHECK(config::parse(R"({"listen":"x","settings":{}})", c).find("listen") != std::string::npos);
  CHECK(config::parse(R"({"seed":"zz","settings":{}})", c).find("seed") != std::string::npos);
  CHECK(config::parse(R"({"settings":{"classes":[{"aim":"soon"}]}})", c).find("classes.0.aim") !=
        std::string::npos);
  CHECK(
      config::parse(
          R"({"settings":{"registry_mode":"on_request","classes":[{"name":"a"}],"permissions":{"conn_idle":2.5}}})",
          c)
          .empty());
  CHECK(c.conn_idle == 2'500'000 && c.classes == std::vector<std::string>{"a"});
}

void labels_are_checked() {
  const config::Labels labels{{"a", "b"}, {"t"}, {1, 2}};
  core::Request rpc;
  CHECK(config::apply({.request_class = "b", .tenant = "t", .session = "ff"}, labels, rpc).empty());
  CHECK(rpc.request_class == 1 && rpc.first_event_timeout == 2 && rpc.session == 255);
  CHECK(!config::apply({.request_class = "c", .tenant = "t"}, labels, rpc).empty());
  CHECK(!config::apply({.request_class = "a", .tenant = "u"}, labels, rpc).empty());
  CHECK(!config::apply({.request_class = "a", .tenant = "t", .prompt_tokens = "nan"}, labels, rpc).empty());
  CHECK(!config::apply({.request_class = "a", .tenant = "t", .expires_ms = "-1"}, labels, rpc).empty());
  CHECK(config::name_to_key("") == 0 && config::name_to_key("zebra") != 0);
  // A guess at the work that is none costs the request nothing.
  CHECK(config::apply({.request_class = "a", .tenant = "t", .work_hint = "1500"}, labels, rpc).empty());
  CHECK(rpc.work_hint == 1500.0);
  for (const char* none : {"", "0", "-5", "nan", "inf", "1e12", "many", "12 "}) {
    core::Request other;
    CHECK(config::apply({.request_class = "a", .tenant = "t", .work_hint = none}, labels, other).empty());
    CHECK(other.work_hint == 0.0);
  }
}

void lists_are_read_and_odd_entries_left_out() {
  const discovery::Names names{{"z"}, {"m1", "m2"}};
  core::EndpointListUpdate news;
  CHECK(!discovery::parse_list("{}", names, news) && !discovery::parse_list("nonsense", names, news));
  CHECK(discovery::parse_list(
      R"({"rev":7,"all":false,"targets":[5,{"uid":""},{"uid":"s","endpoint":"h:1","az":"z","model":"m2",
         "state":"Terminating","boot_ms":2000},{"uid":"g","state":"Gone"}]})",
      names, news));
  CHECK(news.version == 7 && news.kind == flintglade::policy::ListKind::delta && news.entries.size() == 2);
  CHECK(news.entries[0].replica.kind == 1 && news.entries[0].replica.health == Health::draining);
  CHECK(news.entries[0].replica.started_at == 2.0 &&
        news.entries[0].replica.id == discovery::replica_id("s"));
  // A state that nobody knows is no word that a replica is gone.
  core::EndpointListUpdate odd;
  CHECK(discovery::parse_list(
      R"({"rev":8,"all":true,"targets":[{"uid":"s","endpoint":"h:1","state":"Paused"},{"uid":"t","state":"Ready"}]})",
      names, odd));
  CHECK(odd.entries.empty() && odd.unreadable.size() == 2 && odd.unreadable[0] == discovery::replica_id("s"));
  std::string many = R"({"rev":9,"all":true,"targets":[)";
  for (std::size_t i = 0; i <= discovery::kMaxEntries; ++i) many += (i > 0 ? ",{}" : "{}");
  CHECK(!discovery::parse_list(many + "]}", names, odd));
}

// A whole list in which a replica's entry can't be read leaves what is held of it in force; one that it does
// not name is gone.
void unreadable_entries_leave_what_is_held() {
  Core c;
  const auto whole_list = [&c](std::vector<core::ReplicaId> unreadable) {
    core::EndpointListUpdate news;
    news.kind = flintglade::policy::ListKind::full;
    news.unreadable = std::move(unreadable);
    c.broker->on_endpoint_list_update(std::move(news));
    c.broker->run_iteration();
    return c.ports.no_new_after;
  };
  CHECK(whole_list({1}) == core::kNever);
  CHECK(whole_list({}) != core::kNever);
}

void operator_files_are_checked() {
  const auto said = [](const std::string& text) {
    deploy::OperatorFile f;
    return operator_file::parse(text, "f", f);
  };
  CHECK(said("").empty());
  CHECK(said("kserve {}") == "f:1:1: kserve.listen: not of the form ADDRESS:PORT");
  const std::string kserve = "kserve {\n listen: '127.0.0.1:1'\n";
  CHECK(said(kserve + "}") == "f:1:1: kserve: models: there is none");
  CHECK(said(kserve + " models { name: 'm' versions: '1' }}").empty());
  CHECK(said(kserve + " models { name: 'm' inputs { name: 't' } }}") ==
        "f:3:21: kserve.models[0].inputs[0]: a tensor needs a datatype");
  // What cannot be parsed: where, and in which message.
  CHECK(said(kserve + " models { name: 'm' }\n models { nam: 'n' }}") ==
        "f:4:14: kserve.models[1]: Message type \"flintglade.deploy.Model\" has no field named \"nam\".");
  CHECK(said("membership { sources { name: 'a' list {} } }").empty());
  const std::string srv = "membership { resolver { servers: '127.0.0.1:53' }\n";
  const auto name = [&](const std::string& n) {
    return said(srv + "sources { name: 'a' dns_srv { name: '" + n + "' } } }");
  };
  CHECK(name("_model._tcp.hall.example").empty() && name("_model._tcp.hall.example.").empty());
  CHECK(name("hall.example") ==
        "f:2:31: membership.sources[0].dns_srv.name: is not of the form _service._proto.domain");
  CHECK(name("_a._b..c").find("label of 0") != std::string::npos);
  CHECK(name("_a._b." + std::string(64, 'x')).find("more than 63") != std::string::npos);
  CHECK(said("membership { sources { name: 'a' dns_srv { name: '_a._b.c' } } }")
            .find("membership.resolver: servers: a dns_srv source needs at least one") != std::string::npos);
  CHECK(said("membership { sources { name: 'a' list {} } sources { name: 'b' list {} } }")
            .find("sources[1].list: the platform's list stands before") != std::string::npos);
  CHECK(said("membership { sources { name: 'a' list {} } resolver { tries: 0 } }")
            .find("membership.resolver.tries: not from 1 to 16") != std::string::npos);
  CHECK(said("membership { sources { name: 'a' list {} } rule { spill_below: 0.9 } }")
            .find("spill_below is more than spill_end") != std::string::npos);
  // Budgets whose parts can't sum.
  const char* voter = "voters { router: 'a' id: 1 at: '1.2.3.4:5' }";
  const auto budget = [&](const std::string& b, const char* wrong, const char* voters) {
    const std::string text = said(std::string("fleet { name: 'f' listen: '127.0.0.1:1' ") + voters +
                                  " shared { routers: 8 budgets { name: 'b' team: 't' " + b + " } } }");
    return wrong == nullptr ? text.empty() : text.find(wrong) != std::string::npos;
  };
  CHECK(budget("per_s: 5 burst: 100", nullptr, voter) && budget("whole: 1000 window_s: 60", nullptr, voter));
  CHECK(budget("per_s: 5 burst: 100", "without voters nobody hands out the parts", ""));
  CHECK(budget("per_s: 5 whole: 9", "budgets[0]: either per_s and burst, or whole and window_s", voter));
  CHECK(budget("per_s: 5", "burst: there is none", voter) &&
        budget("whole: 9", "window_s: there is none", voter));
  CHECK(budget("per_s: 5 burst: 20", "put aside for 8 routers, each would have less than one", voter));
  CHECK(budget("per_s: 5 burst: 1.5 aside: 0", "the bank would have less than two", voter));
  CHECK(budget("per_s: 5 burst: 100 aside: 1", "aside: not from 0 to 0.9", voter));
}

// Each row: the tensors of a request in text form, and what is said of them.
void tensors_are_checked() {
  struct Row {
    const char *request, *wrong;
  };
  const Row rows[] = {
      {"inputs { name: 'x' datatype: 'INT32' shape: 2 contents { int_contents: 1 int_contents: -2 } }", ""},
      {"inputs { name: 'x' datatype: 'INT32' shape: 2 } raw_input_contents: '12345678'", ""},
      {"inputs { name: 'x' datatype: 'BYTES' shape: 2 } raw_input_contents: "
       "'\\001\\000\\000\\000a\\000\\000\\000\\000'",
       ""},
      {"inputs { name: 'x' datatype: 'FP32' shape: 0 shape: 9 } raw_input_contents: ''", ""},
      {"inputs { name: 'x' datatype: 'FP32' }  raw_input_contents: '1234'", ""},  // a scalar
      {"inputs { datatype: 'INT32' shape: 1 }", "input 0: it has no name"},
      {"inputs { name: 'x' datatype: 'int32' shape: 1 }", "input 'x': the datatype 'int32' is unknown"},
      {"inputs { name: 'x' datatype: 'INT32' shape: 1 contents { int_contents: 1 } } "
       "inputs { name: 'x' datatype: 'INT32' shape: 1 contents { int_contents: 1 } }",
       "input 'x': it stands twice"},
      {"inputs { name: 'x' datatype: 'INT32' shape: -1 contents { int_contents: 1 } }",
       "input 'x': the shape [-1] is no shape of data"},
      {"inputs { name: 'x' datatype: 'INT8' shape: 4294967296 shape: 4294967296 } raw_input_contents: ''",
       "input 'x': the shape [4294967296,4294967296] is no shape of data"},
      {"inputs { name: 'x' datatype: 'FP64' shape: 4611686018427387904 } raw_input_contents: ''",
       "input 'x': 0 bytes where shape [4611686018427387904] of FP64 has more than there can be"},
      {"inputs { name: 'x' datatype: 'INT32' shape: 2 } raw_input_contents: '1234567'",
       "input 'x': 7 bytes where shape [2] of INT32 has 8"},
      {"inputs { name: 'x' datatype: 'INT32' shape: 2 contents { int_contents: 1 } }",
       "input 'x': 1 elements where the shape has 2"},
      {"inputs { name: 'x' datatype: 'INT32' shape: 1 contents { fp32_contents: 1 } }",
       "input 'x': contents of another datatype than INT32"},
      {"inputs { name: 'x' datatype: 'INT8' shape: 1 contents { int_contents: 128 } }",
       "input 'x': 128 is no INT8"},
      {"inputs { name: 'x' datatype: 'UINT8' shape: 1 contents { uint_contents: 256 } }",
       "input 'x': 256 is no UINT8"},
      {"inputs { name: 'x' datatype: 'FP16' shape: 1 contents { fp32_contents: 1 } }",
       "input 'x': FP16 goes in raw_input_contents only"},
      {"inputs { name: 'x' datatype: 'INT8' shape: 1 contents { int_contents: 1 } } raw_input_contents: '1'",
       "input 'x': contents and raw_input_contents at once"},
      {"raw_input_contents: '1'", "1 raw_input_contents for 0 inputs"},
      {"inputs { name: 'x' datatype: 'BYTES' shape: 1 } raw_input_contents: '\\005\\000\\000\\000abc'",
       "input 'x': element 0 is longer than what is left"},
      {"inputs { name: 'x' datatype: 'BYTES' shape: 1 } raw_input_contents: '\\001\\000'",
       "input 'x': the length of element 0 is cut off"},
      {"inputs { name: 'x' datatype: 'BYTES' shape: 1 } raw_input_contents: ''",
       "input 'x': 0 elements where the shape has 1"},
      {"outputs { name: 'o' } outputs { name: 'o' }", "output 'o': it stands twice"}};
  for (const Row& row : rows) {
    inference::ModelInferRequest request;
    CHECK(google::protobuf::TextFormat::ParseFromString(row.request, &request));
    const std::string said = kserve::check_tensors(request, {});
    if (said != row.wrong) std::fprintf(stderr, "%s: %s\n", row.request, said.c_str());
    CHECK(said == row.wrong);
  }
  kserve::Model model;
  model.inputs = {{"x", "INT32", {-1, 2}}};
  model.outputs = {{"o", "INT32", {1}}};
  const auto against = [&model](const char* text) {
    inference::ModelInferRequest request;
    CHECK(google::protobuf::TextFormat::ParseFromString(text, &request));
    return kserve::check_tensors(request, model);
  };
  CHECK(against("inputs { name: 'x' datatype: 'INT32' shape: 1 shape: 2 } raw_input_contents: '12345678'")
            .empty());
  CHECK(against("inputs { name: 'x' datatype: 'INT32' shape: 2 shape: 1 } raw_input_contents: '12345678'") ==
        "input 'x': shape [2,1] where the model takes [-1,2]");
  CHECK(against("inputs { name: 'x' datatype: 'FP32' shape: 1 shape: 2 } raw_input_contents: '12345678'") ==
        "input 'x': FP32 where the model takes INT32");
  CHECK(against("inputs { name: 'y' datatype: 'INT32' shape: 1 } raw_input_contents: '1234'") ==
        "input 'y': the model has no such input");
  CHECK(against("") == "input 'x': it is missing");
  CHECK(against("inputs { name: 'x' datatype: 'INT32' shape: 0 shape: 2 } raw_input_contents: '' "
                "outputs { name: 'p' }") == "output 'p': the model has no such output");
}

void what_plain_clients_say_is_mapped() {
  deploy::KServe file;
  CHECK(google::protobuf::TextFormat::ParseFromString(
      "listen: '127.0.0.1:1' models { name: 'm' class: 'order' tenant: 'of-model' } mapping { "
      "class { metadata: 'x-class' parameters: 'priority' values { key: '1' value: 'chat' } otherwise: "
      "'last' } "
      "tenant { metadata: 'x-team' otherwise: 'last' } session { parameters: 'sequence_id' } "
      "timeout_us { parameters: 'timeout' } }",
      &file));
  const kserve::ServerSettings set = kserve::front_settings(file);
  std::map<std::string, std::string> metadata;
  inference::ModelInferRequest request;
  const auto mapped = [&](const kserve::Model& model) {
    return kserve::map_request(request, model, set.mapping, [&](const std::string& name) -> std::string_view {
      const auto it = metadata.find(name);
      return it == metadata.end() ? std::string_view() : std::string_view(it->second);
    });
  };
  // From the last to the first: each goes before the ones above it.
  CHECK(mapped({}).request_class == "last" && mapped({}).tenant == "last" && mapped({}).expires_ms.empty());
  CHECK(mapped(set.models[0]).request_class == "order" && mapped(set.models[0]).tenant == "of-model");
  (*request.mutable_parameters())["priority"].set_int64_param(1);
  CHECK(mapped(set.models[0]).request_class == "chat");
  (*request.mutable_parameters())["priority"].set_int64_param(2);  // not in the table: it stands for itself
  CHECK(mapped(set.models[0]).request_class == "2");
  metadata["x-class"] = "1";
  CHECK(mapped(set.models[0]).request_class == "chat");
  metadata["flintglade-class"] = "1";
  CHECK(mapped(set.models[0]).request_class == "1");
  (*request.mutable_parameters())["sequence_id"].set_uint64_param(77);
  CHECK(mapped({}).session == "77");
  auto& timeout = (*request.mutable_parameters())["timeout"];
  timeout.set_int64_param(2'500'000);
  CHECK(mapped({}).expires_ms == "2500");
  timeout.set_int64_param(0);
  CHECK(mapped({}).expires_ms.empty());
  timeout.set_int64_param(10);
  CHECK(mapped({}).expires_ms == "1");
  for (const char* bad : {"-5", "soon", "99999999999999999999"}) {
    timeout.set_string_param(bad);
    core::Request rpc;
    metadata["flintglade-class"] = "chat";
    CHECK(config::apply(mapped({}).labels(), {{"chat"}, {}, {core::kSecond}}, rpc) ==
          "the time to wait is no number of milliseconds");
  }
  metadata["flintglade-expires-in-ms"] = "70";
  CHECK(mapped({}).expires_ms == "70");
  request.add_raw_input_contents(std::string(400, 'x'));
  CHECK(mapped({}).prompt_tokens == "100");
  CHECK(kserve::passes_on("traceparent") && kserve::passes_on("x-a") && !kserve::passes_on("grpc-timeout") &&
        !kserve::passes_on("flintglade-class") && !kserve::passes_on("authorization"));
}

void a_storm_of_like_lines_is_counted() {
  log::Collapse collapse(2, 1000);
  CHECK(collapse.take("a", 0) && collapse.take("a", 1) && !collapse.take("a", 2) && !collapse.take("a", 3));
  CHECK(collapse.take("b", 3) && collapse.due(999).empty());
  const auto due = collapse.due(1000);
  CHECK(due.size() == 1 && due[0].name == "a" && due[0].left_out == 2 && collapse.due(2000).empty());
  CHECK(collapse.take("a", 1000));
  const log::Field fields[] = {{"n", 3}, {"who", "a \"b\"\n"}, {"ok", true}};
  CHECK(log::render(log::Format::text, "x", fields, 3) == "event=x n=3 who=\"a \\\"b\\\"\\n\" ok=true");
  CHECK(log::render(log::Format::json, "x", fields, 3) ==
        "\"event\":\"x\",\"n\":3,\"who\":\"a \\\"b\\\"\\n\",\"ok\":true");
  CHECK(!log::configure("xml", "info") && !log::configure("text", "loud"));
}

// Segments out of order, sent again and cut anywhere give the same requests; rubbish gives none.
void savefiles_give_back_what_was_written() {
  const std::string path = "/tmp/flintglade-units-" + std::to_string(getpid()) + ".pcap";
  const config::Labels labels{{"chat"}, {"acme"}, {core::kSecond}};
  const std::string body(5000, 'b');
  const std::string request =
      "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: 1\r\nX-Qos: chat\r\nX-Customer: acme\r\n"
      "X-Object: 2a\r\nContent-Length: 5000\r\n\r\n" +
      body;
  const pcap::Conversation talk{{{127, 0, 0, 1}, 4000}, {{127, 0, 0, 2}, 8000}};
  {
    pcap::Writer writer;
    CHECK(writer.open(path).empty());
    auto exchange = writer.begin(talk, 0);
    writer.from_client(exchange, request, 10);
    writer.from_server(exchange, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 20);
    auto again = exchange;
    writer.from_client(exchange, request + "POST /other HTTP/1.1\r\n\r\n", 2000);
    exchange.client_next = again.client_next + 3000;  // the second half once more: a retransmission
    writer.from_client(exchange, request.substr(3000), 2500);
    auto late = writer.begin({{{127, 0, 0, 1}, 4001}, talk.server}, 3000);
    late.client_next += 100;  // its second part is on the wire before the first
    writer.from_client(late, request.substr(100), 3100);
    late.client_next = 1;
    writer.from_client(late, request.substr(0, 100), 3200);
    writer.end(exchange, true, 4000);
  }
  pcap::ReadResult result;
  CHECK(pcap::read_requests(path, labels, result).empty());
  CHECK(result.requests.size() == 3 && result.skipped == 0 && result.malformed == 0);
  CHECK(result.requests[0].rpc.body == body && result.requests[0].rpc.session == 0x2a);
  CHECK(result.requests[1].at == 2000 && result.requests[2].at == 3200);
  std::ofstream(path) << "this is no savefile";
  pcap::ReadResult none;
  CHECK(!pcap::read_requests(path, labels, none).empty() && none.requests.empty());
  ::unlink(path.c_str());
}

// A model that nobody described: asked once at a time, remembered in bounds, and not forgotten by silence.
void replicas_describe_models() {
  using State = kserve::Descriptions::State;
  kserve::Descriptions d({2, 60 * core::kSecond, 600 * core::kSecond, core::kSecond});
  const kserve::Descriptions::Key a{"a", ""}, b{"b", ""}, c{"c", ""};
  core::Micros now = 0;
  CHECK(d.find(a, now).state == State::absent && d.ask(a, now) && !d.ask(a, now) && d.asking(a));
  inference::ModelMetadataResponse said;
  said.set_name("a");
  d.set_known(a, said, now);
  CHECK(d.find(a, now).state == State::known && d.find(a, now).description->name() == "a" && !d.ask(a, now));
  now = 60 * core::kSecond;  // its time has come: asked anew, and the old word serves
  CHECK(d.find(a, now).state == State::known && d.ask(a, now));
  d.failed(a, now);
  CHECK(d.find(a, now).state == State::known && !d.ask(a, now) && d.ask(a, now + core::kSecond));
  now = 660 * core::kSecond;
  d.failed(a, now);
  CHECK(d.find(a, now).state == State::absent);
  CHECK(d.ask(b, now) && d.ask(a, now + core::kSecond));
  CHECK(!d.ask(c, now) && d.size() == 2);  // both have somebody waiting: neither is let go
  d.set_unknown(b, now);
  CHECK(d.find(b, now).state == State::unknown && d.find(b, now + core::kSecond).state == State::absent);
  CHECK(d.ask(c, now + core::kSecond) && d.size() == 2 && d.asking(a) && !d.asking(b));
}

void a_certificate_speaks_for_its_tenant() {
  const std::vector<kserve::CertificateBinding> bound{{"spiffe://t/acme/*", "acme", "chat"},
                                                      {"ops.test", "ops", ""}};
  CHECK(kserve::find_certificate_binding(bound, {}) == nullptr &&
        kserve::find_certificate_binding(bound, {"spiffe://t/acm"}) == nullptr);
  CHECK(kserve::find_certificate_binding(bound, {"x", "spiffe://t/acme/bot"})->tenant == "acme");
  CHECK(kserve::find_certificate_binding(bound, {"ops.test"})->tenant == "ops");
  CHECK(kserve::find_certificate_binding(bound, {"ops.test.evil"}) == nullptr);
  inference::ModelInferRequest request;
  kserve::Model model;
  model.tenant = "other";  // of requests that say none: the certificate comes before it
  const auto mapped = [&](const std::string& claimed) {
    return kserve::map_request(
        request, model, {},
        [&](const std::string& name) { return name == kserve::kTenant ? claimed : std::string_view(); },
        &bound[0]);
  };
  CHECK(mapped("").tenant == "acme" && mapped("").denied.empty() && mapped("").request_class == "chat");
  CHECK(mapped("acme").denied.empty() && !mapped("ops").denied.empty());
}

void the_highest_version_is_by_number() {
  kserve::Model m;
  CHECK(m.highest_version().empty());
  m.versions = {"9", "010", "x", "8"};
  CHECK(m.highest_version() == "010");
  m.versions = {"99999999999999999999", "100000000000000000000", "z"};
  CHECK(m.highest_version() == "100000000000000000000");
  m.versions = {"beta", "alpha"};
  CHECK(m.highest_version() == "beta");
}

void names_fit_into_a_header() {
  CHECK(kserve::header_value("a b~%") == "a b~%");
  CHECK(kserve::header_value(std::string("\r\n\0\x7f", 4)) == "%0d%0a%00%7f");
  const std::string a = kserve::header_value(std::string(300, 'a') + "1"),
                    b = kserve::header_value(std::string(300, 'a') + "2");
  CHECK(a.size() == 256 && b.size() == 256 && a != b);
}

void connections_are_evicted_in_order() {
  using http::ConnectionEviction;
  using http::ConnectionState;
  constexpr Micros now = 100 * core::kSecond, ms = core::kMilli;
  struct Row {
    ConnectionState state;
    int rank;
  };
  const Row rows[] = {
      // busy, received_request, partial_request, connected_at, last_activity
      {{true, true, false, 0, 0}, ConnectionEviction::kNotEvictable},  // a request is open
      {{false, true, false, 0, now - 90 * ms},
       ConnectionEviction::kNotEvictable},           // the response may still be on its way
      {{false, true, false, 0, now - 110 * ms}, 0},  // it has received its response
      {{false, false, false, now - 240 * ms, now - 240 * ms},
       ConnectionEviction::kNotEvictable},  // it may be about to send a request
      {{false, false, false, now - 260 * ms, now - 260 * ms}, 1},
      {{false, false, true, now - 2000 * ms, now - 200 * ms},
       ConnectionEviction::kNotEvictable},  // it sends its request in pieces
      {{false, false, true, now - 2000 * ms, now - 300 * ms}, 2},
      {{false, true, true, 0, now - 300 * ms}, 2},  // stalled in a later request
  };
  for (const Row& row : rows) CHECK(ConnectionEviction::eviction_rank(row.state, now) == row.rank);
  const ConnectionEviction eviction(80);
  CHECK(!eviction.above_soft_limit(40) && eviction.above_soft_limit(41) && !eviction.above_hard_limit(70) &&
        eviction.above_hard_limit(71));
}

void figures_are_text() {
  core::Counters counters;
  counters.answers = {{3, 2, 1}, {0, 0, 1'234'567'890'123}};
  counters.attempts_written = 7;
  const std::string text = admin::render({&counters, {"chat", "a\"b"}, 4, 12, 2});
  for (const char* line :
       {"app_responses{kind=\"chat\",result=\"ok\"} 3\n", "app_responses{kind=\"chat\",result=\"shed\"} 2\n",
        "app_responses{kind=\"chat\",result=\"errors\"} 1\n",
        "app_responses{kind=\"a\\\"b\",result=\"errors\"} 1234567890123\n", "\napp_tries 7\n",
        "\napp_active 4\n", "\napp_pool_size 12\n", "\napp_pool_ejected 2\n"})
    CHECK(text.find(line) != std::string::npos);
}

}  // namespace

int main() {
  const std::function<void()> tests[] = {the_log_has_no_thread_and_never_waits,
                                         no_timer_is_set_without_connections,
                                         events_are_complete_for_every_chunk_size,
                                         a_report_with_a_missing_or_invalid_field_is_rejected,
                                         settings_are_flattened_and_checked,
                                         labels_are_checked,
                                         lists_are_read_and_odd_entries_left_out,
                                         unreadable_entries_leave_what_is_held,
                                         operator_files_are_checked,
                                         tensors_are_checked,
                                         what_plain_clients_say_is_mapped,
                                         replicas_describe_models,
                                         a_certificate_speaks_for_its_tenant,
                                         the_highest_version_is_by_number,
                                         names_fit_into_a_header,
                                         figures_are_text,
                                         connections_are_evicted_in_order,
                                         a_storm_of_like_lines_is_counted,
                                         savefiles_give_back_what_was_written};
  for (const auto& test : tests) test();
  std::printf("%zu passed, 0 failed\n", std::size(tests));
}
