#include "dispatch/upstream_table.h"

#include <algorithm>
#include <unordered_set>

namespace mulberryroad::dispatch {

namespace {

constexpr std::chrono::milliseconds kInitialSuspension =
    std::chrono::milliseconds{200};
constexpr std::uint32_t kMaxSuspensionDoublings = 6;
// Time for which a swap is presumed to last after a notice, unless a load
// report shows the swap. A report without a swap ends it only if received at
// least this time plus report_lag after the notice.
constexpr std::chrono::milliseconds kPresumedSwapTime =
    std::chrono::seconds{60};

}  // namespace

void RecentMaximum::AdvanceWindow(Instant now) {
  if (now - window_start_ < window_) {
    return;
  }
  previous_ = now - window_start_ < 2 * window_ ? current_ : 0;
  current_ = 0;
  window_start_ = now;
}

void RecentMaximum::Add(std::uint32_t value, Instant now) {
  AdvanceWindow(now);
  current_ = std::max(current_, value);
}

std::uint32_t RecentMaximum::value(Instant now) {
  AdvanceWindow(now);
  return std::max(current_, previous_);
}

double UpstreamState::load() const {
  return static_cast<double>(in_flight + external_in_flight) /
         static_cast<double>(std::max(slots, 1U));
}

UpstreamTable::UpstreamTable(std::chrono::milliseconds report_lag)
    : report_lag_(report_lag) {}

UpstreamIndex UpstreamTable::Add(const UpstreamSpec& spec) {
  const auto index = static_cast<UpstreamIndex>(states_.size());
  states_.emplace_back();
  states_.back().slots = spec.slots;
  entries_.emplace_back();
  recent_in_flight_.emplace_back(report_lag_);
  by_name_[spec.id.value()] = index;
  return index;
}

void UpstreamTable::Replace(const std::vector<UpstreamSpec>& specs) {
  std::unordered_set<UpstreamIndex> listed;
  highest_price_ = 0;
  for (const UpstreamSpec& spec : specs) {
    const std::optional<UpstreamIndex> known = Find(spec.id);
    const UpstreamIndex index = known.has_value() ? *known : Add(spec);
    states_[index].spec = spec;
    states_[index].listed = true;
    listed.insert(index);
    highest_price_ = std::max(highest_price_, spec.price_per_hour);
    Reindex(index);
  }
  std::erase_if(by_name_, [&](const auto& entry) {
    UpstreamState& state = states_[entry.second];
    state.listed = listed.contains(entry.second);
    Reindex(entry.second);
    return !state.listed && state.in_flight == 0;
  });
  listed_count_ = listed.size();
}

void UpstreamTable::SetVersion(UpstreamState* state, std::uint32_t version,
                               Instant now) {
  state->version = version;
  state->version_observed_at = now;
}

void UpstreamTable::Observe(const UpstreamId& id, const v1::EngineLoad& load,
                            Instant now) {
  const std::optional<UpstreamIndex> index = Find(id);
  if (!index.has_value()) {
    return;
  }
  UpstreamState& state = states_[*index];
  if (load.slots() > 0) {
    state.slots = load.slots();
  }
  recent_in_flight_[*index].Add(state.in_flight, now);
  const std::uint32_t granted = recent_in_flight_[*index].value(now);
  const std::uint32_t reported = load.running() + load.waiting();
  state.external_in_flight = reported > granted ? reported - granted : 0;
  // A response may have shown a newer version than this report, which lags by
  // up to report_lag.
  const bool stale = state.version > load.version() &&
                     now - state.version_observed_at < report_lag_;
  if (!stale) {
    SetVersion(&state, load.version(), now);
  }
  if (load.swapping()) {
    state.swapping = true;
    state.swap_presumed_until = now;
  } else if (state.swapping && now - state.swap_presumed_until >= report_lag_) {
    state.swapping = false;
  }
  Reindex(*index);
}

void UpstreamTable::ObservePollFailure(const UpstreamId& id) {
  const std::optional<UpstreamIndex> index = Find(id);
  if (index.has_value()) {
    states_[*index].external_in_flight = 0;
    Reindex(*index);
  }
}

void UpstreamTable::ApplyNotice(const v1::UpstreamNotice& notice, Instant now) {
  const std::optional<UpstreamIndex> index =
      Find(UpstreamId(notice.upstream()));
  if (!index.has_value()) {
    return;
  }
  UpstreamState& state = states_[*index];
  state.noticed_leaving = notice.leaving();
  state.swapping = notice.swapping();
  state.swap_presumed_until =
      now + (notice.swapping() ? kPresumedSwapTime : std::chrono::seconds{0});
  if (!notice.swapping() && notice.version() > 0) {
    SetVersion(&state, notice.version(), now);
  }
  Reindex(*index);
}

void UpstreamTable::EndExpiredSuspensions(Instant now) {
  while (!suspensions_.empty() && suspensions_.begin()->first <= now) {
    const UpstreamIndex index = suspensions_.begin()->second;
    suspensions_.erase(suspensions_.begin());
    states_[index].suspended = false;
    Reindex(index);
  }
}

std::optional<Instant> UpstreamTable::next_suspension_end() const {
  if (suspensions_.empty()) {
    return std::nullopt;
  }
  return suspensions_.begin()->first;
}

void UpstreamTable::AcquireSlot(UpstreamIndex index, Instant now) {
  UpstreamState& state = states_[index];
  ++state.in_flight;
  recent_in_flight_[index].Add(state.in_flight, now);
  Reindex(index);
}

void UpstreamTable::ReleaseSlot(UpstreamIndex index, bool failed,
                                std::uint32_t observed_version, Instant now) {
  UpstreamState& state = states_[index];
  recent_in_flight_[index].Add(state.in_flight, now);
  if (state.in_flight > 0) {
    --state.in_flight;
  }
  if (observed_version > 0) {
    SetVersion(&state, observed_version, now);
  }
  if (failed) {
    Suspend(index, now);
  } else {
    state.failures = 0;
  }
  Reindex(index);
  if (!state.listed && state.in_flight == 0) {
    by_name_.erase(state.spec.id.value());
  }
}

void UpstreamTable::Suspend(UpstreamIndex index, Instant now) {
  UpstreamState& state = states_[index];
  const std::uint32_t doublings =
      std::min(state.failures, kMaxSuspensionDoublings);
  ++state.failures;
  if (!state.suspended) {
    state.suspended = true;
    suspensions_.emplace(now + kInitialSuspension * (1U << doublings), index);
  }
}

std::optional<UpstreamIndex> UpstreamTable::Find(const UpstreamId& id) const {
  const auto found = by_name_.find(id.value());
  if (found == by_name_.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::uint32_t UpstreamTable::total_slots() const {
  std::uint32_t slots = 0;
  for (const auto& [name, index] : by_name_) {
    slots += states_[index].leaving() ? 0 : states_[index].slots;
  }
  return slots;
}

std::vector<UpstreamIndex> UpstreamTable::all() const {
  std::vector<UpstreamIndex> indexes;
  for (const auto& [name, index] : by_name_) {
    indexes.push_back(index);
  }
  std::sort(indexes.begin(), indexes.end());
  return indexes;
}

bool UpstreamTable::Eligible(UpstreamIndex index,
                             const Requirement& requirement) const {
  const std::optional<BucketKey>& key = entries_[index].key;
  return key.has_value() && key->Meets(requirement);
}

bool UpstreamTable::AnyEligible(const Requirement& requirement) const {
  return std::any_of(buckets_.begin(), buckets_.end(), [&](const auto& entry) {
    return entry.first.Meets(requirement);
  });
}

std::vector<UpstreamIndex> UpstreamTable::LeastLoaded(
    const Requirement& requirement, std::size_t limit_per_bucket) const {
  std::vector<UpstreamIndex> found;
  for (const auto& [key, bucket] : buckets_) {
    if (!key.Meets(requirement)) {
      continue;
    }
    std::size_t taken = 0;
    for (const auto& [load, index] : bucket.by_load) {
      if (taken == limit_per_bucket) {
        break;
      }
      found.push_back(index);
      ++taken;
    }
  }
  return found;
}

std::optional<UpstreamIndex> UpstreamTable::NextEligible(
    UpstreamIndex last, const Requirement& requirement) const {
  std::optional<UpstreamIndex> following;
  std::optional<UpstreamIndex> first;
  for (const auto& [key, bucket] : buckets_) {
    if (!key.Meets(requirement)) {
      continue;
    }
    const UpstreamIndex lowest = *bucket.by_index.begin();
    first = std::min(first.value_or(lowest), lowest);
    const auto next = bucket.by_index.upper_bound(last);
    if (next != bucket.by_index.end()) {
      following = std::min(following.value_or(*next), *next);
    }
  }
  return following.has_value() ? following : first;
}

std::optional<UpstreamIndex> UpstreamTable::ChooseRandom(
    const Requirement& requirement, std::mt19937_64& random) const {
  std::size_t count = 0;
  for (const auto& [key, bucket] : buckets_) {
    count += key.Meets(requirement) ? bucket.members.size() : 0;
  }
  if (count == 0) {
    return std::nullopt;
  }
  std::size_t drawn =
      std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  for (const auto& [key, bucket] : buckets_) {
    if (!key.Meets(requirement)) {
      continue;
    }
    if (drawn < bucket.members.size()) {
      return bucket.members[drawn];
    }
    drawn -= bucket.members.size();
  }
  return std::nullopt;
}

bool UpstreamTable::AllExcluded(const v1::GrantRequest& request) const {
  std::size_t excluded = 0;
  for (const std::string& name : request.excluded_upstreams()) {
    const std::optional<UpstreamIndex> index = Find(UpstreamId(name));
    excluded += index.has_value() && entries_[*index].active ? 1 : 0;
  }
  return active_count_ > 0 && excluded >= active_count_;
}

bool UpstreamTable::AllSuspendedOrExcluded(
    const v1::GrantRequest& request) const {
  std::size_t unavailable = suspended_count_;
  for (const std::string& name : request.excluded_upstreams()) {
    const std::optional<UpstreamIndex> index = Find(UpstreamId(name));
    const bool counted = index.has_value() && entries_[*index].active &&
                         !entries_[*index].suspended;
    unavailable += counted ? 1 : 0;
  }
  return active_count_ > 0 && unavailable >= active_count_;
}

void UpstreamTable::UpdateCounts(UpstreamIndex index) {
  IndexEntry& entry = entries_[index];
  active_count_ -= entry.active ? 1 : 0;
  suspended_count_ -= entry.suspended ? 1 : 0;
  entry.active = !states_[index].leaving();
  entry.suspended = entry.active && states_[index].suspended;
  active_count_ += entry.active ? 1 : 0;
  suspended_count_ += entry.suspended ? 1 : 0;
}

void UpstreamTable::Reindex(UpstreamIndex index) {
  UpdateCounts(index);
  RemoveFromBucket(index);
  const UpstreamState& state = states_[index];
  const bool available =
      !state.leaving() && !state.swapping && !state.suspended &&
      state.in_flight + state.external_in_flight < state.slots;
  if (available) {
    AddToBucket(index);
  }
}

void UpstreamTable::AddToBucket(UpstreamIndex index) {
  const UpstreamState& state = states_[index];
  IndexEntry& entry = entries_[index];
  entry.key = BucketKey{state.version, state.spec.reclaimable,
                        state.spec.upstream_class};
  entry.load = state.load();
  Bucket& bucket = buckets_[*entry.key];
  entry.member_index = bucket.members.size();
  bucket.members.push_back(index);
  bucket.by_load.emplace(entry.load, index);
  bucket.by_index.insert(index);
}

void UpstreamTable::RemoveFromBucket(UpstreamIndex index) {
  IndexEntry& entry = entries_[index];
  if (!entry.key.has_value()) {
    return;
  }
  const auto found = buckets_.find(*entry.key);
  Bucket& bucket = found->second;
  const UpstreamIndex last = bucket.members.back();
  bucket.members[entry.member_index] = last;
  entries_[last].member_index = entry.member_index;
  bucket.members.pop_back();
  bucket.by_load.erase({entry.load, index});
  bucket.by_index.erase(index);
  if (bucket.members.empty()) {
    buckets_.erase(found);
  }
  entry.key.reset();
}

}  // namespace mulberryroad::dispatch
