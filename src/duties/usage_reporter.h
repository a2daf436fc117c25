// Closes usage windows and reports them while this node holds the lease.
//
// A closed window's figures are stored before they are sent, under the lease's
// epoch, so that every holder reports the same.

#ifndef MULBERRYROAD_SRC_DUTIES_USAGE_REPORTER_H_
#define MULBERRYROAD_SRC_DUTIES_USAGE_REPORTER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/event_loop.h"
#include "base/structured_log.h"
#include "duties/lease_runner.h"
#include "duties/usage_counts.h"
#include "mulberryroad/clock.h"
#include "platform/duty_services.h"
#include "platform/partition_store.h"
#include "store/fenced_writer.h"

namespace mulberryroad::duties {

struct UsageTiming {
  std::chrono::seconds window{5};
  /// How long after its end a window is closed: the nodes store their counts
  /// each second.
  std::chrono::milliseconds close_delay{2'500};
};

class UsageReporter {
 public:
  UsageReporter(base::EventLoop& loop, const Clock& clock,
                base::StructuredLog& log, platform::PartitionStore& store,
                platform::DutyServices& services, int partitions,
                UsageTiming timing, std::string node, UsageCounts& counts,
                std::function<std::optional<std::uint64_t>()> epoch);
  ~UsageReporter();
  UsageReporter(const UsageReporter&) = delete;
  UsageReporter& operator=(const UsageReporter&) = delete;

  void Start();
  /// Stores this node's counts now.
  void Flush();

  static constexpr std::chrono::milliseconds kFlushInterval{1'000};
  static constexpr std::chrono::milliseconds kTick{250};
  static constexpr std::chrono::milliseconds kTimeout{800};
  /// A new holder looks this many windows back.
  static constexpr std::int64_t kLookBack = 6;

 private:
  /// Work under one epoch.
  struct Term {
    std::uint64_t epoch = 0;
    std::shared_ptr<store::FencedWriter> writer;
    bool loaded = false;
    std::map<std::int64_t, UsageByOrganisation> closed;
    std::set<std::int64_t> reported;
    std::set<std::int64_t> busy;
    bool over = false;
  };

  void Tick();
  void Begin(std::uint64_t epoch);
  void LoadClosed(const std::shared_ptr<Term>& term, const std::string& after);
  void Close(const std::shared_ptr<Term>& term, std::int64_t window);
  void Report(const std::shared_ptr<Term>& term, std::int64_t window);

  base::EventLoop& loop_;
  const Clock& clock_;
  base::StructuredLog& log_;
  platform::PartitionStore& store_;
  platform::DutyServices& services_;
  int partitions_;
  UsageTiming timing_;
  std::string node_;
  UsageCounts& counts_;
  std::function<std::optional<std::uint64_t>()> epoch_;
  std::shared_ptr<Term> term_;
  base::Timer flush_timer_;
  base::Timer tick_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::duties

#endif  // MULBERRYROAD_SRC_DUTIES_USAGE_REPORTER_H_
