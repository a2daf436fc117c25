#include "rollout/owned_batch.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace mulberryroad::rollout {

namespace {

constexpr std::uint64_t kRetryAfterMs = 500;

v1::BatchReply MakeReply(v1::BatchReply::Outcome outcome,
                         const std::string& reason) {
  v1::BatchReply reply;
  reply.set_outcome(outcome);
  reply.set_reason(reason);
  return reply;
}

}  // namespace

std::string SpecDigest(const v1::BatchSpec& spec) {
  v1::BatchSpec without_cursor = spec;
  without_cursor.clear_cursor();
  return base::Sha256Hex(without_cursor.SerializeAsString());
}

OwnedBatch::OwnedBatch(const Services& services, const CopyStore& copies,
                       BatchId id, v1::BatchSpec spec)
    : services_(services),
      copies_(copies),
      id_(std::move(id)),
      spec_(std::move(spec)),
      submitted_(services.clock.now()),
      sender_(std::make_shared<CopySender>(services, id_)) {}

void OwnedBatch::Start() {
  sender_->copied().connect([self = weak_from_this()](const auto& keys) {
    const auto batch = self.lock();
    if (batch && batch->plan_) {
      batch->ExecuteDecisions(
          batch->plan_->OnCopied(keys, batch->services_.clock.now()));
    }
  });
  sender_->copy_node_changed().connect([self = weak_from_this()] {
    if (const auto batch = self.lock()) {
      batch->AppendOpened();
      batch->SendFinished();
    }
  });
  sender_->superseded().connect([self = weak_from_this()] {
    if (const auto batch = self.lock()) {
      batch->superseded_ = true;
    }
  });
  services_.leases.Want(RoleId(role()), true);
  const auto term = services_.leases.term(RoleId(role()));
  if (term.has_value() && stage_ == Stage::kClaiming) {
    OnGained(term->epoch);
  }
}

bool OwnedBatch::holds_lease() const {
  const auto term = services_.leases.term(RoleId(role()));
  return term.has_value() && term->epoch == epoch_;
}

std::uint64_t OwnedBatch::total_samples() const {
  std::uint64_t samples = 0;
  for (const v1::GroupSpec& group : spec_.groups()) {
    samples += group.samples();
  }
  return samples;
}

void OwnedBatch::OnGained(std::uint64_t epoch) {
  if (stage_ == Stage::kFinished || (epoch == epoch_ && epoch != 0)) {
    return;
  }
  epoch_ = epoch;
  stage_ = Stage::kOpening;
  LogDecision("batch-owner", "", "lease gained");
  sender_->Start(epoch, spec_);
  if (!subscribed_) {
    subscribed_ = true;
    services_.journal.Subscribe(
        role(),
        [self = weak_from_this()](platform::Offset, const v1::Record& record) {
          if (const auto batch = self.lock()) {
            batch->OnRecord(record);
          }
        });
  }
  AppendOpened();
}

// Attempts keep running without the lease, since generating a sample twice only
// wastes tokens. Binding, delivery and billing require the lease.
void OwnedBatch::OnLost() {
  if (stage_ == Stage::kFinished) {
    return;
  }
  stage_ = Stage::kClaiming;
  sender_->Stop();
  LogDecision("batch-owner", "", "lease lost");
}

void OwnedBatch::AppendOpened() {
  if (appending_opened_ || !holds_lease()) {
    return;
  }
  v1::Record record;
  v1::BatchOpened& opened = *record.mutable_batch_opened();
  opened.set_batch(id_.value());
  opened.set_spec_sha256(SpecDigest(spec_));
  opened.set_epoch(epoch_);
  opened.set_owner_node(services_.members.self().node_id());
  opened.set_copy_node(sender_->copy_node().value());
  appending_opened_ = true;
  services_.journal.Append(
      role(), std::move(record), services_.options.append_timeout,
      [self = shared_from_this()](std::optional<platform::Offset>,
                                  const std::string&) {
        self->appending_opened_ = false;
      });
}

void OwnedBatch::OnRecord(const v1::Record& record) {
  if (record.has_batch_opened()) {
    OnOpened(record.batch_opened());
  } else if (record.has_sequence_bound()) {
    OnSequenceBound(record.sequence_bound());
  } else if (record.has_batch_closed() &&
             bindings_.Apply(record.batch_closed())) {
    if (stage_ == Stage::kServing) {
      stage_ = Stage::kFinished;
      sender_->Close();
      ReplyToAll(MakeReply(v1::BatchReply::OK, ""));
    }
  }
}

void OwnedBatch::OnOpened(const v1::BatchOpened& opened) {
  const std::uint64_t previous_epoch = bindings_.epoch();
  const std::set<std::string> previous{bindings_.owner_node(),
                                       bindings_.copy_node()};
  const bool valid = bindings_.Apply(opened);
  if (opened.epoch() > epoch_ && valid) {
    superseded_ = true;
  }
  if (opened.epoch() != epoch_ || stage_ != Stage::kOpening) {
    return;
  }
  if (!valid) {
    FinishWithConflict("the batch id stands for another specification");
    return;
  }
  if (bindings_.closed()) {
    stage_ = Stage::kFinished;
    sender_->Close();
    v1::BatchReply reply = MakeReply(v1::BatchReply::OK, "");
    reply.set_complete(true);
    reply.set_next_cursor(bindings_.next_sequence());
    ReplyToAll(reply);
    return;
  }
  stage_ = Stage::kRecovering;
  if (plan_ && previous_epoch == plan_epoch_) {
    // No other node owned the batch in between, so the plan is still current.
    plan_epoch_ = epoch_;
    Serve();
    ExecuteDecisions(plan_->OnBindFailed());
    return;
  }
  previous_nodes_ = previous;
  Recover();
}

void OwnedBatch::OnSequenceBound(const v1::SequenceBound& bound) {
  BoundGroups groups{bindings_.next_sequence(),
                     {bound.groups().begin(), bound.groups().end()}};
  const bool valid = bindings_.Apply(bound, CountSamples(bound));
  if (!plan_ || plan_epoch_ != bindings_.epoch()) {
    return;
  }
  if (valid) {
    ExecuteDecisions(plan_->OnBound(groups));
    ReplyToReadyPulls();
  } else if (bound.epoch() == epoch_) {
    ExecuteDecisions(plan_->OnBindFailed());
  }
}

std::uint64_t OwnedBatch::CountSamples(const v1::SequenceBound& bound) const {
  std::uint64_t samples = 0;
  for (const v1::GroupSpec& group : spec_.groups()) {
    const auto& bound_groups = bound.groups();
    if (std::find(bound_groups.begin(), bound_groups.end(), group.id()) !=
        bound_groups.end()) {
      samples += group.samples();
    }
  }
  return samples;
}

void OwnedBatch::Recover() {
  recovered_ = {};
  MergeCopies(copies_.Recover(id_));
  previous_nodes_.erase("");
  previous_nodes_.erase(services_.members.self().node_id());
  std::vector<v1::Member> nodes;
  for (const std::string& name : previous_nodes_) {
    const auto node = services_.members.find(NodeId(name));
    if (node.has_value() && node->state() != v1::MEMBER_DEAD) {
      nodes.push_back(*node);
    }
  }
  recoveries_left_ = nodes.size();
  if (nodes.empty()) {
    BuildPlan();
    return;
  }
  for (const v1::Member& node : nodes) {
    RequestCopies(node);
  }
}

void OwnedBatch::RequestCopies(const v1::Member& node) {
  const auto done = [self = shared_from_this(), epoch = epoch_](
                        const std::optional<v1::PeerReply>& reply,
                        const std::string&) {
    if (self->epoch_ != epoch || self->stage_ != Stage::kRecovering) {
      return;
    }
    if (reply.has_value() && reply->batch().outcome() == v1::BatchReply::OK) {
      self->MergeCopies(reply->batch());
    }
    if (--self->recoveries_left_ == 0) {
      self->BuildPlan();
    }
  };
  v1::PeerRequest request;
  request.mutable_batch()->set_batch(id_.value());
  request.mutable_batch()->mutable_recover()->set_batch(id_.value());
  const auto endpoint = ParseEndpoint(node.peer_endpoint());
  services_.transport.Call(endpoint.value_or(Endpoint{}), std::move(request),
                           services_.options.recover_timeout, done);
}

// Copies of a higher epoch replace those of a lower one.
void OwnedBatch::MergeCopies(const v1::BatchReply& reply) {
  recovered_.acknowledged =
      std::max(recovered_.acknowledged, reply.acknowledged());
  for (const v1::Sample& sample : reply.samples()) {
    const std::pair key{sample.group(), sample.index()};
    if (reply.epoch() >= recovered_.epoch ||
        !recovered_.samples.contains(key)) {
      recovered_.samples[key] = sample;
    }
  }
  recovered_.epoch = std::max(recovered_.epoch, reply.epoch());
}

void OwnedBatch::BuildPlan() {
  if (spec_.cursor() > bindings_.next_sequence()) {
    FinishWithConflict(
        "the log does not hold the sequence numbers below the cursor");
    return;
  }
  for (const auto& [id, call] : std::exchange(calls_, {})) {
    if (call) {
      call->Cancel();
    }
  }
  const Instant now = services_.clock.now();
  BatchPlanOptions options = services_.options.plan;
  options.unix_origin = UnixTime(services_.clock.wall_now()) -
                        std::chrono::duration_cast<std::chrono::milliseconds>(
                            now.time_since_epoch());
  plan_ = std::make_unique<BatchPlan>(spec_, options, MakeFreshness(), now);
  plan_->Restore(bindings_);
  plan_->RestoreAcknowledged(recovered_.acknowledged);
  for (const auto& [key, sample] : recovered_.samples) {
    plan_->Restore(sample, now);
  }
  recovered_.samples.clear();
  plan_epoch_ = epoch_;
  // Acknowledge before starting attempts, so that no sample is generated that
  // the trainer already has.
  if (spec_.cursor() > 0) {
    ExecuteDecisions(plan_->Acknowledge(spec_.cursor(), now));
  }
  Serve();
}

void OwnedBatch::Serve() {
  stage_ = Stage::kServing;
  SendFinished();
  // Submissions are answered once the copy node has stored the specification.
  sender_->SendAcknowledged(plan_->acknowledged(), [self = weak_from_this()] {
    if (const auto batch = self.lock()) {
      batch->ReplyToSubmits(MakeReply(v1::BatchReply::OK, ""));
    }
  });
  ApplyDeclaration();
  ExecuteDecisions(plan_->Tick(services_.clock.now()));
}

void OwnedBatch::SendFinished() {
  if (!plan_) {
    return;
  }
  for (CopySample& sample : plan_->FinishedSamples()) {
    sender_->Add(std::move(sample));
  }
}

void OwnedBatch::FinishWithConflict(const std::string& reason) {
  stage_ = Stage::kFinished;
  sender_->Stop();
  ReplyToAll(MakeReply(v1::BatchReply::CONFLICT, reason));
}

StoredCopy OwnedBatch::Snapshot() const {
  StoredCopy copy = recovered_;
  copy.spec = spec_;
  copy.received = services_.clock.now();
  if (plan_) {
    copy.epoch = plan_epoch_;
    copy.acknowledged = plan_->acknowledged();
    for (CopySample& finished : plan_->FinishedSamples()) {
      const std::pair key{finished.sample.group(), finished.sample.index()};
      copy.samples[key] = std::move(finished.sample);
    }
  }
  return copy;
}

void OwnedBatch::Relinquish() {
  stage_ = Stage::kFinished;
  sender_->Stop();
  for (const auto& [id, call] : std::exchange(calls_, {})) {
    if (call) {
      call->Cancel();
    }
  }
  v1::BatchReply reply =
      MakeReply(v1::BatchReply::NOT_OWNER, "another node owns the batch");
  reply.set_retry_after_ms(kRetryAfterMs);
  ReplyToAll(reply);
  if (std::exchange(subscribed_, false)) {
    services_.journal.Unsubscribe(role());
  }
  services_.leases.Want(RoleId(role()), false);
}

}  // namespace mulberryroad::rollout
