// The decision log: one JSON line for each routing or placement decision.

#ifndef MULBERRYROAD_SRC_BASE_DECISION_LOG_H_
#define MULBERRYROAD_SRC_BASE_DECISION_LOG_H_

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/decision.pb.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::base {

/// Sets up log4cxx to write JSON lines to standard output.
/// @param level "debug", "info", "warn" or "error"
void SetUpLogging(const std::string& level);

/// Like SetUpLogging, but writes on a separate thread. Lines are dropped while
/// its buffer is full, so that a slow reader of standard output never blocks
/// the event loop.
void SetUpAsyncLogging(const std::string& level);
/// Flushes buffered lines and closes the log.
void ShutDownLogging();

/// Writes one JSON line {"time":...,"level":...,"event":...,"detail":...}.
void LogInfo(const std::string& event, const std::string& detail);
void LogWarning(const std::string& event, const std::string& detail);
void LogError(const std::string& event, const std::string& detail);

/// Logs decisions and keeps the most recent ones in memory for
/// `mulberryctl explain`. Not thread-safe.
class DecisionLog {
 public:
  /// @param capacity maximum number of decisions kept in memory
  DecisionLog(const Clock& clock, NodeId node,
              std::size_t capacity = kDefaultCapacity);

  /// Sets the time and node ID of a decision, logs it and keeps a copy.
  void Write(v1::Decision decision);

  /// Returns the decisions in memory for a request ID or batch, oldest first.
  std::vector<v1::Decision> Explain(const std::string& request_or_batch) const;

  static constexpr std::size_t kDefaultCapacity = 20'000;

 private:
  const Clock& clock_;
  NodeId node_;
  std::size_t capacity_;
  std::deque<v1::Decision> recent_decisions_;
};

}  // namespace mulberryroad::base

#endif  // MULBERRYROAD_SRC_BASE_DECISION_LOG_H_
