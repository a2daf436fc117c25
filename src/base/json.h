// Conversion of protobuf messages to and from JSON.

#ifndef MULBERRYROAD_SRC_BASE_JSON_H_
#define MULBERRYROAD_SRC_BASE_JSON_H_

#include <google/protobuf/message.h>

#include <string>
#include <string_view>

namespace mulberryroad::base {

/// Returns a message as one line of JSON with the field names of the schema.
/// 64-bit integers are written as strings, as in protobuf's JSON mapping.
/// @return "{}" if the message cannot be converted
std::string ToJson(const google::protobuf::Message& message);

/// Parses a message from JSON. Unknown fields and malformed text are errors.
/// @param reason receives the error message on failure; may be null
/// @return false on error; the message is then unspecified
bool FromJson(std::string_view json, google::protobuf::Message* message,
              std::string* reason);

}  // namespace mulberryroad::base

#endif  // MULBERRYROAD_SRC_BASE_JSON_H_
