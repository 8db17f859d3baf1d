// Parses and validates the operator's file: protobuf text format, as defined in proto/operator.proto.
#pragma once

#include <string>

#include "operator.pb.h"

namespace flintglade::operator_file {

// Return an empty string, or an error of one line: FILE:LINE:COLUMN: FIELD.PATH: what is wrong.
std::string parse(const std::string& text, const std::string& name, deploy::OperatorFile& out);
std::string load(const std::string& path, deploy::OperatorFile& out);

// The settings that take effect only at a start, serialized, so that a reload can report whether they
// changed.
std::string fixed_part(const deploy::OperatorFile& file);

// A summary of the settings, one per line, for 'flintglade check'.
std::string describe(const deploy::OperatorFile& file);

}  // namespace flintglade::operator_file
