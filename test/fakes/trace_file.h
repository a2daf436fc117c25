// Reads a recorded trace: JSON objects, one a line.

#ifndef MULBERRYROAD_TEST_FAKES_TRACE_FILE_H_
#define MULBERRYROAD_TEST_FAKES_TRACE_FILE_H_

#include <google/protobuf/struct.pb.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "base/json.h"

namespace mulberryroad::fakes {

/// One line of a trace.
class TraceStep {
 public:
  explicit TraceStep(google::protobuf::Struct fields)
      : fields_(std::move(fields)) {}

  bool has(const std::string& name) const {
    return fields_.fields().contains(name);
  }
  std::string text(const std::string& name) const {
    return has(name) ? fields_.fields().at(name).string_value() : "";
  }
  double number(const std::string& name) const {
    return has(name) ? fields_.fields().at(name).number_value() : 0;
  }
  /// Reads a field that holds a message.
  template <typename Message>
  Message message(const std::string& name) const {
    Message read;
    base::FromJson(base::ToJson(fields_.fields().at(name)), &read, nullptr);
    return read;
  }
  TraceStep step(const std::string& name) const {
    return TraceStep(fields_.fields().at(name).struct_value());
  }
  std::vector<TraceStep> steps(const std::string& name) const {
    std::vector<TraceStep> found;
    for (const auto& value : fields_.fields().at(name).list_value().values()) {
      found.emplace_back(value.struct_value());
    }
    return found;
  }

 private:
  google::protobuf::Struct fields_;
};

struct Trace {
  std::string name;
  std::vector<TraceStep> steps;
};

/// Reads all traces of a directory under test/traces.
inline std::vector<Trace> ReadTraces(const std::string& directory) {
  std::vector<Trace> traces;
  const std::filesystem::path base =
      std::filesystem::path(TEST_DATA_DIR) / "traces" / directory;
  for (const auto& entry : std::filesystem::directory_iterator(base)) {
    Trace trace{entry.path().filename().string(), {}};
    std::ifstream lines(entry.path());
    for (std::string line; std::getline(lines, line);) {
      google::protobuf::Struct fields;
      base::FromJson(line, &fields, nullptr);
      trace.steps.emplace_back(std::move(fields));
    }
    traces.push_back(std::move(trace));
  }
  return traces;
}

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_TRACE_FILE_H_
