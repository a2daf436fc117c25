// Whether a request may have been executed, which decides whether a retry is
// safe.

#ifndef MULBERRYROAD_VERDICT_H_
#define MULBERRYROAD_VERDICT_H_

#include <string_view>

namespace mulberryroad {

/// Execution status of a request, as far as it is known.
enum class Verdict {
  /// No byte of the request reached an upstream; a retry is safe.
  kNotRun,
  /// At least one byte was sent to an upstream and no complete response was
  /// received.
  kMayHaveRun,
  /// A complete response was received.
  kRan,
};

/// Returns the text used in responses and logs: "not run", "may have run" or
/// "ran".
constexpr std::string_view ToString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not run";
    case Verdict::kMayHaveRun:
      return "may have run";
    case Verdict::kRan:
      return "ran";
  }
  return "unknown";
}

}  // namespace mulberryroad

#endif  // MULBERRYROAD_VERDICT_H_
