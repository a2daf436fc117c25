// Events that the runs of an item have received so far.

#ifndef MULBERRYROAD_SRC_BATCHES_ITEM_PROGRESS_H_
#define MULBERRYROAD_SRC_BATCHES_ITEM_PROGRESS_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/store.pb.h"
#include "serving/upstream_caller.h"

namespace mulberryroad::batches {

/// Data of consecutive events in one string, so that an event of a few bytes
/// does not cost a string of its own.
class EventTexts {
 public:
  /// Appends the data of the next event.
  void Append(std::string_view data);
  /// Number of events.
  std::size_t size() const { return ends_.size(); }
  /// Returns the data of an event.
  /// @param index counted from 0, less than `size()`
  std::string_view at(std::size_t index) const;
  /// Returns the data of all events, separated by line feeds.
  const std::string& joined() const { return joined_; }
  /// Returns the memory in use, in bytes.
  std::size_t held_bytes() const {
    return joined_.capacity() + ends_.capacity() * sizeof(std::uint32_t);
  }

 private:
  std::string joined_;
  /// Offset in `joined_` behind each event.
  std::vector<std::uint32_t> ends_;
};

/// Outcome of `ItemProgress::AppendEvent`.
enum class AppendEventResult {
  kAppended,
  /// The event does not follow the last one.
  kOutOfOrder,
  /// The output would exceed its limits.
  kTooLong,
};

/// Output of an item as far as its runs have received it.
struct ItemProgress {
  EventTexts events;
  /// Id of the last event; 0 before the first.
  std::uint64_t last_event = 0;
  /// Weight version of the last event.
  std::uint64_t version = 0;
  /// Weight versions under which the events were generated.
  std::set<std::uint64_t> versions;
  /// Software version of the upstreams that generated the events.
  std::string software;
  /// The output ends with the last event.
  bool complete = false;
  /// Time at which the last run ended.
  Instant interrupted{};

  /// Appends the next event. Changes nothing unless it returns kAppended.
  /// @param max_bytes maximum size of the text
  AppendEventResult AppendEvent(const serving::StreamEvent& event,
                                std::size_t max_bytes);
  /// Returns an estimate of the memory in use, in bytes.
  std::size_t held_bytes() const;
  /// Returns records of the events with ids above `event`, in order.
  /// @param max_bytes maximum size of a record, exceeded only by one that holds
  ///     a single event
  /// @return at least one record
  std::vector<v1::ProgressRecord> RecordsSince(std::uint64_t event,
                                               std::size_t max_bytes) const;
  /// Appends the events of a record.
  /// @return false if its first event does not follow the last one, or comes
  ///     from another software version; nothing is changed
  bool AppendRecord(const v1::ProgressRecord& record);
  /// Returns the data of all events, separated by line feeds.
  const std::string& text() const { return events.joined(); }
  /// True if no event was generated under an older version than this.
  bool meets_min_version(std::uint64_t min_version) const {
    return versions.empty() || *versions.begin() >= min_version;
  }
  /// True if a batch may use the events.
  /// @param single_version whether they must all come from one weight version
  bool fits(std::uint64_t min_version, bool single_version) const {
    return meets_min_version(min_version) &&
           (!single_version || versions.size() <= 1);
  }
};

/// Maximum number of weight versions in an output: an upstream could name a new
/// one with each event.
inline constexpr std::size_t kMaxOutputVersions = 256;
/// Maximum size of the score of an output, in bytes.
inline constexpr std::size_t kMaxScoreBytes = 4U << 10U;

/// Returns the maximum size of an output that fits into a result record.
/// @param max_record_bytes maximum size of a record in the store
std::size_t MaxOutputBytes(std::size_t max_record_bytes);

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_ITEM_PROGRESS_H_
