// Check of a manifest file for the command line.

#ifndef MULBERRYROAD_SRC_NODE_MANIFEST_REPORT_H_
#define MULBERRYROAD_SRC_NODE_MANIFEST_REPORT_H_

#include <string>

namespace mulberryroad::node {

struct ManifestCheckOptions {
  std::string manifest_path;
  /// Manifest in force, with which it is compared; empty without one.
  std::string in_force_path;
  /// Prints a list in JSON instead of text.
  bool json_output = false;
};

/// Prints what is wrong with a manifest and how it differs from the one in
/// force.
/// @return exit code: 0, or 2 if there is an error or a file cannot be read
int CheckManifestFile(const ManifestCheckOptions& options);

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_MANIFEST_REPORT_H_
