// The platform's append-only log service: streams of records with offsets.

#ifndef MULBERRYROAD_SRC_PLATFORM_LOG_SERVICE_H_
#define MULBERRYROAD_SRC_PLATFORM_LOG_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "mulberryroad/verdict.h"

namespace mulberryroad::platform {

/// Offset of a record in its stream; the first record has offset 0.
using Offset = std::uint64_t;

/// A platform call that brought no answer. With kMayHaveRun its effect is
/// unknown.
struct PlatformFailure {
  Verdict verdict = Verdict::kNotRun;
  std::string reason;
};

struct LogPosition {
  Offset offset = 0;
};

/// Consecutive records of a stream.
struct LogPage {
  /// Lowest retained offset.
  Offset first_offset = 0;
  /// Offset that the next append will get.
  Offset next_offset = 0;
  /// Offset of records[0].
  Offset records_from = 0;
  std::vector<std::string> records;
};

using OnAppended =
    std::function<void(std::variant<LogPosition, PlatformFailure>)>;
using OnPage = std::function<void(std::variant<LogPage, PlatformFailure>)>;

class LogService {
 public:
  virtual ~LogService() = default;
  /// Appends one record. Never calls back inside Append.
  virtual void Append(const std::string& stream, std::string record,
                      std::chrono::milliseconds timeout,
                      OnAppended on_appended) = 0;
  /// Reads records from an offset on; waits up to `wait` for the first new one.
  /// @param max_records upper bound on the records of the page
  virtual void Read(const std::string& stream, Offset from,
                    std::uint32_t max_records, std::chrono::milliseconds wait,
                    OnPage on_page) = 0;
};

}  // namespace mulberryroad::platform

#endif  // MULBERRYROAD_SRC_PLATFORM_LOG_SERVICE_H_
