#include "config/check.h"

#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/text_format.h>

#include <algorithm>
#include <utility>

#include "base/digest.h"
#include "config/declaration_rules.h"

namespace mulberryroad::config {

namespace {

using google::protobuf::TextFormat;

/// Collects what the parser finds; unknown fields come as warnings.
class Collector final : public google::protobuf::io::ErrorCollector {
 public:
  void AddError(int line, google::protobuf::io::ColumnNumber column,
                const std::string& message) override {
    problems.push_back({line + 1, column + 1, message, HintFor(message)});
  }
  void AddWarning(int line, google::protobuf::io::ColumnNumber column,
                  const std::string& message) override {
    AddError(line, column, message);
  }

  std::vector<Problem> problems;

 private:
  static std::string HintFor(const std::string& message) {
    const bool unknown = message.find("no field named") != std::string::npos;
    return unknown ? "see the schema for the fields of this block" : "";
  }
};

}  // namespace

CheckResult Check(const std::string& text) {
  Collector collector;
  TextFormat::ParseInfoTree places;
  TextFormat::Parser parser;
  // The parser stops at an unknown field unless it may pass over it; each one
  // is reported all the same.
  parser.AllowUnknownField(true);
  parser.RecordErrorsTo(&collector);
  parser.WriteLocationsTo(&places);
  v1::Declaration declaration;
  const bool parsed = parser.ParseFromString(text, &declaration);
  std::vector<Problem> problems = std::move(collector.problems);
  if (!parsed && problems.empty()) {
    problems.push_back({0, 0, "the declaration cannot be read", ""});
  }
  if (parsed) {
    for (Problem& broken : internal::BrokenRules(declaration, places)) {
      problems.push_back(std::move(broken));
    }
  }
  if (problems.empty()) {
    return declaration;
  }
  std::stable_sort(
      problems.begin(), problems.end(), [](const Problem& a, const Problem& b) {
        return std::pair(a.line, a.column) < std::pair(b.line, b.column);
      });
  return problems;
}

std::string ToString(const Problem& problem) {
  std::string text;
  if (problem.line > 0) {
    text = "line " + std::to_string(problem.line) + ", column " +
           std::to_string(problem.column) + ": ";
  }
  text += problem.message;
  if (!problem.hint.empty()) {
    text += " (" + problem.hint + ")";
  }
  return text;
}

std::string DeclarationDigest(const v1::Declaration& declaration) {
  return base::Sha256Hex(declaration.SerializeAsString());
}

}  // namespace mulberryroad::config
