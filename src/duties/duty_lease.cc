#include "duties/duty_lease.h"

#include <algorithm>
#include <utility>

namespace mulberryroad::duties {

DutyLease::DutyLease(std::string holder, LeaseTiming timing, Instant started,
                     bool may_claim_at_once)
    : holder_(std::move(holder)),
      timing_(timing),
      claim_from_(may_claim_at_once ? started : started + timing.quiet) {}

void DutyLease::OnRecord(const v1::DutyRecord& record, Instant now) {
  const bool was_mine = mine();
  state_ = record;
  read_at_ = now;
  if (!mine()) {
    if (was_mine) {
      claim_from_ = std::max(claim_from_, now + timing_.quiet);
    }
    term_end_ = {};
    return;
  }
  const auto sent = sent_.find(record.attempt());
  if (sent != sent_.end()) {
    term_end_ = std::max(term_end_, sent->second + timing_.term);
    sent_.erase(sent_.begin(), std::next(sent));
  }
}

LeaseStep DutyLease::Tick(Instant now) {
  // One write at a time: without its record the partition was not read on.
  if (last_write_.has_value() && now < *last_write_ + timing_.renewal) {
    return Rest{};
  }
  v1::DutyRecord next;
  next.set_holder(holder_);
  if (mine() && now < term_end_) {
    next.set_epoch(state_.epoch());
  } else {
    const bool free = !read_at_.has_value() || state_.released() ||
                      now >= *read_at_ + timing_.term + timing_.margin;
    if (!free || now < claim_from_) {
      return Rest{};
    }
    next.set_epoch(state_.epoch() + 1);
  }
  last_write_ = now;
  next.set_attempt(++attempts_);
  sent_[attempts_] = now;
  return WriteLease{std::move(next)};
}

std::optional<v1::DutyRecord> DutyLease::Release(Instant now) {
  if (!epoch(now).has_value()) {
    return std::nullopt;
  }
  v1::DutyRecord record = state_;
  record.set_released(true);
  term_end_ = {};
  claim_from_ = Instant::max();
  return record;
}

std::optional<std::uint64_t> DutyLease::epoch(Instant now) const {
  if (!mine() || now >= term_end_ - timing_.margin) {
    return std::nullopt;
  }
  return state_.epoch();
}

}  // namespace mulberryroad::duties
