#include "batches/output_memory.h"

#include <functional>
#include <utility>

namespace mulberryroad::batches {

namespace {

// Queued records are held once more while their append is in flight.
constexpr std::size_t kCopiesOfRecords = 2;
// Memory of an output besides its own: the state that counts it, and its
// entries here and at its owner.
constexpr std::size_t kEntryBytes = 256;

}  // namespace

struct HeldOutput::State {
  explicit State(const std::shared_ptr<http::ResponseMemory>& counted_in)
      : memory(counted_in) {}
  ~State() {
    if (const auto counted_in = memory.lock()) {
      counted_in->Remove(id);
    }
  }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  /// Records of a writer may outlive the memory when the process ends.
  std::weak_ptr<http::ResponseMemory> memory;
  http::ResponseMemory::Id id = 0;
  ItemProgress progress;
};

const ItemProgress& HeldOutput::progress() const {
  static const ItemProgress empty;
  return state_ == nullptr ? empty : state_->progress;
}

ItemProgress HeldOutput::Take() {
  if (state_ == nullptr) {
    return {};
  }
  ItemProgress progress = std::move(state_->progress);
  state_.reset();
  return progress;
}

OutputMemory::OutputMemory(http::ResponseMemory::Reserve reserve,
                           base::StructuredLog& log, base::Metrics& metrics)
    : memory_(std::make_shared<http::ResponseMemory>(std::move(reserve))),
      log_(log),
      metrics_(metrics) {}

HeldOutput OutputMemory::Hold(ItemProgress progress, Eviction eviction) {
  HeldOutput output;
  output.state_ = std::make_shared<HeldOutput::State>(memory_);
  HeldOutput::State& state = *output.state_;
  state.progress = std::move(progress);
  const std::size_t bytes = kEntryBytes + state.progress.held_bytes();
  std::function<void()> on_evicted;
  if (eviction == Eviction::kAllowed) {
    on_evicted = [this, &state, bytes] {
      log_.Write(
          "output.evicted",
          {{"bytes", static_cast<std::int64_t>(bytes)},
           {"events", static_cast<std::int64_t>(state.progress.last_event)},
           {"held", static_cast<std::int64_t>(memory_->held())}});
      metrics_.Count("outputs_evicted_total", {});
      state.progress = {};
    };
  }
  state.id = memory_->Add(std::move(on_evicted));
  memory_->Set(state.id, bytes);
  return output;
}

std::shared_ptr<void> OutputMemory::HoldRecords(
    const std::vector<platform::KeyedRecord>& records) {
  std::size_t bytes = 0;
  for (const platform::KeyedRecord& record : records) {
    bytes += sizeof(record) + record.key.size() +
             (record.value ? record.value->size() : 0);
  }
  const auto state = std::make_shared<HeldOutput::State>(memory_);
  state->id = memory_->Add(nullptr);
  memory_->Set(state->id, bytes * kCopiesOfRecords);
  return state;
}

}  // namespace mulberryroad::batches
