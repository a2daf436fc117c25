#include "serving/evacuations.h"

#include <algorithm>

namespace mulberryroad::serving {

std::optional<EvacuationChange> Evacuations::Apply(
    const FailureDomainId& domain, std::uint64_t offset, bool evacuated) {
  const auto found = entries_.find(domain);
  const bool known = found != entries_.end();
  const std::uint64_t known_up_to =
      known ? found->second.known_up_to : listed_up_to_;
  if (offset < known_up_to) {
    return std::nullopt;
  }
  const bool before = known && found->second.evacuated;
  entries_[domain] = {offset + 1, evacuated};
  return before == evacuated
             ? std::nullopt
             : std::optional(EvacuationChange{domain, evacuated});
}

std::vector<EvacuationChange> Evacuations::Replace(
    const std::map<FailureDomainId, std::uint64_t>& listed,
    std::uint64_t position) {
  std::vector<EvacuationChange> changes;
  if (position < listed_up_to_) {
    return changes;
  }
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const bool outdated = entry->second.known_up_to <= position;
    if (!outdated || listed.contains(entry->first)) {
      ++entry;
      continue;
    }
    if (entry->second.evacuated) {
      changes.push_back({entry->first, false});
    }
    entry = entries_.erase(entry);
  }
  for (const auto& [domain, offset] : listed) {
    // The listing says that the record is the newest one up to its position.
    const std::uint64_t known_up_to = std::max(offset + 1, position);
    Entry& entry = entries_[domain];
    if (known_up_to < entry.known_up_to) {
      continue;
    }
    if (!entry.evacuated) {
      changes.push_back({domain, true});
    }
    entry = {known_up_to, true};
  }
  listed_up_to_ = position;
  return changes;
}

bool Evacuations::contains(const FailureDomainId& domain) const {
  const auto found = entries_.find(domain);
  return found != entries_.end() && found->second.evacuated;
}

std::size_t Evacuations::size() const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const auto& entry) { return entry.second.evacuated; }));
}

}  // namespace mulberryroad::serving
