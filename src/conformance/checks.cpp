#include "conformance/checks.h"

#include <google/protobuf/wrappers.pb.h>
#include <grpcpp/generic/generic_stub.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <optional>

#include "kserve/check.h"
#include "kserve/names.h"
#include "kserve_v2.grpc.pb.h"

namespace flintglade::conformance {
namespace {

using grpc::Status;
using grpc::StatusCode;
using inference::ModelInferRequest;
using inference::ModelInferResponse;
using inference::ModelStreamInferResponse;

constexpr char kService[] = "/inference.GRPCInferenceService/";
constexpr char kNobody[] = "flintglade-no-such-model";
constexpr std::int64_t kAnySize = 1;  // for dimensions that a model leaves open

std::string name_of(StatusCode code) {
  static const char* const kNames[] = {
      "OK",        "CANCELLED",      "UNKNOWN",           "INVALID_ARGUMENT",   "DEADLINE_EXCEEDED",
      "NOT_FOUND", "ALREADY_EXISTS", "PERMISSION_DENIED", "RESOURCE_EXHAUSTED", "FAILED_PRECONDITION",
      "ABORTED",   "OUT_OF_RANGE",   "UNIMPLEMENTED",     "INTERNAL",           "UNAVAILABLE",
      "DATA_LOSS", "UNAUTHENTICATED"};
  return code >= 0 && code < static_cast<int>(std::size(kNames)) ? kNames[code] : std::to_string(code);
}

struct Failed {
  std::string why;
};
struct Skipped {
  std::string why;
};
void expect(bool so, const std::string& otherwise) {
  if (!so) throw Failed{otherwise};
}

// What the checks have in common: calls, and what the model looks like.
class Context {
 public:
  explicit Context(const Target& target)
      : target_(target),
        stub_(inference::GRPCInferenceService::NewStub(target.channel)),
        raw_(target.channel) {}

  void prepare(grpc::ClientContext& context) const {
    for (const auto& [name, value] : target_.metadata) context.AddMetadata(name, value);
    context.set_deadline(std::chrono::system_clock::now() +
                         std::chrono::microseconds(static_cast<std::int64_t>(target_.timeout_s * 1e6)));
  }
  template <typename Request, typename Response>
  Status call(Status (inference::GRPCInferenceService::Stub::*method)(grpc::ClientContext*, const Request&,
                                                                      Response*),
              const Request& request, Response& response) {
    grpc::ClientContext context;
    prepare(context);
    return (stub_.get()->*method)(&context, request, &response);
  }
  Status infer(const ModelInferRequest& request, ModelInferResponse& response) {
    return call(&inference::GRPCInferenceService::Stub::ModelInfer, request, response);
  }
  Status raw(const std::string& method, const std::string& bytes, std::string& answer,
             const std::function<void(grpc::ClientContext&)>& more = nullptr) {
    grpc::ClientContext context;
    prepare(context);
    if (more) more(context);
    const grpc::ByteBuffer request = kserve::to_buffer(bytes);
    grpc::ByteBuffer response;
    std::promise<Status> done;
    raw_.UnaryCall(&context, method, {}, &request, &response,
                   [&done](const Status& s) { done.set_value(s); });
    const Status status = done.get_future().get();
    if (status.ok()) answer = kserve::to_string(response);
    return status;
  }
  // All of a stream's answers to these requests, which are sent at once.
  Status stream(const std::vector<ModelInferRequest>& requests,
                std::vector<ModelStreamInferResponse>& answers) {
    grpc::ClientContext context;
    prepare(context);
    const auto call = stub_->ModelStreamInfer(&context);
    for (const auto& r : requests) call->Write(r);
    call->WritesDone();
    for (ModelStreamInferResponse a; call->Read(&a);) answers.push_back(a);
    return call->Finish();
  }
  inference::GRPCInferenceService::Stub& stub() { return *stub_; }

  const std::string& model() const {
    if (target_.model.empty()) throw Skipped{"no --model"};
    return target_.model;
  }
  const inference::ModelMetadataResponse& metadata() {
    if (!metadata_) {
      inference::ModelMetadataRequest request;
      request.set_name(model());
      inference::ModelMetadataResponse response;
      const Status status = call(&inference::GRPCInferenceService::Stub::ModelMetadata, request, response);
      if (status.error_code() == StatusCode::UNIMPLEMENTED) throw Skipped{"no ModelMetadata"};
      expect(status.ok(), "ModelMetadata gives " + name_of(status.error_code()));
      metadata_ = response;
    }
    return *metadata_;
  }
  // One that the server has to take: the model's inputs, full of zeros.
  ModelInferRequest good(const std::string& id) {
    ModelInferRequest out;
    out.set_model_name(model());
    out.set_id(id);
    for (const auto& t : metadata().inputs()) {
      auto& input = *out.add_inputs();
      input.set_name(t.name());
      input.set_datatype(t.datatype());
      std::size_t elements = 1;
      for (const std::int64_t n : t.shape()) {
        input.add_shape(n < 0 ? kAnySize : n);
        elements *= static_cast<std::size_t>(n < 0 ? kAnySize : n);
      }
      const auto size = kserve::element_size(t.datatype());
      expect(size.has_value(), "the model's input " + t.name() + " is of unknown datatype " + t.datatype());
      // Of an element of BYTES, raw, its length: four zeros, too, are an empty one.
      out.add_raw_input_contents(std::string(elements * (*size == 0 ? 4 : *size), '\0'));
    }
    return out;
  }
  // With a tensor that can be spoilt, whether or not the model says what it takes.
  ModelInferRequest with_tensor() {
    ModelInferRequest out = good("t");
    if (out.inputs().empty()) {
      auto& input = *out.add_inputs();
      input.set_name("x");
      input.set_datatype("INT32");
      input.add_shape(1);
      out.add_raw_input_contents(std::string(4, '\0'));
    }
    return out;
  }
  void refused(const ModelInferRequest& request, std::initializer_list<StatusCode> as) {
    ModelInferResponse response;
    const Status status = infer(request, response);
    expect(std::find(as.begin(), as.end(), status.error_code()) != as.end(),
           "gives " + name_of(status.error_code()));
  }
  void served(const ModelInferRequest& request) {
    ModelInferResponse response;
    const Status status = infer(request, response);
    expect(status.ok(), "gives " + name_of(status.error_code()) + ": " + status.error_message());
  }

 private:
  const Target& target_;
  std::unique_ptr<inference::GRPCInferenceService::Stub> stub_;
  grpc::TemplatedGenericStub<grpc::ByteBuffer, grpc::ByteBuffer> raw_;
  std::optional<inference::ModelMetadataResponse> metadata_;
};

using Stub = inference::GRPCInferenceService::Stub;

void live(Context& c) {
  inference::ServerLiveResponse response;
  const Status status = c.call(&Stub::ServerLive, {}, response);
  expect(status.ok(), name_of(status.error_code()));
  expect(response.live(), "a server that answers says that it is not live");
}
void ready(Context& c) {
  inference::ServerReadyResponse response;
  const Status status = c.call(&Stub::ServerReady, {}, response);
  expect(status.ok(), name_of(status.error_code()));
  expect(response.ready(), "it says that it is not ready");
}
void server_metadata(Context& c) {
  inference::ServerMetadataResponse response;
  const Status status = c.call(&Stub::ServerMetadata, {}, response);
  expect(status.ok(), name_of(status.error_code()));
  expect(!response.name().empty(), "the server has no name");
  expect(!response.version().empty(), "the server has no version");
}
Status model_ready(Context& c, const std::string& name, const std::string& version, bool& ready) {
  inference::ModelReadyRequest request;
  request.set_name(name);
  request.set_version(version);
  inference::ModelReadyResponse response;
  const Status status = c.call(&Stub::ModelReady, request, response);
  ready = response.ready();
  return status;
}
void model_is_ready(Context& c) {
  bool ready = false;
  const Status status = model_ready(c, c.model(), "", ready);
  expect(status.ok(), name_of(status.error_code()));
  expect(ready, "the model is not ready");
}
void versions_are_ready(Context& c) {
  if (c.metadata().versions().empty()) throw Skipped{"the model names no versions"};
  for (const std::string& v : c.metadata().versions()) {
    bool ready = false;
    const Status status = model_ready(c, c.model(), v, ready);
    expect(status.ok() && ready, "version " + v + " is not: " + name_of(status.error_code()));
  }
}
void nobody_is_ready(Context& c) {
  bool ready = false;
  const Status status = model_ready(c, kNobody, "", ready);
  expect(!status.ok() || !ready, "a model that is not there is ready");
}
void model_metadata(Context& c) {
  expect(c.metadata().name() == c.model(), "it is named " + c.metadata().name());
}
void metadata_tensors(Context& c) {
  const auto check = [](const auto& tensors) {
    for (const auto& t : tensors) {
      expect(!t.name().empty(), "a tensor has no name");
      expect(kserve::element_size(t.datatype()).has_value(), t.name() + " is of datatype " + t.datatype());
      for (const std::int64_t n : t.shape())
        expect(n >= -1, t.name() + " has a dimension of " + std::to_string(n));
    }
  };
  check(c.metadata().inputs());
  check(c.metadata().outputs());
}
void metadata_of_nobody(Context& c) {
  inference::ModelMetadataRequest request;
  request.set_name(kNobody);
  inference::ModelMetadataResponse response;
  const Status status = c.call(&Stub::ModelMetadata, request, response);
  if (status.error_code() == StatusCode::UNIMPLEMENTED) throw Skipped{"no ModelMetadata"};
  expect(status.error_code() == StatusCode::NOT_FOUND || status.error_code() == StatusCode::INVALID_ARGUMENT,
         "gives " + name_of(status.error_code()));
}
void infer(Context& c) {
  ModelInferResponse response;
  const Status status = c.infer(c.good("i-1"), response);
  expect(status.ok(), name_of(status.error_code()) + ": " + status.error_message());
  expect(response.model_name() == c.model(), "the answer is of model '" + response.model_name() + "'");
}
void infer_id(Context& c) {
  ModelInferResponse response;
  const Status status = c.infer(c.good("an id: 7/é"), response);
  expect(status.ok(), name_of(status.error_code()));
  expect(response.id() == "an id: 7/é", "the id came back as '" + response.id() + "'");
}
void infer_without_id(Context& c) { c.served(c.good("")); }
void infer_version(Context& c) {
  if (c.metadata().versions().empty()) throw Skipped{"the model names no versions"};
  for (const std::string& v : c.metadata().versions()) {
    ModelInferRequest request = c.good("v");
    request.set_model_version(v);
    c.served(request);
  }
}
void infer_outputs(Context& c) {
  ModelInferResponse response;
  const Status status = c.infer(c.good("o"), response);
  expect(status.ok(), name_of(status.error_code()));
  const bool raw = !response.raw_output_contents().empty();
  expect(!raw || response.raw_output_contents_size() == response.outputs_size(),
         std::to_string(response.raw_output_contents_size()) + " raw contents of " +
             std::to_string(response.outputs_size()) + " outputs");
  // An output obeys the same rules as an input: the request checker says which one does not.
  ModelInferRequest mirror;
  for (const auto& o : response.outputs()) {
    auto& input = *mirror.add_inputs();
    input.set_name(o.name());
    input.set_datatype(o.datatype());
    *input.mutable_shape() = o.shape();
    if (o.has_contents()) *input.mutable_contents() = o.contents();
  }
  *mirror.mutable_raw_input_contents() = response.raw_output_contents();
  const std::string wrong = kserve::check_tensors(mirror, {});
  expect(wrong.empty(), "an output: " + wrong);
}
void infer_nobody(Context& c) {
  ModelInferRequest request = c.good("n");
  request.set_model_name(kNobody);
  c.refused(request, {StatusCode::NOT_FOUND, StatusCode::INVALID_ARGUMENT});
}
void infer_no_version(Context& c) {
  if (c.metadata().versions().empty()) throw Skipped{"the model names no versions"};
  ModelInferRequest request = c.good("n");
  request.set_model_version("987654321");
  c.refused(request, {StatusCode::NOT_FOUND, StatusCode::INVALID_ARGUMENT, StatusCode::UNAVAILABLE});
}
void infer_datatype(Context& c) {
  ModelInferRequest request = c.with_tensor();
  request.mutable_inputs(0)->set_datatype("INT33");
  c.refused(request, {StatusCode::INVALID_ARGUMENT});
}
void infer_negative(Context& c) {
  ModelInferRequest request = c.with_tensor();
  request.mutable_inputs(0)->set_shape(0, -1);
  c.refused(request, {StatusCode::INVALID_ARGUMENT});
}
void infer_size(Context& c) {
  ModelInferRequest request = c.with_tensor();
  request.mutable_raw_input_contents(0)->append("xyz");
  c.refused(request, {StatusCode::INVALID_ARGUMENT});
}
void infer_overflow(Context& c) {
  ModelInferRequest request = c.with_tensor();
  for (int i = 0; i < 4; ++i) request.mutable_inputs(0)->add_shape(std::int64_t{1} << 62);
  c.refused(request, {StatusCode::INVALID_ARGUMENT});
}
void infer_both(Context& c) {
  ModelInferRequest request = c.with_tensor();
  request.mutable_inputs(0)->mutable_contents()->add_int_contents(0);
  c.refused(request, {StatusCode::INVALID_ARGUMENT});
}
void infer_no_message(Context& c) {
  std::string answer;
  const Status status = c.raw(std::string(kService) + "ModelInfer", "\xff\xff\xff\xff not a message", answer);
  expect(!status.ok() && status.error_code() != StatusCode::UNAVAILABLE,
         "gives " + name_of(status.error_code()));
}
void infer_nothing(Context& c) {
  std::string answer;
  const Status status = c.raw(std::string(kService) + "ModelInfer", "", answer);
  expect(!status.ok(), "a request for no model gives OK");
}
void infer_unknown_field(Context& c) {
  // Field 1000, a length and a byte: a client of a later protocol.
  std::string answer;
  const Status status =
      c.raw(std::string(kService) + "ModelInfer", c.good("f").SerializeAsString() + "\xc2\x3e\x01x", answer);
  expect(status.ok(), name_of(status.error_code()));
}
void infer_unknown_parameter(Context& c) {
  ModelInferRequest request = c.good("p");
  (*request.mutable_parameters())["flintglade_unheard_of"].set_string_param("x");
  c.served(request);
}
void infer_gzip(Context& c) {
  std::string answer;
  const Status status =
      c.raw(std::string(kService) + "ModelInfer", c.good("z").SerializeAsString(), answer,
            [](grpc::ClientContext& context) { context.set_compression_algorithm(GRPC_COMPRESS_GZIP); });
  expect(status.ok(), name_of(status.error_code()) + ": " + status.error_message());
}
void infer_traceparent(Context& c) {
  std::string answer;
  const Status status =
      c.raw(std::string(kService) + "ModelInfer", c.good("w").SerializeAsString(), answer,
            [](grpc::ClientContext& context) {
              context.AddMetadata("traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
            });
  expect(status.ok(), name_of(status.error_code()));
}
void infer_cancelled(Context& c) {
  for (int i = 0; i < 5; ++i) {
    grpc::ClientContext context;
    c.prepare(context);
    const auto call = c.stub().ModelStreamInfer(&context);
    call->Write(c.good("c" + std::to_string(i)));
    context.TryCancel();
    call->Finish();
  }
  c.served(c.good("after"));
}
Status stream(Context& c, const std::vector<ModelInferRequest>& requests,
              std::vector<ModelStreamInferResponse>& answers) {
  const Status status = c.stream(requests, answers);
  if (status.error_code() == StatusCode::UNIMPLEMENTED) throw Skipped{"no ModelStreamInfer"};
  return status;
}
void stream_one(Context& c) {
  std::vector<ModelStreamInferResponse> answers;
  const Status status = stream(c, {c.good("s-1")}, answers);
  expect(status.ok(), name_of(status.error_code()) + ": " + status.error_message());
  expect(!answers.empty(), "no answer");
  for (const auto& a : answers) expect(a.error_message().empty(), "an error: " + a.error_message());
}
void stream_id(Context& c) {
  std::vector<ModelStreamInferResponse> answers;
  expect(stream(c, {c.good("s-2")}, answers).ok(), "the stream failed");
  for (const auto& a : answers)
    expect(a.infer_response().id() == "s-2", "the id came back as '" + a.infer_response().id() + "'");
}
void stream_many(Context& c) {
  std::vector<ModelStreamInferResponse> answers;
  const Status status = stream(c, {c.good("m-1"), c.good("m-2"), c.good("m-3")}, answers);
  expect(status.ok(), name_of(status.error_code()) + ": " + status.error_message());
  std::map<std::string, int> by_id;
  for (const auto& a : answers) ++by_id[a.infer_response().id()];
  for (const char* id : {"m-1", "m-2", "m-3"}) expect(by_id[id] > 0, std::string("no answer to ") + id);
}
void stream_error(Context& c) {
  ModelInferRequest bad = c.good("bad");
  bad.set_model_name(kNobody);
  std::vector<ModelStreamInferResponse> answers;
  const Status status = stream(c, {bad}, answers);
  const bool told =
      std::any_of(answers.begin(), answers.end(), [](const auto& a) { return !a.error_message().empty(); });
  expect(told || !status.ok(), "a request for a model that is not there has no error");
}
void stream_nothing(Context& c) {
  std::vector<ModelStreamInferResponse> answers;
  const Status status = stream(c, {}, answers);
  expect(status.error_code() != StatusCode::DEADLINE_EXCEEDED, "a stream without a request does not end");
  expect(answers.empty(), "answers without a request");
}
void unknown_method(Context& c) {
  std::string answer;
  const Status status = c.raw(std::string(kService) + "NoSuchMethod", "", answer);
  expect(status.error_code() == StatusCode::UNIMPLEMENTED, "gives " + name_of(status.error_code()));
}
// grpc.health.v1 is a name in and a number out, both field 1: the well-known wrappers have that form.
Status health(Context& c, const std::string& service, unsigned& state) {
  google::protobuf::StringValue asked;
  asked.set_value(service);
  std::string answer;
  const Status status = c.raw("/grpc.health.v1.Health/Check", asked.SerializeAsString(), answer);
  if (status.error_code() == StatusCode::UNIMPLEMENTED) throw Skipped{"no grpc.health.v1"};
  google::protobuf::UInt32Value said;
  said.ParseFromString(answer);
  state = said.value();
  return status;
}
void health_server(Context& c) {
  unsigned state = 0;
  const Status status = health(c, "", state);
  expect(status.ok() && state == 1,
         "gives " + name_of(status.error_code()) + ", state " + std::to_string(state));
}
void health_nobody(Context& c) {
  unsigned state = 0;
  const Status status = health(c, kNobody, state);
  expect(status.error_code() == StatusCode::NOT_FOUND, "gives " + name_of(status.error_code()));
}

// Clauses: of the Open Inference Protocol v2 ("OIP"), with its gRPC part; of Triton's extensions; of gRPC's
// own documents.
const struct {
  const char* name;
  const char* clause;
  void (*check)(Context&);
} kChecks[] = {
    {"server.live", "OIP gRPC, ServerLive", live},
    {"server.ready", "OIP gRPC, ServerReady", ready},
    {"server.metadata", "OIP gRPC, ServerMetadata: name, version", server_metadata},
    {"model.ready", "OIP gRPC, ModelReady", model_is_ready},
    {"model.ready.versions", "OIP gRPC, ModelReady: version", versions_are_ready},
    {"model.ready.unknown", "OIP gRPC, ModelReady", nobody_is_ready},
    {"model.metadata", "OIP gRPC, ModelMetadata: name", model_metadata},
    {"model.metadata.tensors", "OIP, Tensor Data Types; TensorMetadata", metadata_tensors},
    {"model.metadata.unknown", "OIP gRPC: errors by status", metadata_of_nobody},
    {"infer", "OIP gRPC, ModelInfer: model_name", infer},
    {"infer.id", "OIP, Inference Request: id is returned", infer_id},
    {"infer.no_id", "OIP, Inference Request: id is optional", infer_without_id},
    {"infer.version", "OIP, Inference Request: model_version", infer_version},
    {"infer.outputs", "OIP, Tensor Data: shape, datatype, contents agree", infer_outputs},
    {"infer.unknown_model", "OIP gRPC: errors by status", infer_nobody},
    {"infer.unknown_version", "OIP gRPC: errors by status", infer_no_version},
    {"infer.datatype", "OIP, Tensor Data Types", infer_datatype},
    {"infer.negative_dimension", "OIP, Tensor Data: shape", infer_negative},
    {"infer.wrong_size", "OIP, raw_input_contents: size by shape", infer_size},
    {"infer.shape_overflow", "OIP, Tensor Data: shape", infer_overflow},
    {"infer.both_contents", "OIP, raw_input_contents: contents must not be there", infer_both},
    {"infer.no_message", "gRPC status codes: a request that can't be parsed", infer_no_message},
    {"infer.no_model", "OIP, Inference Request: model_name is required", infer_nothing},
    {"infer.unknown_field", "protobuf: unknown fields are passed over", infer_unknown_field},
    {"infer.unknown_parameter", "OIP, Parameters: unknown ones are passed over", infer_unknown_parameter},
    {"infer.gzip", "gRPC, Compression", infer_gzip},
    {"infer.traceparent", "W3C Trace Context, 2.2", infer_traceparent},
    {"infer.cancel", "gRPC, Cancellation: others go on", infer_cancelled},
    {"stream", "Triton, ModelStreamInfer", stream_one},
    {"stream.id", "Triton, ModelStreamInfer: id is returned", stream_id},
    {"stream.many", "Triton, ModelStreamInfer: many requests", stream_many},
    {"stream.error", "Triton, ModelStreamInferResponse: error_message", stream_error},
    {"stream.empty", "gRPC: half-close without a message", stream_nothing},
    {"method.unknown", "gRPC status codes: UNIMPLEMENTED", unknown_method},
    {"health", "gRPC Health Checking: the whole server", health_server},
    {"health.unknown", "gRPC Health Checking: unknown service", health_nobody},
};

}  // namespace

std::vector<Result> run(const Target& target) {
  Context context(target);
  std::vector<Result> out;
  for (const auto& check : kChecks) {
    Result result{check.name, check.clause, Verdict::pass, "", 0.0};
    const auto from = std::chrono::steady_clock::now();
    try {
      check.check(context);
    } catch (const Failed& f) {
      result.verdict = Verdict::fail;
      result.why = f.why;
    } catch (const Skipped& s) {
      result.verdict = Verdict::skip;
      result.why = s.why;
    }
    result.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count();
    out.push_back(std::move(result));
  }
  return out;
}

}  // namespace flintglade::conformance
