// Reading and checking declarations before anything is appended.

#ifndef MULBERRYROAD_SRC_CONFIG_CHECK_H_
#define MULBERRYROAD_SRC_CONFIG_CHECK_H_

#include <string>
#include <variant>
#include <vector>

#include "mulberryroad/declaration.pb.h"

namespace mulberryroad::config {

/// One fault of a declaration.
struct Problem {
  /// Counted from 1; 0 if the fault has no place of its own.
  int line = 0;
  int column = 0;
  std::string message;
  /// What to do about it; may be empty.
  std::string hint;
};

using CheckResult = std::variant<v1::Declaration, std::vector<Problem>>;

/// Reads a declaration in protobuf text format. Reports unknown fields,
/// dangling and duplicate names, impossible bounds and malformed digests, each
/// with its line, all at once.
CheckResult Check(const std::string& text);

/// Returns "line L, column C: message (hint)".
std::string ToString(const Problem& problem);

/// Returns the SHA-256 of a declaration, which does not depend on its layout in
/// a file.
std::string DeclarationDigest(const v1::Declaration& declaration);

}  // namespace mulberryroad::config

#endif  // MULBERRYROAD_SRC_CONFIG_CHECK_H_
