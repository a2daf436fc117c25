#include "batches/batch_host.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

namespace mulberryroad::batches {

namespace {

constexpr char kSparePrefix[] = "spare:";

}  // namespace

BatchHost::BatchHost(BatchContext& context, const std::string& process,
                     bool spare)
    : context_(context),
      member_(spare ? kSparePrefix + process : process),
      active_(!spare) {}

BatchHost::~BatchHost() { *alive_ = false; }

void BatchHost::Start() {
  if (!active_) {
    regular_owner_check_timer_ = context_.loop.Every(
        kRegularOwnerCheckInterval, [this] { CheckForRegularOwners(); });
  }
  predecessor_timer_ = context_.loop.After(kPredecessorReleaseDelay,
                                           [this] { ReleasePredecessor(); });
  Join();
  join_timer_ = context_.loop.Every(kJoinInterval, [this] { Join(); });
  move_timer_ = context_.loop.Every(kMoveInterval, [this] {
    for (const auto& [partition, owner] : owners_) {
      owner->MoveStragglers();
    }
  });
  save_timer_ = context_.loop.Every(kSaveInterval, [this] {
    for (const auto& [partition, owner] : owners_) {
      owner->SaveProgress();
    }
  });
  schedule_timer_ = context_.loop.Every(kScheduleInterval, [this] {
    for (const auto& [partition, owner] : owners_) {
      // Items that wait for a score can reach the end of their retention.
      if (owner->waiting() > 0 || owner->scoring() > 0) {
        owner->ScheduleItems();
      }
    }
  });
}

void BatchHost::Leave() {
  has_left_ = true;
  regular_owner_check_timer_.Cancel();
  predecessor_timer_.Cancel();
  join_timer_.Cancel();
  schedule_timer_.Cancel();
  move_timer_.Cancel();
  save_timer_.Cancel();
  ReleasePartitions();
}

void BatchHost::OnManifestChanged() {
  for (const auto& [partition, owner] : owners_) {
    owner->OnManifestChanged();
  }
}

void BatchHost::CheckForRegularOwners() {
  context_.store.ListOwners(
      kOwnersGroup, kJoinTimeout,
      [this, alive = alive_](const platform::OwnersOutcome& outcome) {
        const auto* owners = std::get_if<platform::PartitionOwners>(&outcome);
        if (!*alive || has_left_ || owners == nullptr) {
          return;
        }
        const bool has_regular_owners = std::any_of(
            owners->owners.begin(), owners->owners.end(), [](const auto& row) {
              return !row.second.empty() &&
                     !row.second.starts_with(kSparePrefix);
            });
        if (active_ == has_regular_owners) {
          active_ = !has_regular_owners;
          context_.log.Write("batches.spare", {{"wanted", active_}});
          if (!active_) {
            ReleasePartitions();
          }
        }
      });
}

// A node runs one process at a time, so that other members of the same node are
// processes that have ended. Without this release, the store would reassign
// their partitions only after kMembershipTtl.
void BatchHost::ReleasePredecessor() {
  context_.store.ListOwners(
      kOwnersGroup, kJoinTimeout,
      [this, alive = alive_](const platform::OwnersOutcome& outcome) {
        const auto* owners = std::get_if<platform::PartitionOwners>(&outcome);
        if (!*alive || has_left_ || owners == nullptr) {
          return;
        }
        const std::string own_node =
            member_.substr(0, member_.find_last_of('/') + 1);
        std::set<std::string> old_members;
        for (const auto& [partition, member] : owners->owners) {
          if (member.starts_with(own_node) && member != member_) {
            old_members.insert(member);
          }
        }
        for (const std::string& member : old_members) {
          context_.log.Write("batches.predecessor_left", {{"member", member}});
          context_.store.Leave(kOwnersGroup, member, kJoinTimeout);
        }
        if (!old_members.empty()) {
          Join();
        }
      });
}

void BatchHost::ReleasePartitions() {
  for (const auto& [partition, owner] : owners_) {
    owner->HandOver();
  }
  owners_.clear();
  context_.store.Leave(kOwnersGroup, member_, kJoinTimeout);
}

void BatchHost::Join() {
  if (has_left_ || !active_ || std::exchange(joining_, true)) {
    return;
  }
  context_.store.Join(kOwnersGroup, member_, kBatchTopic, kMembershipTtl,
                      generation_, kJoinTimeout,
                      [this, alive = alive_, sent = context_.clock.now()](
                          const platform::JoinOutcome& outcome) {
                        if (!*alive || has_left_) {
                          return;
                        }
                        joining_ = false;
                        const auto* share =
                            std::get_if<platform::GroupAssignment>(&outcome);
                        if (share != nullptr && active_) {
                          renewed_at_ = sent;
                          OnAssignment(*share);
                        }
                      });
}

void BatchHost::OnAssignment(const platform::GroupAssignment& share) {
  generation_ = share.generation;
  const std::set<platform::PartitionId> held(share.partitions.begin(),
                                             share.partitions.end());
  for (auto owner = owners_.begin(); owner != owners_.end();) {
    if (held.contains(owner->first)) {
      ++owner;
    } else {
      owner->second->HandOver();
      owner = owners_.erase(owner);
    }
  }
  for (const platform::PartitionId& partition : held) {
    if (!owners_.contains(partition) &&
        used_epochs_[partition] < share.generation) {
      StartOwner(partition, share.generation);
    }
  }
}

void BatchHost::StartOwner(const platform::PartitionId& partition,
                           std::uint64_t epoch) {
  used_epochs_[partition] = epoch;
  auto owner = std::make_shared<PartitionOwner>(
      context_, partition, epoch, [this, alive = alive_, partition, epoch] {
        // An owner that is handing over may be fenced only after this process
        // has started its next owner of the partition.
        if (*alive && used_epochs_[partition] == epoch) {
          owners_.erase(partition);
        }
      });
  owners_[partition] = owner;
  owner->Start();
}

std::size_t BatchHost::running() const {
  std::size_t count = 0;
  for (const auto& [partition, owner] : owners_) {
    count += owner->running();
  }
  return count;
}

std::size_t BatchHost::scoring() const {
  std::size_t count = 0;
  for (const auto& [partition, owner] : owners_) {
    count += owner->scoring();
  }
  return count;
}

std::size_t BatchHost::waiting() const {
  std::size_t count = 0;
  for (const auto& [partition, owner] : owners_) {
    count += owner->waiting();
  }
  return count;
}

}  // namespace mulberryroad::batches
