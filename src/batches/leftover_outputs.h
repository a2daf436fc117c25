// Outputs of groups that their ended batches did not complete.

#ifndef MULBERRYROAD_SRC_BATCHES_LEFTOVER_OUTPUTS_H_
#define MULBERRYROAD_SRC_BATCHES_LEFTOVER_OUTPUTS_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "batches/output_memory.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::batches {

/// Identifies an item across the batches of a trainer, which may resubmit it.
/// Item ids alone are not unique: organisations choose them independently.
struct ItemKey {
  OrganisationId organisation;
  TargetId model;
  std::string id;

  friend auto operator<=>(const ItemKey&, const ItemKey&) = default;
};

/// Keeps outputs for a while, as trainers submit incomplete groups again under
/// the same item ids. Performs no I/O and reads no clock.
class LeftoverOutputs {
 public:
  /// How long outputs are kept. Steps follow each other within seconds, so that
  /// a later resubmission is not expected.
  static constexpr std::chrono::milliseconds kRetention{30'000};
  /// Maximum number of outputs. Further items start again.
  static constexpr std::size_t kMaxOutputs = 8'192;

  /// Adds an output of an item. An item has one for each of its runs that went
  /// on in parallel.
  void Add(ItemKey item, HeldOutput output, Instant now);
  /// Removes all outputs of an item.
  /// @param fits whether the caller can use an output
  /// @return the longest output that fits; nullopt if there is none
  std::optional<ItemProgress> Take(
      const ItemKey& item,
      const std::function<bool(const ItemProgress&)>& fits);
  /// Removes the outputs that were kept for kRetention.
  void Expire(Instant now);

  bool contains(const ItemKey& item) const { return outputs_.contains(item); }
  bool full() const { return outputs_.size() >= kMaxOutputs; }

 private:
  struct Leftover {
    HeldOutput output;
    /// Time at which the batch or its orphaned run ended.
    Instant since;
  };

  std::multimap<ItemKey, Leftover> outputs_;
};

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_SRC_BATCHES_LEFTOVER_OUTPUTS_H_
