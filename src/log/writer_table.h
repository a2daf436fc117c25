// Which sequences of each writer a stream holds, so that readers drop repeats.

#ifndef MULBERRYROAD_SRC_LOG_WRITER_TABLE_H_
#define MULBERRYROAD_SRC_LOG_WRITER_TABLE_H_

#include <google/protobuf/repeated_ptr_field.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "mulberryroad/record.pb.h"
#include "platform/log_service.h"

namespace mulberryroad::log {

/// A function of the records read so far, so that all readers agree on it. Its
/// size is bounded: writers fall out by offsets, never by time.
class WriterTable {
 public:
  /// Notes a record.
  /// @return false if it repeats an earlier one
  bool Note(const std::string& writer, std::uint64_t sequence,
            platform::Offset offset);

  /// Writes the table into a snapshot.
  void Save(google::protobuf::RepeatedPtrField<v1::WriterPosition>* out) const;
  /// Replaces the table by that of a snapshot.
  void Load(
      const google::protobuf::RepeatedPtrField<v1::WriterPosition>& saved);

  std::size_t size() const { return writers_.size(); }

  /// A writer is forgotten once its latest record lies this many offsets back.
  static constexpr platform::Offset kForgetAfterOffsets = 100'000;
  /// Sequences kept above the lowest one that is still missing.
  static constexpr std::size_t kMaxSparse = 1'024;

 private:
  struct Position {
    std::uint64_t seen_below = 0;
    std::set<std::uint64_t> seen;
    platform::Offset last_offset = 0;
  };

  void Forget(platform::Offset offset);

  std::map<std::string, Position> writers_;
  platform::Offset next_sweep_ = 0;
};

}  // namespace mulberryroad::log

#endif  // MULBERRYROAD_SRC_LOG_WRITER_TABLE_H_
