// Compares the number, type and label of each field of every message that is sent or stored with
// tests/data/proto_fields.txt. In coordination.proto and hot_restart.proto messages and fields may be
// renamed: there a message is identified by its position in the file, and names are not recorded. In
// operator.proto (operators write its names) and kserve_v2.proto (an external protocol) names are recorded
// too.
//
// A line of the file is changed or removed only together with an intended change of the format; a new field
// adds a line.
#include <google/protobuf/descriptor.h>
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

#include "coordination.pb.h"
#include "hot_restart.pb.h"
#include "kserve_v2.pb.h"
#include "operator.pb.h"

namespace {

using google::protobuf::Descriptor;
using google::protobuf::EnumDescriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::FileDescriptor;

enum class Names { free, frozen };

// Indexes from the outermost message inwards; "3.1" is the second message nested in the fourth one of the
// file.
template <typename Type>
std::string position(const Type* type) {
  const Descriptor* outer = type->containing_type();
  return (outer == nullptr ? "" : position(outer) + ".") + std::to_string(type->index());
}

template <typename Type>
std::string title(const Type* type, Names names) {
  return names == Names::frozen ? type->full_name() : position(type);
}

std::string type_of(const FieldDescriptor* field, Names names) {
  const std::string type = field->type_name();
  if (field->message_type() != nullptr) return type + " " + title(field->message_type(), names);
  if (field->enum_type() != nullptr) return type + " " + title(field->enum_type(), names);
  return type;
}

std::string label_of(const FieldDescriptor* field) {
  if (field->is_map()) return "map";
  if (field->is_repeated()) return field->is_packed() ? "repeated packed" : "repeated";
  if (field->real_containing_oneof() != nullptr)
    return "oneof " + std::to_string(field->real_containing_oneof()->index());
  return field->has_optional_keyword() ? "optional" : "single";
}

class Lines {
 public:
  explicit Lines(Names names) : names_(names) {}

  std::string of_file(const FileDescriptor* file) {
    prefix_ = file->name() + " ";
    for (int i = 0; i < file->enum_type_count(); ++i) add(file->enum_type(i));
    for (int i = 0; i < file->message_type_count(); ++i) add(file->message_type(i));
    for (int i = 0; i < file->service_count(); ++i) {
      for (int m = 0; m < file->service(i)->method_count(); ++m) add(file->service(i)->method(m));
    }
    return out_.str();
  }

 private:
  std::string name(const std::string& text) const { return names_ == Names::frozen ? " " + text : ""; }

  void add(const EnumDescriptor* type) {
    for (int i = 0; i < type->value_count(); ++i)
      out_ << prefix_ << "enum " << title(type, names_) << " value " << type->value(i)->number()
           << name(type->value(i)->name()) << "\n";
  }
  void add(const Descriptor* message) {
    out_ << prefix_ << "message " << title(message, names_) << " of " << message->field_count()
         << " fields\n";
    for (int i = 0; i < message->field_count(); ++i) {
      const FieldDescriptor* field = message->field(i);
      out_ << prefix_ << "message " << title(message, names_) << " field " << field->number()
           << name(field->name()) << ": " << type_of(field, names_) << ", " << label_of(field) << "\n";
    }
    for (int i = 0; i < message->enum_type_count(); ++i) add(message->enum_type(i));
    for (int i = 0; i < message->nested_type_count(); ++i) add(message->nested_type(i));
  }
  void add(const google::protobuf::MethodDescriptor* method) {
    out_ << prefix_ << "method " << method->full_name() << ": "
         << (method->client_streaming() ? "stream " : "") << method->input_type()->full_name() << " to "
         << (method->server_streaming() ? "stream " : "") << method->output_type()->full_name() << "\n";
  }

  Names names_;
  std::string prefix_;
  std::ostringstream out_;
};

std::string all_fields() {
  return Lines(Names::free).of_file(flintglade::coordination::Packet::descriptor()->file()) +
         Lines(Names::free).of_file(flintglade::hot_restart::State::descriptor()->file()) +
         Lines(Names::frozen).of_file(inference::ModelInferRequest::descriptor()->file()) +
         Lines(Names::frozen).of_file(flintglade::deploy::OperatorFile::descriptor()->file());
}

TEST(ProtoNumbers, AreThoseRecorded) {
  std::ifstream file(FLINTGLADE_TEST_DATA "/proto_fields.txt");
  const std::string recorded(std::istreambuf_iterator<char>(file), {});
  EXPECT_EQ(all_fields(), recorded);
}

}  // namespace
