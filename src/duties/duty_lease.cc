#include "duties/duty_lease.h"

#include <algorithm>
#include <utility>

namespace mulberryroad::duties {

DutyLease::DutyLease(std::string node, std::string process, LeaseTiming timing,
                     Instant started)
    : node_(std::move(node)),
      process_(std::move(process)),
      timing_(timing),
      started_(started),
      earliest_claim_(started + timing.claim_delay) {}

bool DutyLease::held_before_current_holder() const {
  const auto& earlier = state_.earlier_nodes();
  return state_.node() != node_ &&
         std::find(earlier.begin(), earlier.end(), node_) != earlier.end();
}

// A VM runs one process at a time, so an earlier process has ended and its term
// need not be waited for.
bool DutyLease::held_by_earlier_process() const {
  return state_.node() == node_ && state_.holder() != process_;
}

void DutyLease::OnRecord(const v1::DutyRecord& record, Instant now) {
  const bool was_holder = is_holder();
  state_ = record;
  read_at_ = now;
  if (!is_holder()) {
    if (was_holder) {
      earliest_claim_ = std::max(earliest_claim_, now + timing_.reclaim_delay);
    }
    term_end_ = {};
    return;
  }
  const auto sent = send_times_.find(record.attempt());
  if (sent != send_times_.end()) {
    term_end_ = std::max(term_end_, sent->second + timing_.term);
    send_times_.erase(send_times_.begin(), std::next(sent));
  }
}

LeaseStep DutyLease::Tick(Instant now) {
  // Limits writes to one per renewal interval, so that the record of one write
  // can be read before the next write.
  if (last_write_.has_value() && now < *last_write_ + timing_.renewal) {
    return NoWrite{};
  }
  v1::DutyRecord next;
  next.set_holder(process_);
  next.set_node(node_);
  if (is_holder() && now < term_end_) {
    next.set_epoch(state_.epoch());
    *next.mutable_earlier_nodes() = state_.earlier_nodes();
  } else {
    const bool free =
        !read_at_.has_value() || state_.released() ||
        held_by_earlier_process() ||
        now >= *read_at_ + timing_.term + timing_.margin + timing_.claim_delay;
    const bool too_soon =
        held_before_current_holder() && now < started_ + timing_.reclaim_delay;
    if (!free || too_soon || now < earliest_claim_) {
      return NoWrite{};
    }
    next.set_epoch(state_.epoch() + 1);
    if (!state_.node().empty() && state_.node() != node_) {
      next.add_earlier_nodes(state_.node());
    }
    for (const std::string& earlier : state_.earlier_nodes()) {
      if (earlier != node_ && next.earlier_nodes_size() < kMaxEarlierNodes) {
        next.add_earlier_nodes(earlier);
      }
    }
  }
  last_write_ = now;
  next.set_attempt(++attempts_);
  send_times_[attempts_] = now;
  return WriteLease{std::move(next)};
}

std::optional<v1::DutyRecord> DutyLease::Release(Instant now) {
  if (!epoch(now).has_value()) {
    return std::nullopt;
  }
  v1::DutyRecord record = state_;
  record.set_released(true);
  term_end_ = {};
  earliest_claim_ = Instant::max();
  return record;
}

std::optional<v1::DutyRecord> DutyLease::Yield(Instant now) {
  auto record = Release(now);
  if (record.has_value()) {
    earliest_claim_ = now + timing_.reclaim_delay;
  }
  return record;
}

std::optional<std::uint64_t> DutyLease::epoch(Instant now) const {
  if (!is_holder() || now >= term_end_ - timing_.margin) {
    return std::nullopt;
  }
  return state_.epoch();
}

}  // namespace mulberryroad::duties
