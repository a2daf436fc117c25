#include "node/manifest_report.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "platform/manifest_codec.h"
#include "platform/manifest_fields.h"
#include "serving/manifest_check.h"

namespace mulberryroad::node {

namespace {

namespace adapter = platform_adapter;

constexpr int kExitOk = 0;
constexpr int kExitBadManifest = 2;

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

// Checks a manifest and compares it with the one in force, if any.
std::vector<serving::Finding> FindingsFor(const ManifestCheckOptions& options) {
  const auto text = ReadFile(options.manifest_path);
  if (!text.has_value()) {
    return {{serving::Severity::kError, "manifest",
             "cannot read " + options.manifest_path}};
  }
  std::vector<serving::Finding> findings = adapter::CheckManifestFields(*text);
  const auto manifest = adapter::DecodeManifest(*text);
  if (manifest.has_value()) {
    std::ranges::move(serving::CheckManifest(*manifest),
                      std::back_inserter(findings));
  }
  if (options.in_force_path.empty()) {
    return findings;
  }
  const auto in_force =
      adapter::DecodeManifest(ReadFile(options.in_force_path).value_or(""));
  if (!in_force.has_value()) {
    findings.push_back({serving::Severity::kError, "manifest in force",
                        options.in_force_path + " cannot be read as one"});
  } else if (manifest.has_value()) {
    std::ranges::move(serving::CompareManifests(*in_force, *manifest),
                      std::back_inserter(findings));
  }
  return findings;
}

}  // namespace

int CheckManifestFile(const ManifestCheckOptions& options) {
  int exit_code = kExitOk;
  nlohmann::json list = nlohmann::json::array();
  for (const serving::Finding& finding : FindingsFor(options)) {
    const std::string severity(serving::SeverityName(finding.severity));
    if (finding.severity == serving::Severity::kError) {
      exit_code = kExitBadManifest;
    }
    if (options.json_output) {
      list.push_back({{"severity", severity},
                      {"subject", finding.subject},
                      {"message", finding.message}});
    } else {
      std::printf("%s: %s: %s\n", severity.c_str(), finding.subject.c_str(),
                  finding.message.c_str());
    }
  }
  if (options.json_output) {
    // Names can hold bytes that are not UTF-8.
    std::printf("%s\n", list.dump(2, ' ', /*ensure_ascii=*/false,
                                  nlohmann::json::error_handler_t::replace)
                            .c_str());
  }
  return exit_code;
}

}  // namespace mulberryroad::node
