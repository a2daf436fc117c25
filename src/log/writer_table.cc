#include "log/writer_table.h"

namespace mulberryroad::log {

namespace {
// Offsets between two sweeps for forgotten writers; sweeps fall on multiples
// of it, so that they come at the same record for all readers.
constexpr platform::Offset kSweepInterval = 4'096;
}  // namespace

bool WriterTable::Note(const std::string& writer, std::uint64_t sequence,
                       platform::Offset offset) {
  Forget(offset);
  Position& position = writers_[writer];
  if (sequence < position.seen_below ||
      !position.seen.insert(sequence).second) {
    return false;
  }
  position.last_offset = offset;
  if (position.seen.size() > kMaxSparse) {
    position.seen_below = *position.seen.begin();
  }
  while (position.seen.erase(position.seen_below) > 0) {
    ++position.seen_below;
  }
  return true;
}

void WriterTable::Forget(platform::Offset offset) {
  if (offset < next_sweep_) {
    return;
  }
  next_sweep_ = (offset / kSweepInterval + 1) * kSweepInterval;
  const platform::Offset sweep_at = offset / kSweepInterval * kSweepInterval;
  std::erase_if(writers_, [sweep_at](const auto& entry) {
    return entry.second.last_offset + kForgetAfterOffsets < sweep_at;
  });
}

void WriterTable::Save(
    google::protobuf::RepeatedPtrField<v1::WriterPosition>* out) const {
  for (const auto& [writer, position] : writers_) {
    v1::WriterPosition* saved = out->Add();
    saved->set_writer(writer);
    saved->set_seen_below(position.seen_below);
    saved->mutable_seen()->Add(position.seen.begin(), position.seen.end());
    saved->set_last_offset(position.last_offset);
  }
}

void WriterTable::Load(
    const google::protobuf::RepeatedPtrField<v1::WriterPosition>& saved) {
  writers_.clear();
  next_sweep_ = 0;
  for (const v1::WriterPosition& entry : saved) {
    Position& position = writers_[entry.writer()];
    position.seen_below = entry.seen_below();
    position.seen.insert(entry.seen().begin(), entry.seen().end());
    position.last_offset = entry.last_offset();
  }
}

}  // namespace mulberryroad::log
