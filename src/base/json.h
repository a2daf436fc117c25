// Protobuf messages as JSON, the one text codec of the project.

#ifndef MULBERRYROAD_SRC_BASE_JSON_H_
#define MULBERRYROAD_SRC_BASE_JSON_H_

#include <google/protobuf/message.h>

#include <string>
#include <string_view>

namespace mulberryroad::base {

/// Returns a message as one line of JSON with the schema's own field names.
/// 64-bit integers are strings, as protobuf's JSON mapping has it.
std::string ToJson(const google::protobuf::Message& message);

/// Fills a message from JSON. Unknown fields and malformed text are errors.
/// @param reason receives the cause of a failure; may be null
/// @return false on error; the message is then unspecified
bool FromJson(std::string_view json, google::protobuf::Message* message,
              std::string* reason);

}  // namespace mulberryroad::base

#endif  // MULBERRYROAD_SRC_BASE_JSON_H_
