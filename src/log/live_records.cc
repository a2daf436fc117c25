#include "log/live_records.h"

namespace mulberryroad::log {

void LiveRecords::OnRecord(platform::Offset offset, const v1::Record& record) {
  if (!record.has_snapshot()) {
    records_[offset] = record;
  } else if (record.snapshot().covered_offset() == offset) {
    records_.clear();
  }
}

void LiveRecords::Keep(const std::set<platform::Offset>& live) {
  std::erase_if(records_, [&live](const auto& entry) {
    return !live.contains(entry.first);
  });
}

void LiveRecords::Save(v1::Snapshot* snapshot) const {
  for (const auto& [offset, record] : records_) {
    *snapshot->add_live_records() = record;
    snapshot->add_live_offsets(offset);
  }
}

}  // namespace mulberryroad::log
