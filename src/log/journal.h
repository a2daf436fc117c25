// Reliable appends to the log and ordered, de-duplicated reading of its
// streams.

#ifndef MULBERRYROAD_SRC_LOG_JOURNAL_H_
#define MULBERRYROAD_SRC_LOG_JOURNAL_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "mulberryroad/record.pb.h"
#include "platform/log_service.h"

namespace mulberryroad::log {

/// Receives the offset of an appended record, or nullopt and the last reason if
/// it is not known to be in the log.
using OnJournaled = std::function<void(std::optional<platform::Offset> offset,
                                       const std::string& reason)>;
/// Receives each record of a stream once, in offset order.
using OnRecord =
    std::function<void(platform::Offset offset, const v1::Record& record)>;

class Journal {
 public:
  virtual ~Journal() = default;

  /// Appends a record under a fresh (writer, sequence) of this node and settles
  /// a lost answer by reading on. The stream must be one that this node
  /// subscribes to.
  /// @param give_up_after the record may still be in the log after this time
  virtual void Append(const std::string& stream, v1::Record record,
                      std::chrono::milliseconds give_up_after,
                      OnJournaled on_journaled) = 0;

  /// Tails a stream from its newest whole snapshot, or its start. A snapshot
  /// whose covered_offset equals the offset it is handed out with replaces all
  /// state of the stream; the records that it keeps alive follow, each with its
  /// own offset. Other snapshots are for comparison only. Handlers of
  /// one stream are called in the order of subscription; a late subscriber gets
  /// the records from the start again.
  virtual void Subscribe(const std::string& stream, OnRecord on_record) = 0;

  /// Stops reading a stream and drops its subscribers.
  virtual void Unsubscribe(const std::string& stream) = 0;

  /// True once the stream was read up to the end that it had at some moment
  /// after Subscribe.
  virtual bool caught_up(const std::string& stream) const = 0;

  /// Time since the log service last answered a read.
  virtual std::chrono::milliseconds silence() const = 0;
};

}  // namespace mulberryroad::log

#endif  // MULBERRYROAD_SRC_LOG_JOURNAL_H_
