// Shares through the store which requests crash their upstreams.

#ifndef MULBERRYROAD_SRC_NODE_CRASH_EXCHANGE_H_
#define MULBERRYROAD_SRC_NODE_CRASH_EXCHANGE_H_

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "base/metrics.h"
#include "base/structured_log.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"
#include "platform/partition_store.h"
#include "serving/crash_evidence.h"
#include "serving/crash_reporter.h"
#include "store/keyed_tail.h"

namespace mulberryroad::node {

/// Appends the crashes that this node saw to a topic of the store and reads
/// those of all nodes. Runs on the event loop thread.
class CrashExchange final : public serving::CrashReporter {
 public:
  /// @param cleans returns whether this node deletes expired reports from the
  ///     store
  CrashExchange(base::EventLoop& loop, const Clock& clock,
                base::StructuredLog& log, base::Metrics& metrics,
                platform::PartitionStore& store,
                serving::CrashEvidence& evidence, std::string node,
                std::function<bool()> cleans);
  ~CrashExchange() override;
  CrashExchange(const CrashExchange&) = delete;
  CrashExchange& operator=(const CrashExchange&) = delete;

  /// Starts to read the reports of all nodes.
  void Start();

  void Report(const std::string& content, const RequestId& request) override;
  void Withdraw(const std::string& content) override;

  /// How long the store holds a read while there is no report.
  static constexpr std::chrono::milliseconds kPollWait{2'000};
  static constexpr std::chrono::milliseconds kAppendTimeout{800};
  /// Delay before a failed append is retried.
  static constexpr std::chrono::milliseconds kRetryDelay{200};
  static constexpr std::chrono::milliseconds kExpireInterval{10'000};
  /// Maximum number of records that wait for an append; the oldest ones are
  /// discarded.
  static constexpr std::size_t kMaxQueued = 1'024;
  /// Maximum number of records of one append.
  static constexpr std::size_t kMaxBatch = 64;

 private:
  store::TailHandler MakeHandler();
  void EnqueueReports(const std::string& content, const RequestId& request);
  void Apply(const platform::KeyedRecord& record);
  void Enqueue(platform::KeyedRecord record);
  /// Appends the queued records, unless an append is in flight.
  void Flush();
  void Expire();

  base::EventLoop& loop_;
  const Clock& clock_;
  base::StructuredLog& log_;
  base::Metrics& metrics_;
  platform::PartitionStore& store_;
  serving::CrashEvidence& evidence_;
  std::string node_;
  std::function<bool()> cleans_;
  std::shared_ptr<store::KeyedTail> tail_;
  std::deque<platform::KeyedRecord> queue_;
  bool appending_ = false;
  base::Timer retry_timer_;
  base::Timer expire_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_CRASH_EXCHANGE_H_
