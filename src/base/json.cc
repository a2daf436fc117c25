#include "base/json.h"

#include <google/protobuf/util/json_util.h>

namespace mulberryroad::base {

std::string ToJson(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  std::string json;
  const auto status =
      google::protobuf::util::MessageToJsonString(message, &json, options);
  return status.ok() ? json : "{}";
}

bool FromJson(std::string_view json, google::protobuf::Message* message,
              std::string* reason) {
  const auto status = google::protobuf::util::JsonStringToMessage(
      google::protobuf::StringPiece(json.data(), json.size()), message);
  if (!status.ok() && reason != nullptr) {
    *reason = std::string(status.message());
  }
  return status.ok();
}

}  // namespace mulberryroad::base
