// Says whether a request may have had an effect, so that callers know if it is
// safe to send again.

#ifndef MULBERRYROAD_VERDICT_H_
#define MULBERRYROAD_VERDICT_H_

#include <string_view>

namespace mulberryroad {

/// What is known about the execution of a request.
enum class Verdict {
  /// No byte of the request reached an upstream: it is safe to send it again.
  kNotRun,
  /// At least one byte was handed to an upstream and no whole answer came back.
  kMayHaveRun,
  /// A whole answer came back.
  kRan,
};

/// Returns the verdict in the words used in answers and logs: "not run", "may
/// have run" or "ran".
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
