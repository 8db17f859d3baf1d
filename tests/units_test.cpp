// Unit tests of parts that need no network peer. Each guards against a failure that the scenario tests would
// show only by chance.
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

// Guards against periodic wake-ups of an idle router: both servers used to check their connections many times
// a second, even with no connection open.
void no_timer_is_set_without_connections() {
  Core c;
  boost::asio::io_context io(1);
  http::HttpReplicaClient replica_client(io, *c.broker, c.ports, {});
  http::HttpServer server(io, *c.broker, c.ports, {{}, [] { return std::size_t{8}; }});
  CHECK(io.poll() == 0 && io.stopped());  // no timer is pending
  int fired = 0;
  http::IdleTimer idle_timer(io, c.ports, [&fired] { ++fired; });
  idle_timer.fire_by(core::kNever);
  idle_timer.fire_by(c.ports.time + core::kSecond);
  idle_timer.fire_by(c.ports.time);
  idle_timer.fire_by(c.ports.time + 2 * core::kSecond);
  io.restart();
  io.run();
  CHECK(fired == 1);
}

// Guards against a log writer thread: it woke an idle router, and the process waited for it at exit. A log
// line that cannot be written at once is dropped and counted.
void log_has_no_thread_and_never_blocks() {
  const auto threads = [] {
    const std::filesystem::directory_iterator entries("/proc/self/task");
    return std::distance(begin(entries), end(entries));
  };
  const auto threads_before = threads();
  const int saved_stderr = dup(STDERR_FILENO);
  int pipe_ends[2];
  CHECK(saved_stderr >= 0 && pipe(pipe_ends) == 0 && fcntl(pipe_ends[1], F_SETFL, O_NONBLOCK) == 0);
  const std::string page(4096, 'x');
  while (write(pipe_ends[1], page.data(), page.size()) > 0) {
  }
  CHECK(fcntl(pipe_ends[1], F_SETFL, 0) == 0 && dup2(pipe_ends[1], STDERR_FILENO) >= 0);
  const auto dropped_before = log::dropped();
  log::event(log::Level::error, "nobody_reads", {});  // a blocking write would never return
  log::flush();
  dup2(saved_stderr, STDERR_FILENO);
  CHECK(log::dropped() == dropped_before + 1 && threads() == threads_before);
  for (const int fd : {saved_stderr, pipe_ends[0], pipe_ends[1]}) close(fd);
}

// ---- parsing and validation of what comes from outside: clients, replicas, settings, endpoint lists

void event_stream_splits_at_event_boundaries_for_any_chunk_size() {
  const std::string input =
      "data: {\"a\":1}\n\ndata: x\r\n\r\ndata: {\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\": "
      "4096}}}\n\n: note\n\ndata: [DONE]";
  for (std::size_t size = 1; size <= input.size(); ++size) {
    http::EventStream stream;
    std::string output;
    for (std::size_t offset = 0; offset < input.size(); offset += size) {
      const std::string complete_events = stream.feed(std::string_view(input).substr(offset, size));
      CHECK(complete_events.empty() || complete_events.back() == '\n');
      output += complete_events;
    }
    CHECK(output + stream.finish() == input);
    CHECK(stream.cached_tokens() == 4096);
  }
}

void load_report_is_complete_or_ignored() {
  const std::vector<std::string> fields = {"inflight", "qps"};
  CHECK(http::parse_report("TEXT inflight=7, max_inflight=90, qps=1.5", fields) ==
        (std::vector<float>{7.0F, 1.5F}));
  // inflight must not match inside the longer name max_inflight.
  CHECK(http::parse_report("TEXT max_inflight=9, qps=2", fields).empty());
  for (const char* malformed : {"", "TEXT inflight=x, qps=1", "TEXT inflight=7z, qps=1",
                                "TEXT inflight=-3, qps=1", "TEXT inflight=nan, qps=1", "TEXT qps=1"})
    CHECK(http::parse_report(malformed, fields).empty());
}

void settings_are_flattened_and_validated() {
  std::string error;
  const std::string lines =
      config::flatten(R"({"classes":[{"name":"a b"}],"zones":["x","y,z"],"on":true,"n":{"v":1.5}})", error);
  CHECK(error.empty());
  CHECK(lines == "classes.count=1\nclasses.0.name=a_b\nn.v=1.5\non=true\nzones=x,y_z\n");
  config::Config parsed;
  CHECK(config::parse("[]", parsed) == "config: not a JSON object");
  CHECK(config::parse(R"({"settings":{}})", parsed) == "config: settings.classes is missing or empty");
  CHECK(config::parse(R"({"listen":"x","settings":{}})", parsed).find("listen") != std::string::npos);
  CHECK(config::parse(R"({"seed":"zz","settings":{}})", parsed).find("seed") != std::string::npos);
  CHECK(config::parse(R"({"settings":{"classes":[{"aim":"soon"}]}})", parsed).find("classes.0.aim") !=
        std::string::npos);
  CHECK(
      config::parse(
          R"({"settings":{"registry_mode":"on_request","classes":[{"name":"a"}],"permissions":{"conn_idle":2.5}}})",
          parsed)
          .empty());
  CHECK(parsed.conn_idle == 2'500'000 && parsed.classes == std::vector<std::string>{"a"});
}

void labels_are_validated() {
  const config::Labels labels{{"a", "b"}, {"t"}, {1, 2}};
  core::Request request;
  CHECK(config::apply({.request_class = "b", .tenant = "t", .session = "ff"}, labels, request).empty());
  CHECK(request.request_class == 1 && request.first_event_timeout == 2 && request.session == 255);
  CHECK(!config::apply({.request_class = "c", .tenant = "t"}, labels, request).empty());
  CHECK(!config::apply({.request_class = "a", .tenant = "u"}, labels, request).empty());
  CHECK(
      !config::apply({.request_class = "a", .tenant = "t", .prompt_tokens = "nan"}, labels, request).empty());
  CHECK(!config::apply({.request_class = "a", .tenant = "t", .expires_ms = "-1"}, labels, request).empty());
  CHECK(config::name_to_key("") == 0 && config::name_to_key("zebra") != 0);
  // An invalid work hint is ignored; the request is accepted without one.
  CHECK(config::apply({.request_class = "a", .tenant = "t", .work_hint = "1500"}, labels, request).empty());
  CHECK(request.work_hint == 1500.0);
  for (const char* invalid : {"", "0", "-5", "nan", "inf", "1e12", "many", "12 "}) {
    core::Request without_hint;
    CHECK(config::apply({.request_class = "a", .tenant = "t", .work_hint = invalid}, labels, without_hint)
              .empty());
    CHECK(without_hint.work_hint == 0.0);
  }
}

void endpoint_lists_are_parsed_without_malformed_entries() {
  const discovery::Names names{{"z"}, {"m1", "m2"}};
  core::EndpointListUpdate update;
  CHECK(!discovery::parse_list("{}", names, update) && !discovery::parse_list("nonsense", names, update));
  CHECK(discovery::parse_list(
      R"({"rev":7,"all":false,"targets":[5,{"uid":""},{"uid":"s","endpoint":"h:1","az":"z","model":"m2",
         "state":"Terminating","boot_ms":2000},{"uid":"g","state":"Gone"}]})",
      names, update));
  CHECK(update.version == 7 && update.kind == flintglade::policy::ListKind::delta &&
        update.entries.size() == 2);
  CHECK(update.entries[0].replica.kind == 1 && update.entries[0].replica.health == Health::draining);
  CHECK(update.entries[0].replica.started_at == 2.0 &&
        update.entries[0].replica.id == discovery::replica_id("s"));
  // An entry with an unknown state is unreadable; it does not mean that the replica was removed.
  core::EndpointListUpdate with_unknown_state;
  CHECK(discovery::parse_list(
      R"({"rev":8,"all":true,"targets":[{"uid":"s","endpoint":"h:1","state":"Paused"},{"uid":"t","state":"Ready"}]})",
      names, with_unknown_state));
  CHECK(with_unknown_state.entries.empty() && with_unknown_state.unreadable.size() == 2 &&
        with_unknown_state.unreadable[0] == discovery::replica_id("s"));
  std::string oversized = R"({"rev":9,"all":true,"targets":[)";
  for (std::size_t i = 0; i <= discovery::kMaxEntries; ++i) oversized += (i > 0 ? ",{}" : "{}");
  CHECK(!discovery::parse_list(oversized + "]}", names, with_unknown_state));
}

// A full list in which the entry of a replica is unreadable keeps the known state of this replica. A replica
// that the list does not contain is removed.
void unreadable_entries_keep_known_replicas() {
  Core c;
  const auto receive_full_list = [&c](std::vector<core::ReplicaId> unreadable) {
    core::EndpointListUpdate update;
    update.kind = flintglade::policy::ListKind::full;
    update.unreadable = std::move(unreadable);
    c.broker->on_endpoint_list_update(std::move(update));
    c.broker->run_iteration();
    return c.ports.no_new_after;
  };
  CHECK(receive_full_list({1}) == core::kNever);
  CHECK(receive_full_list({}) != core::kNever);
}

void operator_files_are_validated() {
  const auto error_of = [](const std::string& text) {
    deploy::OperatorFile file;
    return operator_file::parse(text, "f", file);
  };
  CHECK(error_of("").empty());
  CHECK(error_of("kserve {}") == "f:1:1: kserve.listen: not of the form ADDRESS:PORT");
  const std::string kserve_text = "kserve {\n listen: '127.0.0.1:1'\n";
  CHECK(error_of(kserve_text + "}") == "f:1:1: kserve: models: there is none");
  CHECK(error_of(kserve_text + " models { name: 'm' versions: '1' }}").empty());
  CHECK(error_of(kserve_text + " models { name: 'm' inputs { name: 't' } }}") ==
        "f:3:21: kserve.models[0].inputs[0]: a tensor needs a datatype");
  // Parse errors give the position and the enclosing message.
  CHECK(error_of(kserve_text + " models { name: 'm' }\n models { nam: 'n' }}") ==
        "f:4:14: kserve.models[1]: Message type \"flintglade.deploy.Model\" has no field named \"nam\".");
  CHECK(error_of("membership { sources { name: 'a' list {} } }").empty());
  const std::string resolver_text = "membership { resolver { servers: '127.0.0.1:53' }\n";
  const auto dns_name_error = [&](const std::string& dns_name) {
    return error_of(resolver_text + "sources { name: 'a' dns_srv { name: '" + dns_name + "' } } }");
  };
  CHECK(dns_name_error("_model._tcp.hall.example").empty() &&
        dns_name_error("_model._tcp.hall.example.").empty());
  CHECK(dns_name_error("hall.example") ==
        "f:2:31: membership.sources[0].dns_srv.name: is not of the form _service._proto.domain");
  CHECK(dns_name_error("_a._b..c").find("label of 0") != std::string::npos);
  CHECK(dns_name_error("_a._b." + std::string(64, 'x')).find("more than 63") != std::string::npos);
  CHECK(error_of("membership { sources { name: 'a' dns_srv { name: '_a._b.c' } } }")
            .find("membership.resolver: servers: a dns_srv source needs at least one") != std::string::npos);
  CHECK(error_of("membership { sources { name: 'a' list {} } sources { name: 'b' list {} } }")
            .find("sources[1].list: the platform's list stands before") != std::string::npos);
  CHECK(error_of("membership { sources { name: 'a' list {} } resolver { tries: 0 } }")
            .find("membership.resolver.tries: not from 1 to 16") != std::string::npos);
  CHECK(error_of("membership { sources { name: 'a' list {} } rule { spill_below: 0.9 } }")
            .find("spill_below is more than spill_end") != std::string::npos);
  // Budgets that cannot be divided among the routers.
  const char* voter = "voters { router: 'a' id: 1 at: '1.2.3.4:5' }";
  const auto budget_gives = [&](const std::string& budget_text, const char* expected_error,
                                const char* voters) {
    const std::string error =
        error_of(std::string("fleet { name: 'f' listen: '127.0.0.1:1' ") + voters +
                 " shared { routers: 8 budgets { name: 'b' team: 't' " + budget_text + " } } }");
    return expected_error == nullptr ? error.empty() : error.find(expected_error) != std::string::npos;
  };
  CHECK(budget_gives("per_s: 5 burst: 100", nullptr, voter) &&
        budget_gives("whole: 1000 window_s: 60", nullptr, voter));
  CHECK(budget_gives("per_s: 5 burst: 100", "without voters nobody hands out the parts", ""));
  CHECK(
      budget_gives("per_s: 5 whole: 9", "budgets[0]: either per_s and burst, or whole and window_s", voter));
  CHECK(budget_gives("per_s: 5", "burst: there is none", voter) &&
        budget_gives("whole: 9", "window_s: there is none", voter));
  CHECK(budget_gives("per_s: 5 burst: 20", "put aside for 8 routers, each would have less than one", voter));
  CHECK(budget_gives("per_s: 5 burst: 1.5 aside: 0", "the bank would have less than two", voter));
  CHECK(budget_gives("per_s: 5 burst: 100 aside: 1", "aside: not from 0 to 0.9", voter));
}

// Each row: the tensors of a request in text format, and the expected error; empty for a valid request.
void tensors_are_validated() {
  struct Row {
    const char *request, *expected_error;
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
    const std::string error = kserve::check_tensors(request, {});
    if (error != row.expected_error) std::fprintf(stderr, "%s: %s\n", row.request, error.c_str());
    CHECK(error == row.expected_error);
  }
  kserve::Model model;
  model.inputs = {{"x", "INT32", {-1, 2}}};
  model.outputs = {{"o", "INT32", {1}}};
  const auto check_against_model = [&model](const char* text) {
    inference::ModelInferRequest request;
    CHECK(google::protobuf::TextFormat::ParseFromString(text, &request));
    return kserve::check_tensors(request, model);
  };
  CHECK(check_against_model(
            "inputs { name: 'x' datatype: 'INT32' shape: 1 shape: 2 } raw_input_contents: '12345678'")
            .empty());
  CHECK(check_against_model(
            "inputs { name: 'x' datatype: 'INT32' shape: 2 shape: 1 } raw_input_contents: '12345678'") ==
        "input 'x': shape [2,1] where the model takes [-1,2]");
  CHECK(check_against_model(
            "inputs { name: 'x' datatype: 'FP32' shape: 1 shape: 2 } raw_input_contents: '12345678'") ==
        "input 'x': FP32 where the model takes INT32");
  CHECK(check_against_model("inputs { name: 'y' datatype: 'INT32' shape: 1 } raw_input_contents: '1234'") ==
        "input 'y': the model has no such input");
  CHECK(check_against_model("") == "input 'x': it is missing");
  CHECK(check_against_model("inputs { name: 'x' datatype: 'INT32' shape: 0 shape: 2 } raw_input_contents: '' "
                            "outputs { name: 'p' }") == "output 'p': the model has no such output");
}

void labels_of_plain_clients_are_mapped() {
  deploy::KServe file;
  CHECK(google::protobuf::TextFormat::ParseFromString(
      "listen: '127.0.0.1:1' models { name: 'm' class: 'order' tenant: 'of-model' } mapping { "
      "class { metadata: 'x-class' parameters: 'priority' values { key: '1' value: 'chat' } otherwise: "
      "'last' } "
      "tenant { metadata: 'x-team' otherwise: 'last' } session { parameters: 'sequence_id' } "
      "timeout_us { parameters: 'timeout' } }",
      &file));
  const kserve::ServerSettings settings = kserve::front_settings(file);
  std::map<std::string, std::string> metadata;
  inference::ModelInferRequest request;
  const auto mapped = [&](const kserve::Model& model) {
    return kserve::map_request(
        request, model, settings.mapping, [&](const std::string& name) -> std::string_view {
          const auto it = metadata.find(name);
          return it == metadata.end() ? std::string_view() : std::string_view(it->second);
        });
  };
  // In ascending precedence: each source added below overrides the ones before it.
  CHECK(mapped({}).request_class == "last" && mapped({}).tenant == "last" && mapped({}).expires_ms.empty());
  CHECK(mapped(settings.models[0]).request_class == "order" &&
        mapped(settings.models[0]).tenant == "of-model");
  (*request.mutable_parameters())["priority"].set_int64_param(1);
  CHECK(mapped(settings.models[0]).request_class == "chat");
  // Not in the table: used unchanged as the class.
  (*request.mutable_parameters())["priority"].set_int64_param(2);
  CHECK(mapped(settings.models[0]).request_class == "2");
  metadata["x-class"] = "1";
  CHECK(mapped(settings.models[0]).request_class == "chat");
  metadata["flintglade-class"] = "1";
  CHECK(mapped(settings.models[0]).request_class == "1");
  (*request.mutable_parameters())["sequence_id"].set_uint64_param(77);
  CHECK(mapped({}).session == "77");
  auto& timeout = (*request.mutable_parameters())["timeout"];
  timeout.set_int64_param(2'500'000);
  CHECK(mapped({}).expires_ms == "2500");
  timeout.set_int64_param(0);
  CHECK(mapped({}).expires_ms.empty());
  timeout.set_int64_param(10);
  CHECK(mapped({}).expires_ms == "1");
  for (const char* invalid : {"-5", "soon", "99999999999999999999"}) {
    timeout.set_string_param(invalid);
    core::Request labelled;
    metadata["flintglade-class"] = "chat";
    CHECK(config::apply(mapped({}).labels(), {{"chat"}, {}, {core::kSecond}}, labelled) ==
          "the time to wait is no number of milliseconds");
  }
  metadata["flintglade-expires-in-ms"] = "70";
  CHECK(mapped({}).expires_ms == "70");
  request.add_raw_input_contents(std::string(400, 'x'));
  CHECK(mapped({}).prompt_tokens == "100");
  CHECK(kserve::passes_on("traceparent") && kserve::passes_on("x-a") && !kserve::passes_on("grpc-timeout") &&
        !kserve::passes_on("flintglade-class") && !kserve::passes_on("authorization"));
}

void repeated_log_lines_are_collapsed() {
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

// Segments that are reordered, retransmitted or split anywhere give the same requests; a file that is not a
// savefile gives an error and no requests.
void savefile_round_trip_returns_the_requests() {
  const std::string path = "/tmp/flintglade-units-" + std::to_string(getpid()) + ".pcap";
  const config::Labels labels{{"chat"}, {"acme"}, {core::kSecond}};
  const std::string body(5000, 'b');
  const std::string request =
      "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: 1\r\nX-Qos: chat\r\nX-Customer: acme\r\n"
      "X-Object: 2a\r\nContent-Length: 5000\r\n\r\n" +
      body;
  const pcap::Conversation conversation{{{127, 0, 0, 1}, 4000}, {{127, 0, 0, 2}, 8000}};
  {
    pcap::Writer writer;
    CHECK(writer.open(path).empty());
    auto exchange = writer.begin(conversation, 0);
    writer.from_client(exchange, request, 10);
    writer.from_server(exchange, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 20);
    auto before_second_request = exchange;
    writer.from_client(exchange, request + "POST /other HTTP/1.1\r\n\r\n", 2000);
    // The second part once more: a retransmission.
    exchange.client_next = before_second_request.client_next + 3000;
    writer.from_client(exchange, request.substr(3000), 2500);
    auto late = writer.begin({{{127, 0, 0, 1}, 4001}, conversation.server}, 3000);
    late.client_next += 100;  // its second part is captured before the first
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
  pcap::ReadResult no_requests;
  CHECK(!pcap::read_requests(path, labels, no_requests).empty() && no_requests.requests.empty());
  ::unlink(path.c_str());
}

// Descriptions of models that the operator file does not describe: at most one query for each model at a
// time, a bounded cache, and a failed query does not discard a cached description before it expires.
void model_descriptions_are_cached() {
  using State = kserve::Descriptions::State;
  kserve::Descriptions descriptions({2, 60 * core::kSecond, 600 * core::kSecond, core::kSecond});
  const kserve::Descriptions::Key a{"a", ""}, b{"b", ""}, c{"c", ""};
  core::Micros now = 0;
  CHECK(descriptions.find(a, now).state == State::absent && descriptions.ask(a, now) &&
        !descriptions.ask(a, now) && descriptions.asking(a));
  inference::ModelMetadataResponse metadata;
  metadata.set_name("a");
  descriptions.set_known(a, metadata, now);
  CHECK(descriptions.find(a, now).state == State::known &&
        descriptions.find(a, now).description->name() == "a" && !descriptions.ask(a, now));
  now = 60 * core::kSecond;  // due for a refresh: queried again, and the cached description stays in use
  CHECK(descriptions.find(a, now).state == State::known && descriptions.ask(a, now));
  descriptions.failed(a, now);
  CHECK(descriptions.find(a, now).state == State::known && !descriptions.ask(a, now) &&
        descriptions.ask(a, now + core::kSecond));
  now = 660 * core::kSecond;
  descriptions.failed(a, now);
  CHECK(descriptions.find(a, now).state == State::absent);
  CHECK(descriptions.ask(b, now) && descriptions.ask(a, now + core::kSecond));
  // Both entries have a query in progress: neither may be evicted for a third.
  CHECK(!descriptions.ask(c, now) && descriptions.size() == 2);
  descriptions.set_unknown(b, now);
  CHECK(descriptions.find(b, now).state == State::unknown &&
        descriptions.find(b, now + core::kSecond).state == State::absent);
  CHECK(descriptions.ask(c, now + core::kSecond) && descriptions.size() == 2 && descriptions.asking(a) &&
        !descriptions.asking(b));
}

void certificate_determines_the_tenant() {
  const std::vector<kserve::CertificateBinding> bound{{"spiffe://t/acme/*", "acme", "chat"},
                                                      {"ops.test", "ops", ""}};
  CHECK(kserve::find_certificate_binding(bound, {}) == nullptr &&
        kserve::find_certificate_binding(bound, {"spiffe://t/acm"}) == nullptr);
  CHECK(kserve::find_certificate_binding(bound, {"x", "spiffe://t/acme/bot"})->tenant == "acme");
  CHECK(kserve::find_certificate_binding(bound, {"ops.test"})->tenant == "ops");
  CHECK(kserve::find_certificate_binding(bound, {"ops.test.evil"}) == nullptr);
  inference::ModelInferRequest request;
  kserve::Model model;
  model.tenant = "other";  // default tenant of the model: the certificate takes precedence
  const auto mapped = [&](const std::string& claimed) {
    return kserve::map_request(
        request, model, {},
        [&](const std::string& name) { return name == kserve::kTenant ? claimed : std::string_view(); },
        &bound[0]);
  };
  CHECK(mapped("").tenant == "acme" && mapped("").denied.empty() && mapped("").request_class == "chat");
  CHECK(mapped("acme").denied.empty() && !mapped("ops").denied.empty());
}

void versions_are_compared_as_numbers() {
  kserve::Model model;
  CHECK(model.highest_version().empty());
  model.versions = {"9", "010", "x", "8"};
  CHECK(model.highest_version() == "010");
  model.versions = {"99999999999999999999", "100000000000000000000", "z"};
  CHECK(model.highest_version() == "100000000000000000000");
  model.versions = {"beta", "alpha"};
  CHECK(model.highest_version() == "beta");
}

void header_values_are_escaped_and_bounded() {
  CHECK(kserve::header_value("a b~%") == "a b~%");
  CHECK(kserve::header_value(std::string("\r\n\0\x7f", 4)) == "%0d%0a%00%7f");
  const std::string first = kserve::header_value(std::string(300, 'a') + "1"),
                    second = kserve::header_value(std::string(300, 'a') + "2");
  CHECK(first.size() == 256 && second.size() == 256 && first != second);
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
      {{true, true, false, 0, 0},
       ConnectionEviction::kNotEvictable},  // a request is in progress: never evicted
      {{false, true, false, 0, now - 90 * ms},
       ConnectionEviction::kNotEvictable},           // its response may still be in transit
      {{false, true, false, 0, now - 110 * ms}, 0},  // its response has been delivered
      {{false, false, false, now - 240 * ms, now - 240 * ms},
       ConnectionEviction::kNotEvictable},  // new: it may be about to send a request
      {{false, false, false, now - 260 * ms, now - 260 * ms}, 1},
      {{false, false, true, now - 2000 * ms, now - 200 * ms},
       ConnectionEviction::kNotEvictable},  // it is still sending its request in pieces
      {{false, false, true, now - 2000 * ms, now - 300 * ms}, 2},
      {{false, true, true, 0, now - 300 * ms}, 2},  // stalled in the middle of its next request
  };
  for (const Row& row : rows) CHECK(ConnectionEviction::eviction_rank(row.state, now) == row.rank);
  const ConnectionEviction eviction(80);
  CHECK(!eviction.above_soft_limit(40) && eviction.above_soft_limit(41) && !eviction.above_hard_limit(70) &&
        eviction.above_hard_limit(71));
}

void metrics_are_rendered_as_text() {
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
  const std::function<void()> tests[] = {log_has_no_thread_and_never_blocks,
                                         no_timer_is_set_without_connections,
                                         event_stream_splits_at_event_boundaries_for_any_chunk_size,
                                         load_report_is_complete_or_ignored,
                                         settings_are_flattened_and_validated,
                                         labels_are_validated,
                                         endpoint_lists_are_parsed_without_malformed_entries,
                                         unreadable_entries_keep_known_replicas,
                                         operator_files_are_validated,
                                         tensors_are_validated,
                                         labels_of_plain_clients_are_mapped,
                                         model_descriptions_are_cached,
                                         certificate_determines_the_tenant,
                                         versions_are_compared_as_numbers,
                                         header_values_are_escaped_and_bounded,
                                         metrics_are_rendered_as_text,
                                         connections_are_evicted_in_order,
                                         repeated_log_lines_are_collapsed,
                                         savefile_round_trip_returns_the_requests};
  for (const auto& test : tests) test();
  std::printf("%zu passed, 0 failed\n", std::size(tests));
}
