// JSON lines on standard output, one for each decision or change of belief, at
// a bounded rate.

#ifndef MULBERRYROAD_SRC_BASE_STRUCTURED_LOG_H_
#define MULBERRYROAD_SRC_BASE_STRUCTURED_LOG_H_

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::base {

/// One named value of a line.
struct LogField {
  std::string_view name;
  std::variant<std::string, std::int64_t, double, bool> value;
};

/// Writes lines without blocking on their reader: log4cxx hands them to a
/// thread of its own and drops them when its buffer is full. Lines over the
/// rate are dropped and counted; the count is told with the next line.
class StructuredLog {
 public:
  StructuredLog(const Clock& clock, NodeId node);

  /// Writes one line.
  /// @param event what was decided or learnt, in dotted lower case
  void Write(std::string_view event, std::initializer_list<LogField> fields);

  /// Lines dropped since the start.
  std::uint64_t dropped() const { return dropped_; }

  /// Lines a second: 150 lines of 300 bytes stay under 0.4 Mbit/s and, at 15 us
  /// a line, under 0.3% of a core.
  static constexpr double kLinesPerSecond = 150;
  /// Lines that may be written at once after a pause.
  static constexpr double kBurst = 600;

 private:
  const Clock& clock_;
  NodeId node_;
  Instant refilled_;
  double credit_ = kBurst;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_told_ = 0;
};

}  // namespace mulberryroad::base

#endif  // MULBERRYROAD_SRC_BASE_STRUCTURED_LOG_H_
