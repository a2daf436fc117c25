// Tests the check of a manifest before it is sent.

#include "serving/manifest_check.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

#include "platform/manifest_codec.h"
#include "platform/manifest_fields.h"

namespace mulberryroad {
namespace {

using platform_adapter::CheckManifestFields;
using platform_adapter::DecodeManifest;
using serving::Finding;
using serving::Severity;

constexpr char kManifest[] = R"({"version":7,"routes":[
  {"name":"r1","host":"h","pathPrefix":"/a/","kind":"idempotent",
   "timeoutMs":2000,"targetLatencyMs":150,"service":"s1"},
  {"name":"r2","host":"h","pathPrefix":"/b/","kind":"rollout","service":"s2",
   "retentionS":40.0,"resultDeadlineMs":7500}],
 "services":[{"name":"s1"},{"name":"s2","scaling":{"min":1,"max":8}}],
 "limits":{"maxHeaderBytes":100,"maxBodyBytes":1000},
 "tenants":[{"name":"o1","apiKeys":["k1"]},{"name":"o2","apiKeys":["k2"]}]})";

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kManifest;
  return text.replace(text.find(from), from.size(), to);
}

std::vector<Finding> Check(const std::string& text) {
  std::vector<Finding> findings = CheckManifestFields(text);
  if (const auto manifest = DecodeManifest(text)) {
    std::ranges::copy(serving::CheckManifest(*manifest),
                      std::back_inserter(findings));
  }
  return findings;
}

bool Has(const std::vector<Finding>& findings, Severity severity,
         const std::string& subject, const std::string& part) {
  return std::ranges::any_of(findings, [&](const Finding& finding) {
    return finding.severity == severity && finding.subject == subject &&
           finding.message.find(part) != std::string::npos;
  });
}

// Guards against findings that make operators ignore the check.
Test(manifest_check, valid_manifest_has_no_findings) {
  cr_assert(Check(kManifest).empty());
  cr_assert(CompareManifests(*DecodeManifest(Replaced("7", "6")),
                             *DecodeManifest(kManifest))
                .empty());
}

struct Fault {
  const char* from;
  const char* to;
  Severity severity;
  const char* subject;
  const char* message;
};

// Guards against a fault that is only noticed once nodes have applied it.
Test(manifest_check, faults_are_found) {
  constexpr auto kError = Severity::kError;
  constexpr auto kWarning = Severity::kWarning;
  const std::vector<Fault> faults = {
      {"{\"version\":7,", "{", kError, "manifest", "version is missing"},
      {"\"tenants\":[", "", kError, "manifest", "not valid JSON"},
      {"\"host\":\"h\",", "", kError, "route r1", "host is missing"},
      {"2000", "\"2\"", kError, "route r1", "timeoutMs is not a number"},
      {"\"service\":\"s1\"", "\"service\":\"s3\"", kError, "route r1",
       "s3, which is not declared"},
      {"\"service\":\"s1\"", "\"service\":\"s2\"", kError, "service s1",
       "no route leads to it"},
      {"\"service\":\"s1\"", R"("trafficSplit":[{"service":"s1","weight":0}])",
       kError, "route r1", "sum to 0"},
      {",\"service\":\"s1\"", "", kError, "route r1", "leads to no service"},
      {"\"r2\"", "\"r1\"", kError, "route r1", "used twice"},
      {"\"o2\"", "\"o1\"", kError, "organisation o1", "used twice"},
      {"/b/", "/a/", kWarning, "route r2", "never matches: route r1"},
      {"/b/", "/b", kWarning, "route r2", "slash"},
      {"[\"k2\"]", "[]", kWarning, "organisation o2", "has no key"},
      {"k2", "k1", kWarning, "organisation o2", "organisation o1 holds"},
      {"2000", "100", kWarning, "route r1", "shorter than the target"},
      {"40.0", "4", kWarning, "route r2", "shorter than the result deadline"},
      {"\"min\":1", "\"min\":9", kWarning, "service s2", "above the maximum"},
      {":100,", ":10000,", kWarning, "limits", "above the body limit"},
      {"idempotent", "other", kWarning, "route r1", "unknown kind"}};
  for (const Fault& fault : faults) {
    cr_expect(Has(Check(Replaced(fault.from, fault.to)), fault.severity,
                  fault.subject, fault.message),
              "expected %s: %s", fault.subject, fault.message);
  }
}

// Guards against a change that an operator did not intend, and against keys in
// the output.
Test(manifest_check, differences_from_the_version_in_force_are_named) {
  const auto in_force = DecodeManifest(Replaced("\"r2\"", "\"r0\""));
  auto proposed = *DecodeManifest(Replaced("k2", "k3"));
  proposed.version = 8;
  proposed.routes[0].timeout += std::chrono::seconds(1);
  const std::vector<Finding> expected = {
      {Severity::kDifference, "route r1", "changed: timeout"},
      {Severity::kDifference, "route r2", "added"},
      {Severity::kDifference, "route r0", "removed"},
      {Severity::kDifference, "organisation o2", "changed: keys"}};
  cr_assert(CompareManifests(*in_force, proposed) == expected);
  proposed.version = 7;
  cr_assert(Has(CompareManifests(*in_force, proposed), Severity::kError,
                "version", "not above 7"));
}

}  // namespace
}  // namespace mulberryroad
