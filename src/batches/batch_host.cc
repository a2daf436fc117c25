#include "batches/batch_host.h"

#include <set>
#include <utility>
#include <variant>

namespace mulberryroad::batches {

namespace {

constexpr char kGroup[] = "batch-owners";

}  // namespace

BatchHost::BatchHost(BatchContext& context, std::string member)
    : context_(context), member_(std::move(member)) {}

BatchHost::~BatchHost() { *alive_ = false; }

void BatchHost::Start() {
  Join();
  join_timer_ = context_.loop.Every(kJoinInterval, [this] { Join(); });
  move_timer_ = context_.loop.Every(kMoveInterval, [this] {
    for (const auto& [partition, owner] : owners_) {
      owner->MoveStragglers();
    }
  });
  pump_timer_ = context_.loop.Every(kPumpInterval, [this] {
    for (const auto& [partition, owner] : owners_) {
      if (owner->waiting() > 0) {
        owner->Pump();
      }
    }
  });
}

void BatchHost::Leave() {
  left_ = true;
  join_timer_.Cancel();
  pump_timer_.Cancel();
  move_timer_.Cancel();
  for (const auto& [partition, owner] : owners_) {
    owner->Stop();
  }
  owners_.clear();
  context_.store.Leave(kGroup, member_, kJoinTimeout);
}

void BatchHost::Join() {
  if (left_ || std::exchange(joining_, true)) {
    return;
  }
  context_.store.Join(
      kGroup, member_, kBatchTopic, kLifetime, generation_, kJoinTimeout,
      [this, alive = alive_](const platform::JoinOutcome& outcome) {
        if (!*alive || left_) {
          return;
        }
        joining_ = false;
        if (const auto* share = std::get_if<platform::GroupShare>(&outcome)) {
          OnShare(*share);
        }
      });
}

void BatchHost::OnShare(const platform::GroupShare& share) {
  generation_ = share.generation;
  const std::set<platform::PartitionId> held(share.partitions.begin(),
                                             share.partitions.end());
  for (auto owner = owners_.begin(); owner != owners_.end();) {
    if (held.contains(owner->first)) {
      ++owner;
    } else {
      owner->second->Stop();
      owner = owners_.erase(owner);
    }
  }
  for (const platform::PartitionId& partition : held) {
    if (!owners_.contains(partition) &&
        used_epochs_[partition] < share.generation) {
      Acquire(partition, share.generation);
    }
  }
}

void BatchHost::Acquire(const platform::PartitionId& partition,
                        std::uint64_t epoch) {
  used_epochs_[partition] = epoch;
  auto owner = std::make_shared<PartOwner>(context_, partition, epoch,
                                           [this, alive = alive_, partition] {
                                             if (*alive) {
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

std::size_t BatchHost::waiting() const {
  std::size_t count = 0;
  for (const auto& [partition, owner] : owners_) {
    count += owner->waiting();
  }
  return count;
}

}  // namespace mulberryroad::batches
