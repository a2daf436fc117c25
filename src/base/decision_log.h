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

/// Sets up log4cxx like SetUpLogging, but hands lines to a thread of their own;
/// they are dropped while its buffer is full, so that a slow reader of standard
/// output never blocks the loop.
void SetUpAsyncLogging(const std::string& level);
/// Writes what is still buffered.
void ShutDownLogging();

/// Writes one JSON line {"level":...,"event":...,"detail":...} that is not a
/// decision.
void LogInfo(const std::string& event, const std::string& detail);
void LogWarning(const std::string& event, const std::string& detail);
void LogError(const std::string& event, const std::string& detail);

/// Writes decisions and keeps the latest ones for `mulberryctl explain`.
class DecisionLog {
 public:
  /// @param capacity how many decisions are kept in memory
  DecisionLog(const Clock& clock, NodeId node,
              std::size_t capacity = kDefaultCapacity);

  /// Fills in the time and the node, writes the line and keeps a copy.
  void Write(v1::Decision decision);

  /// Returns the kept decisions that name a request or a batch, oldest first.
  std::vector<v1::Decision> Explain(const std::string& request_or_batch) const;

  static constexpr std::size_t kDefaultCapacity = 20'000;

 private:
  const Clock& clock_;
  NodeId node_;
  std::size_t capacity_;
  std::deque<v1::Decision> kept_;
};

}  // namespace mulberryroad::base

#endif  // MULBERRYROAD_SRC_BASE_DECISION_LOG_H_
