// Shares through the store which requests crash their upstreams.

#ifndef MULBERRYROAD_SRC_NODE_CRASH_EXCHANGE_H_
#define MULBERRYROAD_SRC_NODE_CRASH_EXCHANGE_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/event_loop.h"
#include "base/metrics.h"
#include "base/structured_log.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"
#include "node/shared_records.h"
#include "serving/crash_evidence.h"
#include "serving/crash_reporter.h"

namespace mulberryroad::node {

/// Writes the crashes that this node saw to the shared records and reads those
/// of all nodes. Runs on the event loop thread.
class CrashExchange final : public serving::CrashReporter {
 public:
  /// @param cleans returns whether this node deletes expired reports from the
  ///     store
  CrashExchange(base::EventLoop& loop, const Clock& clock,
                base::StructuredLog& log, base::Metrics& metrics,
                SharedRecords& shared, serving::CrashEvidence& evidence,
                std::string node, std::function<bool()> cleans);
  ~CrashExchange() override;
  CrashExchange(const CrashExchange&) = delete;
  CrashExchange& operator=(const CrashExchange&) = delete;

  /// Starts to discard old reports.
  void Start();

  void Report(const std::string& content, const RequestId& request) override;
  void Withdraw(const std::string& content) override;

  static constexpr std::chrono::milliseconds kExpireInterval{10'000};

 private:
  void EnqueueReports(const std::string& content, const RequestId& request);
  void Apply(const std::string& key_text,
             const std::optional<std::string>& value);
  void Expire();

  base::EventLoop& loop_;
  const Clock& clock_;
  base::StructuredLog& log_;
  base::Metrics& metrics_;
  SharedRecords& shared_;
  serving::CrashEvidence& evidence_;
  std::string node_;
  std::function<bool()> cleans_;
  base::Timer expire_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_CRASH_EXCHANGE_H_
