#include "batches/leftover_outputs.h"

#include <tuple>
#include <utility>

namespace mulberryroad::batches {

namespace {

bool HasMoreOutput(const ItemProgress& left, const ItemProgress& right) {
  return std::tie(left.complete, left.last_event) >
         std::tie(right.complete, right.last_event);
}

}  // namespace

void LeftoverOutputs::Add(ItemKey item, HeldOutput output, Instant now) {
  outputs_.emplace(std::move(item), Leftover{std::move(output), now});
}

std::optional<ItemProgress> LeftoverOutputs::Take(
    const ItemKey& item, const std::function<bool(const ItemProgress&)>& fits) {
  const auto [first, last] = outputs_.equal_range(item);
  auto best = last;
  for (auto found = first; found != last; ++found) {
    const ItemProgress& progress = found->second.output.progress();
    if (fits(progress) &&
        (best == last ||
         HasMoreOutput(progress, best->second.output.progress()))) {
      best = found;
    }
  }
  std::optional<ItemProgress> taken;
  if (best != last) {
    taken = best->second.output.Take();
  }
  outputs_.erase(first, last);
  return taken;
}

void LeftoverOutputs::Expire(Instant now) {
  std::erase_if(outputs_, [now](const auto& entry) {
    return now >= entry.second.since + kRetention;
  });
}

}  // namespace mulberryroad::batches
