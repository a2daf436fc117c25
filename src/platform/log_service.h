// Interface of the platform's append-only log service, which stores streams of
// records.

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

/// A platform call that failed or received no response. With kMayHaveRun its
/// effect is unknown.
struct PlatformFailure {
  Verdict verdict = Verdict::kNotRun;
  std::string reason;
};

/// The offset of an appended record.
struct LogPosition {
  Offset offset = 0;
};

/// Consecutive records of a stream.
struct LogPage {
  /// Lowest retained offset.
  Offset first_offset = 0;
  /// Offset of the next record to be appended.
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
  /// Appends one record. on_appended is never called before Append returns.
  virtual void Append(const std::string& stream, std::string record,
                      std::chrono::milliseconds timeout,
                      OnAppended on_appended) = 0;
  /// Reads consecutive records, starting at an offset.
  /// @param max_records maximum number of records in the page
  /// @param wait maximum time to wait for a record if there is none yet
  virtual void Read(const std::string& stream, Offset from,
                    std::uint32_t max_records, std::chrono::milliseconds wait,
                    OnPage on_page) = 0;
};

}  // namespace mulberryroad::platform

#endif  // MULBERRYROAD_SRC_PLATFORM_LOG_SERVICE_H_
