#include "rollout/batch_host.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mulberryroad::rollout {

namespace {

constexpr std::uint64_t kRetryAfterMs = 1'000;
constexpr std::chrono::milliseconds kForwardTimeoutMargin{3'000};
// Time that a copy may be stored without a lease. A copy may arrive before this
// node has read the owner's lease from the log.
constexpr std::chrono::seconds kMaxCopyAgeWithoutLease{10};

v1::BatchReply MakeRefusedReply(const std::string& reason) {
  v1::BatchReply reply;
  reply.set_outcome(v1::BatchReply::REFUSED);
  reply.set_reason(reason);
  reply.set_retry_after_ms(kRetryAfterMs);
  return reply;
}

BatchId QualifiedId(const v1::BatchCall& call) {
  return BatchId(call.organisation() + "/" + call.batch());
}

std::string RoleName(const BatchId& id) { return "batch/" + id.value(); }

}  // namespace

BatchHost::BatchHost(base::EventLoop& loop, const Clock& clock,
                     peer::Transport& transport, membership::Members& members,
                     config::Configuration& config, lease::Leases& leases,
                     log::Journal& journal, dispatch::Generator& generator,
                     billing::Meter& meter, base::DecisionLog& decisions,
                     BatchHostOptions options)
    : services_{loop,    clock,     transport, members,   config, leases,
                journal, generator, meter,     decisions, options} {
  RegisterPeerHandlers();
  leases.gained().connect([this, alive = std::weak_ptr(alive_)](
                              const RoleId& role, std::uint64_t epoch) {
    if (alive.expired()) {
      return;
    }
    for (const auto& [id, batch] : owned_) {
      if (RoleName(id) == role.value()) {
        const std::shared_ptr<OwnedBatch> keep = batch;
        keep->OnGained(epoch);
        return;
      }
    }
  });
  leases.lost().connect(
      [this, alive = std::weak_ptr(alive_)](const RoleId& role) {
        if (alive.expired()) {
          return;
        }
        for (const auto& [id, batch] : owned_) {
          if (RoleName(id) == role.value()) {
            const std::shared_ptr<OwnedBatch> keep = batch;
            keep->OnLost();
            return;
          }
        }
      });
  tick_ = loop.Every(options.tick, [this] { Tick(); });
}

BatchHost::~BatchHost() = default;

void BatchHost::RegisterPeerHandlers() {
  services_.transport.Handle(v1::PeerRequest::kBatchCopy,
                             [this](const v1::PeerRequest& request,
                                    const peer::ReplyCallback& respond) {
                               v1::PeerReply reply;
                               const v1::BatchCopy& copy = request.batch_copy();
                               *reply.mutable_batch_copy() =
                                   copies_.Store(copy, services_.clock.now());
                               respond(std::move(reply));
                             });
  services_.transport.Handle(
      v1::PeerRequest::kBatch, [this](const v1::PeerRequest& request,
                                      const peer::ReplyCallback& respond) {
        CallLocal(request.batch(), [respond](v1::BatchReply answer) {
          v1::PeerReply reply;
          *reply.mutable_batch() = std::move(answer);
          respond(std::move(reply));
        });
      });
}

void BatchHost::Call(v1::BatchCall call, OnBatchReply on_reply) {
  const BatchId id = QualifiedId(call);
  const auto owned = owned_.find(id);
  const bool is_owner = closed_.contains(id) ||
                        (owned != owned_.end() && owned->second->holds_lease());
  const std::optional<v1::Member> owner =
      is_owner ? std::nullopt : RemoteOwner(id);
  const bool is_local = is_owner || owned != owned_.end();
  if (owner.has_value()) {
    Forward(*owner, std::move(call), std::move(on_reply));
    return;
  }
  if (!is_local && call.has_submit()) {
    Submit(id, call, std::move(on_reply));
    return;
  }
  if (!is_local) {
    on_reply(MakeNoOwnerReply(id));
    return;
  }
  CallLocal(call, std::move(on_reply));
}

void BatchHost::CallLocal(const v1::BatchCall& call, OnBatchReply on_reply) {
  if (call.has_recover()) {
    const BatchId requested(call.batch());
    if (const auto owned = owned_.find(requested); owned != owned_.end()) {
      copies_.StoreUnlessOlder(requested, owned->second->Snapshot());
    }
    on_reply(copies_.Recover(requested));
    return;
  }
  const BatchId id = QualifiedId(call);
  if (const auto closed = closed_.find(id); closed != closed_.end()) {
    v1::BatchReply reply;
    const bool other =
        call.has_submit() && SpecDigest(call.submit()) != closed->second.digest;
    reply.set_outcome(other ? v1::BatchReply::CONFLICT : v1::BatchReply::OK);
    reply.set_next_cursor(closed->second.samples);
    reply.set_complete(true);
    on_reply(reply);
    return;
  }
  const auto found = owned_.find(id);
  if (found == owned_.end()) {
    v1::BatchReply reply;
    reply.set_outcome(v1::BatchReply::NOT_OWNER);
    reply.set_retry_after_ms(kRetryAfterMs);
    on_reply(reply);
    return;
  }
  const std::shared_ptr<OwnedBatch> batch = found->second;
  if (call.has_submit()) {
    batch->Submit(call.submit(), std::move(on_reply));
  } else if (call.has_pull()) {
    batch->Pull(call.pull(), std::move(on_reply));
  } else {
    batch->Acknowledge(call.ack(), std::move(on_reply));
  }
}

void BatchHost::Submit(const BatchId& id, const v1::BatchCall& call,
                       OnBatchReply on_reply) {
  if (services_.members.self().state() == v1::MEMBER_LEAVING) {
    on_reply(MakeRefusedReply("this node is leaving"));
    return;
  }
  ownerless_since_.erase(id);
  StartOwnedBatch(id, call.submit());
  owned_.at(id)->Submit(call.submit(), std::move(on_reply));
}

void BatchHost::StartOwnedBatch(const BatchId& id, const v1::BatchSpec& spec) {
  auto batch = std::make_shared<OwnedBatch>(services_, copies_, id, spec);
  owned_[id] = batch;
  batch->Start();
}

void BatchHost::Forward(const v1::Member& owner, v1::BatchCall call,
                        OnBatchReply on_reply) {
  const auto endpoint = ParseEndpoint(owner.peer_endpoint());
  std::chrono::milliseconds timeout = kForwardTimeoutMargin;
  if (call.has_pull()) {
    timeout += std::chrono::milliseconds(call.pull().wait_ms());
  } else if (call.has_submit()) {
    timeout += services_.options.open_timeout;
  }
  const bool changes = !call.has_pull();
  v1::PeerRequest request;
  *request.mutable_batch() = std::move(call);
  services_.transport.Call(
      endpoint.value_or(Endpoint{}), std::move(request), timeout,
      [changes, on_reply](std::optional<v1::PeerReply> reply,
                          const std::string& reason) {
        if (!reply.has_value()) {
          v1::BatchReply refusal =
              MakeRefusedReply("the batch's owner did not answer: " + reason);
          refusal.set_may_have_run(changes);
          on_reply(refusal);
          return;
        }
        if (reply->batch().outcome() == v1::BatchReply::NOT_OWNER) {
          on_reply(MakeRefusedReply("the batch is changing its owner"));
          return;
        }
        on_reply(std::move(*reply->mutable_batch()));
      });
}

v1::BatchReply BatchHost::MakeNoOwnerReply(const BatchId& id) {
  const Instant now = services_.clock.now();
  if (copies_.find(id) != nullptr) {
    return MakeRefusedReply("this node is taking the batch over");
  }
  if (FindLease(id).has_value()) {
    const auto [since, added] = ownerless_since_.try_emplace(id, now);
    if (now - since->second < services_.options.takeover_grace) {
      return MakeRefusedReply("the batch is changing its owner");
    }
  }
  v1::BatchReply reply;
  reply.set_outcome(v1::BatchReply::UNKNOWN_BATCH);
  reply.set_reason(
      "no node has this batch; submit it again with \"cursor\" set to the "
      "first sample that you lack");
  return reply;
}

std::optional<v1::LeaseState> BatchHost::FindLease(const BatchId& id) const {
  for (const v1::LeaseState& state : services_.leases.states()) {
    if (state.role() == RoleName(id)) {
      return state;
    }
  }
  return std::nullopt;
}

std::optional<v1::Member> BatchHost::RemoteOwner(const BatchId& id) const {
  const std::optional<v1::LeaseState> state = FindLease(id);
  if (!state.has_value() ||
      state->holder() == services_.members.self().node_id()) {
    return std::nullopt;
  }
  const auto holder = services_.members.find(NodeId(state->holder()));
  if (!holder.has_value() || holder->state() == v1::MEMBER_DEAD) {
    return std::nullopt;
  }
  // A lease is released when its batch is closed or handed over. The lease
  // state does not show which, so the call goes to the last owner unless this
  // node has a copy and takes the batch over.
  const bool taken_over = state->released() && copies_.find(id) != nullptr;
  return taken_over ? std::nullopt : holder;
}

bool BatchHost::IsEligible(const std::string& node) const {
  const std::vector<v1::Member> eligible = services_.members.eligible();
  return std::any_of(
      eligible.begin(), eligible.end(),
      [&node](const v1::Member& member) { return member.node_id() == node; });
}

void BatchHost::Tick() {
  const Instant now = services_.clock.now();
  RetireBatches();
  if (services_.members.self().state() != v1::MEMBER_LEAVING) {
    TakeOverOrphans();
  }
  std::vector<std::shared_ptr<OwnedBatch>> batches;
  for (const auto& [id, batch] : owned_) {
    batches.push_back(batch);
  }
  for (const auto& batch : batches) {
    batch->Tick();
  }
  std::erase_if(closed_, [now](const auto& entry) {
    return entry.second.expires_at <= now;
  });
}

// Takes over batches whose copies are stored here and whose owner has released
// the lease or is no longer eligible.
void BatchHost::TakeOverOrphans() {
  const Instant now = services_.clock.now();
  for (const BatchId& id : copies_.batches()) {
    const StoredCopy* held = copies_.find(id);
    if (owned_.contains(id) || held->spec.id().empty()) {
      continue;
    }
    const std::optional<v1::LeaseState> state = FindLease(id);
    const bool orphaned =
        state.has_value() ? state->released() || !IsEligible(state->holder())
                          : now - held->received > kMaxCopyAgeWithoutLease;
    if (orphaned) {
      StartOwnedBatch(id, held->spec);
    }
  }
}

void BatchHost::RetireBatches() {
  std::vector<BatchId> finished_ids;
  std::vector<BatchId> relinquished;
  for (const auto& [id, batch] : owned_) {
    if (batch->finished()) {
      finished_ids.push_back(id);
    } else if (ShouldRelinquish(id, *batch)) {
      relinquished.push_back(id);
    }
  }
  const Instant expires_at =
      services_.clock.now() + services_.options.closed_retention;
  for (const BatchId& id : finished_ids) {
    const std::shared_ptr<OwnedBatch> batch = owned_.at(id);
    owned_.erase(id);
    copies_.Erase(id);
    if (batch->closed()) {
      closed_[id] = {expires_at, batch->total_samples(),
                     SpecDigest(batch->spec())};
    }
    batch->Relinquish();
  }
  for (const BatchId& id : relinquished) {
    const std::shared_ptr<OwnedBatch> batch = owned_.at(id);
    owned_.erase(id);
    copies_.StoreUnlessOlder(id, batch->Snapshot());
    batch->Relinquish();
  }
}

bool BatchHost::ShouldRelinquish(const BatchId& id,
                                 const OwnedBatch& batch) const {
  if (batch.superseded()) {
    return true;
  }
  if (services_.members.self().state() == v1::MEMBER_LEAVING) {
    return batch.drained();
  }
  return !batch.holds_lease() && RemoteOwner(id).has_value() &&
         !FindLease(id)->released() && IsEligible(FindLease(id)->holder());
}

}  // namespace mulberryroad::rollout
