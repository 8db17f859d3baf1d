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

constexpr char kMethodPrefix[] = "/inference.GRPCInferenceService/";
constexpr char kUnknownModel[] = "flintglade-no-such-model";
constexpr std::int64_t kFreeDimensionSize = 1;  // size used for a dimension that the model leaves open (-1)

std::string name_of(StatusCode code) {
  static const char* const kNames[] = {
      "OK",        "CANCELLED",      "UNKNOWN",           "INVALID_ARGUMENT",   "DEADLINE_EXCEEDED",
      "NOT_FOUND", "ALREADY_EXISTS", "PERMISSION_DENIED", "RESOURCE_EXHAUSTED", "FAILED_PRECONDITION",
      "ABORTED",   "OUT_OF_RANGE",   "UNIMPLEMENTED",     "INTERNAL",           "UNAVAILABLE",
      "DATA_LOSS", "UNAUTHENTICATED"};
  return code >= 0 && code < static_cast<int>(std::size(kNames)) ? kNames[code] : std::to_string(code);
}

struct Failed {
  std::string reason;
};
struct Skipped {
  std::string reason;
};
void expect(bool condition, const std::string& failure) {
  if (!condition) throw Failed{failure};
}

// State shared by the checks: the calls to the server and the metadata of the model.
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
  Status raw(const std::string& method, const std::string& bytes, std::string& response_bytes,
             const std::function<void(grpc::ClientContext&)>& customize = nullptr) {
    grpc::ClientContext context;
    prepare(context);
    if (customize) customize(context);
    const grpc::ByteBuffer request = kserve::to_buffer(bytes);
    grpc::ByteBuffer response;
    std::promise<Status> done;
    raw_.UnaryCall(&context, method, {}, &request, &response,
                   [&done](const Status& call_status) { done.set_value(call_status); });
    const Status status = done.get_future().get();
    if (status.ok()) response_bytes = kserve::to_string(response);
    return status;
  }
  // Sends all requests without waiting in between and collects every response of the stream.
  Status stream(const std::vector<ModelInferRequest>& requests,
                std::vector<ModelStreamInferResponse>& responses) {
    grpc::ClientContext context;
    prepare(context);
    const auto call = stub_->ModelStreamInfer(&context);
    for (const auto& request : requests) call->Write(request);
    call->WritesDone();
    for (ModelStreamInferResponse response; call->Read(&response);) responses.push_back(response);
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
  // A request that the server must accept: every input of the model, filled with zeros.
  ModelInferRequest valid_request(const std::string& id) {
    ModelInferRequest request;
    request.set_model_name(model());
    request.set_id(id);
    for (const auto& tensor : metadata().inputs()) {
      auto& input = *request.add_inputs();
      input.set_name(tensor.name());
      input.set_datatype(tensor.datatype());
      std::size_t elements = 1;
      for (const std::int64_t dimension : tensor.shape()) {
        input.add_shape(dimension < 0 ? kFreeDimensionSize : dimension);
        elements *= static_cast<std::size_t>(dimension < 0 ? kFreeDimensionSize : dimension);
      }
      const auto size = kserve::element_size(tensor.datatype());
      expect(size.has_value(),
             "the model's input " + tensor.name() + " is of unknown datatype " + tensor.datatype());
      // A raw BYTES element starts with its four-byte length, so four zero bytes are one empty element.
      request.add_raw_input_contents(std::string(elements * (*size == 0 ? 4 : *size), '\0'));
    }
    return request;
  }
  // A valid request with at least one tensor that a check can make invalid. Adds one if the model's metadata
  // lists no inputs.
  ModelInferRequest valid_request_with_tensor() {
    ModelInferRequest request = valid_request("t");
    if (request.inputs().empty()) {
      auto& input = *request.add_inputs();
      input.set_name("x");
      input.set_datatype("INT32");
      input.add_shape(1);
      request.add_raw_input_contents(std::string(4, '\0'));
    }
    return request;
  }
  void expect_rejected(const ModelInferRequest& request, std::initializer_list<StatusCode> expected_codes) {
    ModelInferResponse response;
    const Status status = infer(request, response);
    expect(
        std::find(expected_codes.begin(), expected_codes.end(), status.error_code()) != expected_codes.end(),
        "gives " + name_of(status.error_code()));
  }
  void expect_served(const ModelInferRequest& request) {
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

void live(Context& context) {
  inference::ServerLiveResponse response;
  const Status status = context.call(&Stub::ServerLive, {}, response);
  expect(status.ok(), name_of(status.error_code()));
  expect(response.live(), "a server that answers says that it is not live");
}
void ready(Context& context) {
  inference::ServerReadyResponse response;
  const Status status = context.call(&Stub::ServerReady, {}, response);
  expect(status.ok(), name_of(status.error_code()));
  expect(response.ready(), "it says that it is not ready");
}
void server_metadata(Context& context) {
  inference::ServerMetadataResponse response;
  const Status status = context.call(&Stub::ServerMetadata, {}, response);
  expect(status.ok(), name_of(status.error_code()));
  expect(!response.name().empty(), "the server has no name");
  expect(!response.version().empty(), "the server has no version");
}
Status model_ready(Context& context, const std::string& name, const std::string& version, bool& ready) {
  inference::ModelReadyRequest request;
  request.set_name(name);
  request.set_version(version);
  inference::ModelReadyResponse response;
  const Status status = context.call(&Stub::ModelReady, request, response);
  ready = response.ready();
  return status;
}
void model_is_ready(Context& context) {
  bool ready = false;
  const Status status = model_ready(context, context.model(), "", ready);
  expect(status.ok(), name_of(status.error_code()));
  expect(ready, "the model is not ready");
}
void versions_are_ready(Context& context) {
  if (context.metadata().versions().empty()) throw Skipped{"the model names no versions"};
  for (const std::string& version : context.metadata().versions()) {
    bool ready = false;
    const Status status = model_ready(context, context.model(), version, ready);
    expect(status.ok() && ready, "version " + version + " is not: " + name_of(status.error_code()));
  }
}
void unknown_model_is_not_ready(Context& context) {
  bool ready = false;
  const Status status = model_ready(context, kUnknownModel, "", ready);
  expect(!status.ok() || !ready, "a model that is not there is ready");
}
void model_metadata(Context& context) {
  expect(context.metadata().name() == context.model(), "it is named " + context.metadata().name());
}
void metadata_tensors(Context& context) {
  const auto check = [](const auto& tensors) {
    for (const auto& tensor : tensors) {
      expect(!tensor.name().empty(), "a tensor has no name");
      expect(kserve::element_size(tensor.datatype()).has_value(),
             tensor.name() + " is of datatype " + tensor.datatype());
      for (const std::int64_t dimension : tensor.shape())
        expect(dimension >= -1, tensor.name() + " has a dimension of " + std::to_string(dimension));
    }
  };
  check(context.metadata().inputs());
  check(context.metadata().outputs());
}
void metadata_of_unknown_model(Context& context) {
  inference::ModelMetadataRequest request;
  request.set_name(kUnknownModel);
  inference::ModelMetadataResponse response;
  const Status status = context.call(&Stub::ModelMetadata, request, response);
  if (status.error_code() == StatusCode::UNIMPLEMENTED) throw Skipped{"no ModelMetadata"};
  expect(status.error_code() == StatusCode::NOT_FOUND || status.error_code() == StatusCode::INVALID_ARGUMENT,
         "gives " + name_of(status.error_code()));
}
void infer(Context& context) {
  ModelInferResponse response;
  const Status status = context.infer(context.valid_request("i-1"), response);
  expect(status.ok(), name_of(status.error_code()) + ": " + status.error_message());
  expect(response.model_name() == context.model(), "the answer is of model '" + response.model_name() + "'");
}
void infer_id(Context& context) {
  ModelInferResponse response;
  const Status status = context.infer(context.valid_request("an id: 7/é"), response);
  expect(status.ok(), name_of(status.error_code()));
  expect(response.id() == "an id: 7/é", "the id came back as '" + response.id() + "'");
}
void infer_without_id(Context& context) { context.expect_served(context.valid_request("")); }
void infer_version(Context& context) {
  if (context.metadata().versions().empty()) throw Skipped{"the model names no versions"};
  for (const std::string& version : context.metadata().versions()) {
    ModelInferRequest request = context.valid_request("v");
    request.set_model_version(version);
    context.expect_served(request);
  }
}
void infer_outputs(Context& context) {
  ModelInferResponse response;
  const Status status = context.infer(context.valid_request("o"), response);
  expect(status.ok(), name_of(status.error_code()));
  const bool raw = !response.raw_output_contents().empty();
  expect(!raw || response.raw_output_contents_size() == response.outputs_size(),
         std::to_string(response.raw_output_contents_size()) + " raw contents of " +
             std::to_string(response.outputs_size()) + " outputs");
  // Outputs follow the same rules as inputs, so the request checker validates them as if they were inputs.
  ModelInferRequest outputs_as_inputs;
  for (const auto& output : response.outputs()) {
    auto& input = *outputs_as_inputs.add_inputs();
    input.set_name(output.name());
    input.set_datatype(output.datatype());
    *input.mutable_shape() = output.shape();
    if (output.has_contents()) *input.mutable_contents() = output.contents();
  }
  *outputs_as_inputs.mutable_raw_input_contents() = response.raw_output_contents();
  const std::string error = kserve::check_tensors(outputs_as_inputs, {});
  expect(error.empty(), "an output: " + error);
}
void infer_unknown_model(Context& context) {
  ModelInferRequest request = context.valid_request("n");
  request.set_model_name(kUnknownModel);
  context.expect_rejected(request, {StatusCode::NOT_FOUND, StatusCode::INVALID_ARGUMENT});
}
void infer_unknown_version(Context& context) {
  if (context.metadata().versions().empty()) throw Skipped{"the model names no versions"};
  ModelInferRequest request = context.valid_request("n");
  request.set_model_version("987654321");
  context.expect_rejected(request,
                          {StatusCode::NOT_FOUND, StatusCode::INVALID_ARGUMENT, StatusCode::UNAVAILABLE});
}
void infer_datatype(Context& context) {
  ModelInferRequest request = context.valid_request_with_tensor();
  request.mutable_inputs(0)->set_datatype("INT33");
  context.expect_rejected(request, {StatusCode::INVALID_ARGUMENT});
}
void infer_negative_dimension(Context& context) {
  ModelInferRequest request = context.valid_request_with_tensor();
  request.mutable_inputs(0)->set_shape(0, -1);
  context.expect_rejected(request, {StatusCode::INVALID_ARGUMENT});
}
void infer_wrong_size(Context& context) {
  ModelInferRequest request = context.valid_request_with_tensor();
  request.mutable_raw_input_contents(0)->append("xyz");
  context.expect_rejected(request, {StatusCode::INVALID_ARGUMENT});
}
void infer_shape_overflow(Context& context) {
  ModelInferRequest request = context.valid_request_with_tensor();
  for (int i = 0; i < 4; ++i) request.mutable_inputs(0)->add_shape(std::int64_t{1} << 62);
  context.expect_rejected(request, {StatusCode::INVALID_ARGUMENT});
}
void infer_both_contents(Context& context) {
  ModelInferRequest request = context.valid_request_with_tensor();
  request.mutable_inputs(0)->mutable_contents()->add_int_contents(0);
  context.expect_rejected(request, {StatusCode::INVALID_ARGUMENT});
}
void infer_malformed_message(Context& context) {
  std::string response_bytes;
  const Status status = context.raw(std::string(kMethodPrefix) + "ModelInfer",
                                    "\xff\xff\xff\xff not a message", response_bytes);
  expect(!status.ok() && status.error_code() != StatusCode::UNAVAILABLE,
         "gives " + name_of(status.error_code()));
}
void infer_without_model(Context& context) {
  std::string response_bytes;
  const Status status = context.raw(std::string(kMethodPrefix) + "ModelInfer", "", response_bytes);
  expect(!status.ok(), "a request for no model gives OK");
}
void infer_unknown_field(Context& context) {
  // Appends field 1000 (length-delimited, one byte), as a client of a later protocol version would send it.
  std::string response_bytes;
  const Status status =
      context.raw(std::string(kMethodPrefix) + "ModelInfer",
                  context.valid_request("f").SerializeAsString() + "\xc2\x3e\x01x", response_bytes);
  expect(status.ok(), name_of(status.error_code()));
}
void infer_unknown_parameter(Context& context) {
  ModelInferRequest request = context.valid_request("p");
  (*request.mutable_parameters())["flintglade_unheard_of"].set_string_param("x");
  context.expect_served(request);
}
void infer_gzip(Context& context) {
  std::string response_bytes;
  const Status status =
      context.raw(std::string(kMethodPrefix) + "ModelInfer", context.valid_request("z").SerializeAsString(),
                  response_bytes, [](grpc::ClientContext& client_context) {
                    client_context.set_compression_algorithm(GRPC_COMPRESS_GZIP);
                  });
  expect(status.ok(), name_of(status.error_code()) + ": " + status.error_message());
}
void infer_traceparent(Context& context) {
  std::string response_bytes;
  const Status status = context.raw(
      std::string(kMethodPrefix) + "ModelInfer", context.valid_request("w").SerializeAsString(),
      response_bytes, [](grpc::ClientContext& client_context) {
        client_context.AddMetadata("traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
      });
  expect(status.ok(), name_of(status.error_code()));
}
void infer_cancelled(Context& context) {
  for (int i = 0; i < 5; ++i) {
    grpc::ClientContext client_context;
    context.prepare(client_context);
    const auto call = context.stub().ModelStreamInfer(&client_context);
    call->Write(context.valid_request("c" + std::to_string(i)));
    client_context.TryCancel();
    call->Finish();
  }
  context.expect_served(context.valid_request("after"));
}
Status stream(Context& context, const std::vector<ModelInferRequest>& requests,
              std::vector<ModelStreamInferResponse>& responses) {
  const Status status = context.stream(requests, responses);
  if (status.error_code() == StatusCode::UNIMPLEMENTED) throw Skipped{"no ModelStreamInfer"};
  return status;
}
void stream_one(Context& context) {
  std::vector<ModelStreamInferResponse> responses;
  const Status status = stream(context, {context.valid_request("s-1")}, responses);
  expect(status.ok(), name_of(status.error_code()) + ": " + status.error_message());
  expect(!responses.empty(), "no answer");
  for (const auto& response : responses)
    expect(response.error_message().empty(), "an error: " + response.error_message());
}
void stream_id(Context& context) {
  std::vector<ModelStreamInferResponse> responses;
  expect(stream(context, {context.valid_request("s-2")}, responses).ok(), "the stream failed");
  for (const auto& response : responses)
    expect(response.infer_response().id() == "s-2",
           "the id came back as '" + response.infer_response().id() + "'");
}
void stream_several(Context& context) {
  std::vector<ModelStreamInferResponse> responses;
  const Status status = stream(
      context, {context.valid_request("m-1"), context.valid_request("m-2"), context.valid_request("m-3")},
      responses);
  expect(status.ok(), name_of(status.error_code()) + ": " + status.error_message());
  std::map<std::string, int> by_id;
  for (const auto& response : responses) ++by_id[response.infer_response().id()];
  for (const char* id : {"m-1", "m-2", "m-3"}) expect(by_id[id] > 0, std::string("no answer to ") + id);
}
void stream_error(Context& context) {
  ModelInferRequest bad = context.valid_request("bad");
  bad.set_model_name(kUnknownModel);
  std::vector<ModelStreamInferResponse> responses;
  const Status status = stream(context, {bad}, responses);
  const bool error_reported = std::any_of(responses.begin(), responses.end(), [](const auto& response) {
    return !response.error_message().empty();
  });
  expect(error_reported || !status.ok(), "a request for a model that is not there has no error");
}
void stream_without_requests(Context& context) {
  std::vector<ModelStreamInferResponse> responses;
  const Status status = stream(context, {}, responses);
  expect(status.error_code() != StatusCode::DEADLINE_EXCEEDED, "a stream without a request does not end");
  expect(responses.empty(), "answers without a request");
}
void unknown_method(Context& context) {
  std::string response_bytes;
  const Status status = context.raw(std::string(kMethodPrefix) + "NoSuchMethod", "", response_bytes);
  expect(status.error_code() == StatusCode::UNIMPLEMENTED, "gives " + name_of(status.error_code()));
}
// grpc.health.v1 takes a string and returns an enum, both as field 1. The well-known wrapper types have the
// same encoding.
Status health(Context& context, const std::string& service, unsigned& serving_status) {
  google::protobuf::StringValue request;
  request.set_value(service);
  std::string response_bytes;
  const Status status =
      context.raw("/grpc.health.v1.Health/Check", request.SerializeAsString(), response_bytes);
  if (status.error_code() == StatusCode::UNIMPLEMENTED) throw Skipped{"no grpc.health.v1"};
  google::protobuf::UInt32Value response;
  response.ParseFromString(response_bytes);
  serving_status = response.value();
  return status;
}
void health_server(Context& context) {
  unsigned serving_status = 0;
  const Status status = health(context, "", serving_status);
  expect(status.ok() && serving_status == 1,
         "gives " + name_of(status.error_code()) + ", state " + std::to_string(serving_status));
}
void health_of_unknown_service(Context& context) {
  unsigned serving_status = 0;
  const Status status = health(context, kUnknownModel, serving_status);
  expect(status.error_code() == StatusCode::NOT_FOUND, "gives " + name_of(status.error_code()));
}

// Each row: the name of the check, the clause that it tests, and its function. The clauses are from the Open
// Inference Protocol v2 ("OIP") and its gRPC part, from Triton's extensions and from gRPC's documentation.
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
    {"model.ready.unknown", "OIP gRPC, ModelReady", unknown_model_is_not_ready},
    {"model.metadata", "OIP gRPC, ModelMetadata: name", model_metadata},
    {"model.metadata.tensors", "OIP, Tensor Data Types; TensorMetadata", metadata_tensors},
    {"model.metadata.unknown", "OIP gRPC: errors by status", metadata_of_unknown_model},
    {"infer", "OIP gRPC, ModelInfer: model_name", infer},
    {"infer.id", "OIP, Inference Request: id is returned", infer_id},
    {"infer.no_id", "OIP, Inference Request: id is optional", infer_without_id},
    {"infer.version", "OIP, Inference Request: model_version", infer_version},
    {"infer.outputs", "OIP, Tensor Data: shape, datatype, contents agree", infer_outputs},
    {"infer.unknown_model", "OIP gRPC: errors by status", infer_unknown_model},
    {"infer.unknown_version", "OIP gRPC: errors by status", infer_unknown_version},
    {"infer.datatype", "OIP, Tensor Data Types", infer_datatype},
    {"infer.negative_dimension", "OIP, Tensor Data: shape", infer_negative_dimension},
    {"infer.wrong_size", "OIP, raw_input_contents: size by shape", infer_wrong_size},
    {"infer.shape_overflow", "OIP, Tensor Data: shape", infer_shape_overflow},
    {"infer.both_contents", "OIP, raw_input_contents: contents must not be there", infer_both_contents},
    {"infer.no_message", "gRPC status codes: a request that can't be parsed", infer_malformed_message},
    {"infer.no_model", "OIP, Inference Request: model_name is required", infer_without_model},
    {"infer.unknown_field", "protobuf: unknown fields are passed over", infer_unknown_field},
    {"infer.unknown_parameter", "OIP, Parameters: unknown ones are passed over", infer_unknown_parameter},
    {"infer.gzip", "gRPC, Compression", infer_gzip},
    {"infer.traceparent", "W3C Trace Context, 2.2", infer_traceparent},
    {"infer.cancel", "gRPC, Cancellation: others go on", infer_cancelled},
    {"stream", "Triton, ModelStreamInfer", stream_one},
    {"stream.id", "Triton, ModelStreamInfer: id is returned", stream_id},
    {"stream.many", "Triton, ModelStreamInfer: many requests", stream_several},
    {"stream.error", "Triton, ModelStreamInferResponse: error_message", stream_error},
    {"stream.empty", "gRPC: half-close without a message", stream_without_requests},
    {"method.unknown", "gRPC status codes: UNIMPLEMENTED", unknown_method},
    {"health", "gRPC Health Checking: the whole server", health_server},
    {"health.unknown", "gRPC Health Checking: unknown service", health_of_unknown_service},
};

}  // namespace

std::vector<Result> run(const Target& target) {
  Context context(target);
  std::vector<Result> results;
  for (const auto& check : kChecks) {
    Result result{check.name, check.clause, Verdict::pass, "", 0.0};
    const auto started_at = std::chrono::steady_clock::now();
    try {
      check.check(context);
    } catch (const Failed& failed) {
      result.verdict = Verdict::fail;
      result.why = failed.reason;
    } catch (const Skipped& skipped) {
      result.verdict = Verdict::skip;
      result.why = skipped.reason;
    }
    result.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - started_at).count();
    results.push_back(std::move(result));
  }
  return results;
}

}  // namespace flintglade::conformance
