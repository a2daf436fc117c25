// Closes usage windows and reports them while this node holds the duty lease.
//
// The figures of a closed window are stored under the lease's epoch before they
// are sent, so that every holder reports the same figures.

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

/// Durations of usage reporting.
struct UsageTiming {
  /// Length of a usage window.
  std::chrono::seconds window{5};
  /// Time from the end of a window until it is closed: the nodes store their
  /// counts each second.
  std::chrono::milliseconds close_delay{2'500};
};

/// Stores this node's counts on a timer and, with the lease, closes and reports
/// windows. Used on the event loop's thread.
class UsageReporter {
 public:
  /// @param partitions number of partitions of the usage topic
  /// @param node name of this node in its reports
  /// @param counts counts of this process; must outlive the reporter
  /// @param epoch returns the epoch of the lease while this node holds it, else
  ///     nullopt
  UsageReporter(base::EventLoop& loop, const Clock& clock,
                base::StructuredLog& log, platform::PartitionStore& store,
                platform::DutyServices& services, int partitions,
                UsageTiming timing, std::string node, UsageCounts& counts,
                std::function<std::optional<std::uint64_t>()> epoch);
  ~UsageReporter();
  UsageReporter(const UsageReporter&) = delete;
  UsageReporter& operator=(const UsageReporter&) = delete;

  /// Starts the timers. Called once.
  void Start();
  /// Appends this node's changed counts to the store. Those that were not
  /// stored are appended again by a later flush.
  void Flush();

  static constexpr std::chrono::milliseconds kFlushInterval{1'000};
  static constexpr std::chrono::milliseconds kTickInterval{250};
  /// Timeout of each call to the store.
  static constexpr std::chrono::milliseconds kStoreTimeout{800};
  /// Number of windows before the latest due one that are checked too, so that
  /// a new holder closes and reports those that the previous one did not.
  static constexpr std::int64_t kLookBackWindows = 6;

 private:
  /// State of reporting under one epoch.
  struct Term {
    std::uint64_t epoch = 0;
    std::shared_ptr<store::FencedWriter> writer;
    /// Whether the closed windows were read from the store.
    bool loaded = false;
    /// Figures of the closed windows.
    std::map<std::int64_t, UsageByOrganisation> closed;
    /// Windows whose report the usage service accepted.
    std::set<std::int64_t> reported;
    /// Windows that are being closed or reported.
    std::set<std::int64_t> in_progress;
    /// Whether the term has ended: this node began another, or a higher epoch
    /// took over.
    bool ended = false;
  };

  /// Begins a term if the epoch changed, else closes and reports the due
  /// windows.
  void Tick();
  /// Ends the current term and starts one under `epoch`.
  void BeginTerm(std::uint64_t epoch);
  /// Reads the closed windows from the store, page by page.
  /// @param after key of the last record read; empty for the first page
  void LoadClosedWindows(const std::shared_ptr<Term>& term,
                         const std::string& after);
  /// Stores the sum of all processes' counts of a window, then reports it.
  void CloseWindow(const std::shared_ptr<Term>& term, std::int64_t window);
  /// Sends the figures of a closed window to the usage service.
  void ReportWindow(const std::shared_ptr<Term>& term, std::int64_t window);

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
