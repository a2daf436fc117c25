// The records of a stream that still matter, for snapshots of streams whose
// state is made of records.

#ifndef MULBERRYROAD_SRC_LOG_LIVE_RECORDS_H_
#define MULBERRYROAD_SRC_LOG_LIVE_RECORDS_H_

#include <cstddef>
#include <map>
#include <set>

#include "mulberryroad/record.pb.h"
#include "platform/log_service.h"

namespace mulberryroad::log {

class LiveRecords {
 public:
  /// Keeps a record; a snapshot that starts a stream replaces all before it.
  void OnRecord(platform::Offset offset, const v1::Record& record);
  /// Drops all records but these.
  void Keep(const std::set<platform::Offset>& live);
  /// Writes the kept records into a snapshot, oldest first.
  void Save(v1::Snapshot* snapshot) const;

  std::size_t size() const { return records_.size(); }

 private:
  std::map<platform::Offset, v1::Record> records_;
};

}  // namespace mulberryroad::log

#endif  // MULBERRYROAD_SRC_LOG_LIVE_RECORDS_H_
