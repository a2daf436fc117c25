// Checks a manifest before it is sent, and compares it with the one in force.
// Performs no I/O.

#ifndef MULBERRYROAD_SRC_SERVING_MANIFEST_CHECK_H_
#define MULBERRYROAD_SRC_SERVING_MANIFEST_CHECK_H_

#include <string>
#include <string_view>
#include <vector>

#include "serving/manifest.h"

namespace mulberryroad::serving {

enum class Severity {
  /// Requests would be rejected, or the manifest ignored.
  kError,
  /// An entry has no effect, or limits contradict each other.
  kWarning,
  /// The manifest differs from the one in force.
  kDifference,
};

/// Returns the name of a severity in the output.
std::string_view SeverityName(Severity severity);

/// One result of a check.
struct Finding {
  Severity severity = Severity::kError;
  /// Entry of the manifest, such as "route reports"; never an API key.
  std::string subject;
  std::string message;

  friend bool operator==(const Finding&, const Finding&) = default;
};

/// Returns the errors and warnings of a manifest.
std::vector<Finding> CheckManifest(const Manifest& manifest);

/// Returns the differences of a manifest from the one in force, and an error if
/// its version is not higher.
std::vector<Finding> CompareManifests(const Manifest& in_force,
                                      const Manifest& proposed);

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_MANIFEST_CHECK_H_
