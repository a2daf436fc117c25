// Pure reading of one stream: turns pages of the log into records in offset
// order, each once, and tells a gap from an empty stream.

#ifndef MULBERRYROAD_SRC_LOG_STREAM_READER_H_
#define MULBERRYROAD_SRC_LOG_STREAM_READER_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "log/writer_table.h"
#include "mulberryroad/record.pb.h"
#include "platform/log_service.h"

namespace mulberryroad::log {

/// Hand this record to the subscribers. A snapshot whose covered offset equals
/// the offset replaces all state before it.
struct Deliver {
  platform::Offset offset = 0;
  v1::Record record;
};

/// Records that were never read are no longer retained and no snapshot stands
/// for them.
struct Gap {
  platform::Offset expected = 0;
  platform::Offset first_retained = 0;
};

/// The record at this offset cannot be decoded and was passed over.
struct Unreadable {
  platform::Offset offset = 0;
};

using ReadEvent = std::variant<Deliver, Gap, Unreadable>;

class StreamReader {
 public:
  /// Offset from which to read next.
  platform::Offset position() const { return position_; }
  /// Offset up to which records were handed out; below position() while a
  /// snapshot is searched for.
  platform::Offset delivered_to() const {
    return searching_ ? delivered_to_ : position_;
  }
  /// True once a page showed that nothing follows the position.
  bool caught_up() const { return caught_up_; }
  /// The gap that stops this stream, while there is one.
  const std::optional<Gap>& gap() const { return gap_; }
  /// What was seen of each writer up to the position.
  const WriterTable& writers() const { return writers_; }

  /// Takes in a page that was read from position().
  /// @param limit offset at which to stop, for a reader that must not overtake
  ///     another
  std::vector<ReadEvent> Take(
      const platform::LogPage& page,
      std::optional<platform::Offset> limit = std::nullopt);

 private:
  void TakeRecord(platform::Offset offset, const std::string& bytes,
                  std::vector<ReadEvent>* events);
  void StartSearch(const platform::LogPage& page,
                   std::vector<ReadEvent>* events);
  void Search(const platform::LogPage& page, std::vector<ReadEvent>* events);
  void Load(std::vector<ReadEvent>* events);
  void ReportGap(std::vector<ReadEvent>* events);

  platform::Offset position_ = 0;
  bool caught_up_ = false;
  std::optional<Gap> gap_;
  WriterTable writers_;
  // While a snapshot is searched for, position_ runs ahead of the records that
  // were delivered.
  bool searching_ = false;
  platform::Offset delivered_to_ = 0;
  platform::Offset first_retained_ = 0;
  std::optional<v1::Record> newest_snapshot_;
};

}  // namespace mulberryroad::log

#endif  // MULBERRYROAD_SRC_LOG_STREAM_READER_H_
