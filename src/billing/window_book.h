// Folds the records of the "usage" stream into windows: what is open, what a
// closed window's figures are, and which reports are still to be sent.

#ifndef MULBERRYROAD_SRC_BILLING_WINDOW_BOOK_H_
#define MULBERRYROAD_SRC_BILLING_WINDOW_BOOK_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "billing/meter.h"
#include "mulberryroad/billing.pb.h"
#include "mulberryroad/ids.h"
#include "mulberryroad/record.pb.h"
#include "platform/log_service.h"

namespace mulberryroad::billing {

/// Start of a usage window, seconds since the Unix epoch.
using WindowStart = std::uint64_t;

using Counters = std::vector<v1::UsageCounter>;

/// Names one cumulative counter.
struct CounterKey {
  std::string node_id;
  std::uint64_t incarnation = 0;
  WindowStart window = 0;
  std::string organisation;

  friend auto operator<=>(const CounterKey&, const CounterKey&) = default;
};

/// Returns the key of a counter.
CounterKey KeyOf(const v1::UsageCounter& counter);

/// What became of a record that the book was given.
enum class CloseVerdict {
  kNotAClose,
  /// The record closed its window; its figures are the only truth about it.
  kValid,
  /// The window, or a later one, was closed before.
  kVoidClosedBefore,
  /// A record with a higher epoch stands before it in the stream.
  kVoidOldEpoch,
  /// It covers records that do not stand before it, fewer than the last valid
  /// close, or leaves out too many.
  kVoidCoverage,
};

/// A window whose figures are settled.
struct ClosedWindow {
  WindowStart window = 0;
  /// Offset of the close record.
  platform::Offset offset = 0;
  v1::WindowClose close;
  /// Organisations whose report was taken, with the offset that says so.
  std::map<std::string, platform::Offset> reported;

  /// Returns true once every figure was reported.
  bool complete() const;
};

struct WindowBookOptions {
  /// Protections; switched off only to show that each one is needed.
  bool check_epoch = true;
  bool first_close_wins = true;
  bool late_usage_moves_on = true;
};

/// Every reader that folds the same stream holds the same state: the rules use
/// nothing but the records and their offsets.
///
/// A close is valid if no record before it closed its window or a later one, no
/// close before it carries a higher epoch, and its covered offset lies before
/// it, at most kMaxCloseLag records, and not before that of the last valid
/// close. It takes all usage of its window and of earlier ones at or below its
/// covered offset that no earlier close took; what stands above that offset
/// belongs to the next open window.
class WindowBook {
 public:
  explicit WindowBook(WindowBookOptions options = {});

  /// Folds one record of the stream, in offset order. A snapshot handed out
  /// with the offset that it covers replaces all state; its live records follow
  /// with their own, lower offsets.
  CloseVerdict OnRecord(platform::Offset offset, const v1::Record& record);

  /// Returns the close record of a window over all records read so far.
  /// @param organisations get a figure even if they used nothing
  v1::WindowClose Prepare(
      WindowStart window, std::uint64_t epoch,
      const std::vector<OrganisationId>& organisations) const;

  /// Returns the earliest window with usage that no close took.
  std::optional<WindowStart> oldest_open() const;
  /// Returns the last closed window.
  std::optional<WindowStart> last_closed() const;
  /// Returns closed windows that have figures without a report, oldest first.
  std::vector<const ClosedWindow*> unreported() const;
  /// Returns a closed window, or null if it is open or forgotten.
  const ClosedWindow* closed(WindowStart window) const;
  /// Returns the figures of usage that no close took yet, by organisation.
  std::map<std::string, Usage> open_usage() const;
  /// Returns the highest epoch of any close read.
  std::uint64_t highest_epoch() const { return highest_epoch_; }
  /// Returns the number of void closes read.
  std::size_t void_closes() const { return void_closes_; }
  /// Returns the offsets of the records that a reader needs to come to this
  /// state.
  std::set<platform::Offset> live_offsets() const;

  /// A counter is forgotten when its window is closed and this many records
  /// follow its last one.
  static constexpr std::uint64_t kForgetCounterAfter = 100'000;
  /// A close that leaves out more records than this is void.
  static constexpr std::uint64_t kMaxCloseLag = 2'000;
  /// Complete windows kept for display.
  static constexpr std::size_t kCompleteWindowsKept = 48;

 private:
  /// Growth of a counter that no close took yet.
  struct Growth {
    platform::Offset offset = 0;
    WindowStart window = 0;
    std::string organisation;
    Usage usage;
  };
  struct WindowOrganisation {
    WindowStart window = 0;
    std::string organisation;

    friend auto operator<=>(const WindowOrganisation&,
                            const WindowOrganisation&) = default;
  };
  struct RecentAppend {
    platform::Offset offset = 0;
    Counters counters;
  };
  /// The record with the highest counts of one counter up to some offset.
  struct Mark {
    std::optional<platform::Offset> offset;
    Usage counts{0, 0, 0};
  };
  /// Highest counts seen of one counter.
  struct Total {
    platform::Offset last_offset = 0;
    Usage highest{0, 0, 0};
    /// Record with the highest counts at or below the last covered offset.
    Mark covered;
    /// Record with the highest counts that every valid close must cover.
    Mark aged;
  };

  void FoldSnapshot(platform::Offset offset, const v1::Snapshot& snapshot);
  void FoldUsage(platform::Offset offset, const v1::UsageAppend& append);
  CloseVerdict FoldClose(platform::Offset offset, const v1::WindowClose& close);
  CloseVerdict Judge(platform::Offset offset,
                     const v1::WindowClose& close) const;
  void Accept(platform::Offset offset, const v1::WindowClose& close);
  void FoldReported(platform::Offset offset,
                    const v1::WindowReported& reported);
  void AgeGrowth(platform::Offset offset);
  void ForgetOldCounters(platform::Offset offset);
  void ForgetCompleteWindows();
  void TakeUsage(const v1::WindowClose& close);
  void MarkCovered(platform::Offset covered);
  static void Raise(Mark& mark, platform::Offset offset,
                    const v1::UsageCounter& counter);

  WindowBookOptions options_;
  std::map<CounterKey, Total> totals_;
  /// Growth that every valid close must cover, and the rest one by one.
  std::map<WindowOrganisation, Usage> aged_growth_;
  std::deque<Growth> recent_growth_;
  /// Usage records above the last covered offset that are not aged.
  std::deque<RecentAppend> recent_;
  std::map<WindowStart, ClosedWindow> closed_;
  std::optional<WindowStart> last_closed_;
  std::optional<platform::Offset> last_covered_;
  std::optional<platform::Offset> last_offset_;
  std::uint64_t highest_epoch_ = 0;
  std::optional<platform::Offset> highest_epoch_offset_;
  std::size_t void_closes_ = 0;
};

}  // namespace mulberryroad::billing

#endif  // MULBERRYROAD_SRC_BILLING_WINDOW_BOOK_H_
