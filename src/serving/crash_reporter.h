// Interface for telling other nodes which requests crash their upstreams.

#ifndef MULBERRYROAD_SRC_SERVING_CRASH_REPORTER_H_
#define MULBERRYROAD_SRC_SERVING_CRASH_REPORTER_H_

#include <string>

#include "mulberryroad/ids.h"

namespace mulberryroad::serving {

/// Used on the event loop's thread.
class CrashReporter {
 public:
  virtual ~CrashReporter() = default;
  /// Reports the crashes that count against a content.
  /// @param request the request of this node that ended without a response
  virtual void Report(const std::string& content, const RequestId& request) = 0;
  /// Withdraws the reports on a content to which an upstream responded, and
  /// clears it in the evidence of this node.
  virtual void Withdraw(const std::string& content) = 0;
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_CRASH_REPORTER_H_
