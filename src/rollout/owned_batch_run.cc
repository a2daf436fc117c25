// Part of OwnedBatch: trainer calls and execution of the plan's decisions.

#include <algorithm>
#include <utility>

#include "rollout/owned_batch.h"

namespace mulberryroad::rollout {

namespace {

constexpr std::uint64_t kRetryAfterMs = 500;
constexpr std::uint32_t kDefaultPageSamples = 64;
constexpr std::uint32_t kMaxPageSamples = 1024;

v1::BatchReply MakeRefusedReply(const std::string& reason) {
  v1::BatchReply reply;
  reply.set_outcome(v1::BatchReply::REFUSED);
  reply.set_reason(reason);
  reply.set_retry_after_ms(kRetryAfterMs);
  return reply;
}

v1::BatchReply PageReply(const Deliver& page) {
  v1::BatchReply reply;
  reply.set_outcome(v1::BatchReply::OK);
  for (const v1::Sample& sample : page.samples) {
    *reply.add_samples() = sample;
  }
  reply.set_next_cursor(page.next_cursor);
  reply.set_complete(page.complete);
  return reply;
}

}  // namespace

void OwnedBatch::Submit(const v1::BatchSpec& spec, OnBatchReply on_reply) {
  v1::BatchReply reply;
  if (SpecDigest(spec) != SpecDigest(spec_)) {
    reply.set_outcome(v1::BatchReply::CONFLICT);
    reply.set_reason("the batch id stands for another specification");
    on_reply(reply);
    return;
  }
  if (serving() || stage_ == Stage::kFinished) {
    reply.set_outcome(v1::BatchReply::OK);
    if (plan_) {
      ExecuteDecisions(
          plan_->Acknowledge(spec.cursor(), services_.clock.now()));
      reply.set_next_cursor(plan_->acknowledged());
    }
    on_reply(reply);
    return;
  }
  spec_.set_cursor(std::max(spec_.cursor(), spec.cursor()));
  pending_submits_.push_back(
      {services_.clock.now() + services_.options.open_timeout,
       std::move(on_reply)});
}

void OwnedBatch::Pull(const v1::BatchPull& pull, OnBatchReply on_reply) {
  const Instant expires_at =
      services_.clock.now() + std::chrono::milliseconds(pull.wait_ms());
  pending_pulls_.push_back({pull, expires_at, std::move(on_reply)});
  ReplyToReadyPulls();
  ExpirePendingCalls();
}

void OwnedBatch::Acknowledge(const v1::BatchAck& ack, OnBatchReply on_reply) {
  if (!serving()) {
    on_reply(MakeRefusedReply("the batch is changing its owner"));
    return;
  }
  if (ack.cursor() > plan_->bound_samples()) {
    v1::BatchReply reply;
    reply.set_outcome(v1::BatchReply::INVALID);
    reply.set_reason("the cursor is past the samples handed out");
    on_reply(reply);
    return;
  }
  ExecuteDecisions(plan_->Acknowledge(ack.cursor(), services_.clock.now()));
  v1::BatchReply reply;
  reply.set_outcome(v1::BatchReply::OK);
  reply.set_next_cursor(plan_->acknowledged());
  reply.set_complete(plan_->acknowledged() == plan_->total_samples());
  on_reply(reply);
}

void OwnedBatch::ReplyToReadyPulls() {
  if (!serving()) {
    return;
  }
  std::deque<PendingPull> waiting = std::exchange(pending_pulls_, {});
  for (PendingPull& pull : waiting) {
    const std::uint32_t max = pull.pull.max_samples() == 0
                                  ? kDefaultPageSamples
                                  : pull.pull.max_samples();
    page_.reset();
    ExecuteDecisions(plan_->Pull(pull.pull.cursor(),
                                 std::min(max, kMaxPageSamples),
                                 services_.clock.now()));
    if (page_.has_value() && (!page_->samples.empty() || page_->complete)) {
      pull.on_reply(PageReply(*page_));
    } else {
      pending_pulls_.push_back(std::move(pull));
    }
  }
}

void OwnedBatch::ExpirePendingCalls() {
  const Instant now = services_.clock.now();
  std::vector<std::function<void()>> answers;
  std::erase_if(pending_pulls_, [&](PendingPull& pull) {
    if (pull.expires_at > now) {
      return false;
    }
    v1::BatchReply reply;
    if (serving()) {
      reply.set_outcome(v1::BatchReply::OK);
      reply.set_next_cursor(
          std::max(pull.pull.cursor(), plan_->acknowledged()));
    } else {
      reply = MakeRefusedReply("the batch is changing its owner");
    }
    answers.push_back(
        [reply, on_reply = std::move(pull.on_reply)] { on_reply(reply); });
    return true;
  });
  std::erase_if(pending_submits_, [&](PendingSubmit& submit) {
    if (submit.expires_at > now) {
      return false;
    }
    v1::BatchReply reply =
        MakeRefusedReply("the batch's lease is not held yet");
    reply.set_may_have_run(true);
    answers.push_back(
        [reply, on_reply = std::move(submit.on_reply)] { on_reply(reply); });
    return true;
  });
  for (const auto& answer : answers) {
    answer();
  }
}

void OwnedBatch::ReplyToSubmits(const v1::BatchReply& reply) {
  for (const PendingSubmit& submit : std::exchange(pending_submits_, {})) {
    submit.on_reply(reply);
  }
}

void OwnedBatch::ReplyToAll(const v1::BatchReply& reply) {
  ReplyToSubmits(reply);
  for (const PendingPull& pull : std::exchange(pending_pulls_, {})) {
    pull.on_reply(reply);
  }
}

void OwnedBatch::Tick() {
  ExpirePendingCalls();
  if (!holds_lease() || stage_ == Stage::kFinished) {
    return;
  }
  if (stage_ == Stage::kOpening) {
    AppendOpened();
  }
  sender_->Flush();
  if (stage_ != Stage::kServing) {
    return;
  }
  ApplyDeclaration();
  if (services_.members.self().state() == v1::MEMBER_LEAVING) {
    plan_->DisableStarts();
  }
  if (std::exchange(retry_bind_, false)) {
    ExecuteDecisions(plan_->OnBindFailed());
  }
  ExecuteDecisions(plan_->Tick(services_.clock.now()));
  ReplyToReadyPulls();
  if (closing_ && sender_->up_to_date()) {
    AppendClosed();
  }
}

bool OwnedBatch::drained() const {
  return calls_.empty() && sender_->up_to_date();
}

// Executing a decision may produce further ones. They are queued, so that the
// order is kept and Execute is not entered recursively.
void OwnedBatch::ExecuteDecisions(BatchDecisions decisions) {
  std::move(decisions.begin(), decisions.end(),
            std::back_inserter(decision_queue_));
  if (executing_decisions_) {
    return;
  }
  executing_decisions_ = true;
  while (!decision_queue_.empty()) {
    const BatchDecision next = std::move(decision_queue_.front());
    decision_queue_.pop_front();
    std::visit([this](const auto& decision) { Execute(decision); }, next);
  }
  executing_decisions_ = false;
}

void OwnedBatch::Execute(const StartSample& start) {
  const v1::GroupSpec& group =
      spec_.groups(static_cast<int>(start.sample.group));
  dispatch::GenerationRequest request;
  request.request_id = RequestId(RequestName(start.attempt, start.sample));
  request.organisation = OrganisationId(spec_.organisation());
  request.model = TargetId(spec_.model());
  request.kind = v1::WORK_SAMPLE;
  request.prompt = group.prompt();
  request.max_tokens = group.max_tokens();
  request.min_version = start.min_version;
  request.deadline = RemainingTime();
  request.repeatable = true;
  request.excluded_upstreams = start.excluded;
  request.resume_text = start.resume.text;
  request.resume_tokens = start.resume.tokens;
  LogDecision(start.hedge ? "hedge" : start.reason, request.request_id.value(),
              start.reason);
  calls_[start.attempt] = nullptr;
  auto call = services_.generator.Start(
      std::move(request),
      [self = weak_from_this(),
       id = start.attempt](const dispatch::GenerationChunk& piece) {
        const auto batch = self.lock();
        if (batch && batch->plan_) {
          batch->plan_->OnTokens(id,
                                 {piece.text, piece.tokens, piece.versions, {}},
                                 batch->services_.clock.now());
        }
      },
      [self = weak_from_this(), id = start.attempt](const auto& outcome) {
        if (const auto batch = self.lock()) {
          batch->OnGenerationDone(id, outcome);
        }
      });
  if (const auto running = calls_.find(start.attempt);
      running != calls_.end()) {
    running->second = std::move(call);
  }
}

void OwnedBatch::OnGenerationDone(
    AttemptId attempt,
    const std::variant<dispatch::GenerationResult, dispatch::GenerationFailure>&
        outcome) {
  if (calls_.erase(attempt) == 0 || !plan_) {
    return;
  }
  const Instant now = services_.clock.now();
  if (const auto* whole = std::get_if<dispatch::GenerationResult>(&outcome)) {
    ExecuteDecisions(
        plan_->OnFinished(attempt,
                          {whole->upstream, whole->text, whole->tokens,
                           whole->prompt_tokens, whole->versions},
                          now));
    return;
  }
  const auto& failure = std::get<dispatch::GenerationFailure>(outcome);
  ExecuteDecisions(plan_->OnFailed(
      attempt,
      {failure.verdict, failure.reason, failure.retry_after, failure.upstream},
      now));
}

void OwnedBatch::Execute(const CancelAttempt& cancel) {
  const auto found = calls_.find(cancel.attempt);
  if (found == calls_.end()) {
    return;
  }
  const std::shared_ptr<dispatch::GenerationCall> call =
      std::move(found->second);
  calls_.erase(found);
  LogDecision("cancel", RequestName(cancel.attempt, cancel.sample),
              cancel.reason);
  if (call) {
    call->Cancel();
  }
}

void OwnedBatch::Execute(const CopySample& copy) { sender_->Add(copy); }

void OwnedBatch::Execute(const BindGroups& bind) {
  if (!serving()) {
    return;
  }
  v1::Record record;
  v1::SequenceBound& bound = *record.mutable_sequence_bound();
  bound.set_batch(id_.value());
  bound.set_first_sequence(bind.first_sequence);
  bound.mutable_groups()->Add(bind.groups.begin(), bind.groups.end());
  bound.set_epoch(epoch_);
  services_.journal.Append(
      role(), std::move(record), services_.options.append_timeout,
      [self = weak_from_this(), epoch = epoch_](
          std::optional<platform::Offset> offset, const std::string&) {
        const auto batch = self.lock();
        if (batch && !offset.has_value() && batch->epoch_ == epoch) {
          // Retried at the next tick. The journal may call back synchronously,
          // so an immediate retry could recurse.
          batch->retry_bind_ = true;
        }
      });
}

void OwnedBatch::Execute(const Deliver& page) {
  page_ = page;
  if (!page.samples.empty()) {
    LogDecision("deliver", "",
                "sequence " + std::to_string(page.samples.front().sequence()) +
                    " up to " + std::to_string(page.next_cursor));
  }
}

void OwnedBatch::Execute(const DropSample& drop) {
  LogDecision("drop", RequestName(0, drop.sample), drop.reason);
}

// Counts usage only after the copy node has stored the acknowledged cursor, so
// that a new owner never bills the same samples again.
void OwnedBatch::Execute(const Bill& bill) {
  sender_->SendAcknowledged(
      bill.acknowledged,
      [meter = &services_.meter,
       organisation = OrganisationId(spec_.organisation()), bill] {
        if (bill.samples > 0) {
          meter->Count(organisation, {bill.samples, bill.prompt_tokens,
                                      bill.generated_tokens});
        }
      });
}

void OwnedBatch::Execute(const CloseBatch& close) {
  closing_ = true;
  LogDecision("batch-close", "", close.reason);
}

void OwnedBatch::AppendClosed() {
  if (appending_closed_) {
    return;
  }
  appending_closed_ = true;
  v1::Record record;
  record.mutable_batch_closed()->set_batch(id_.value());
  record.mutable_batch_closed()->set_epoch(epoch_);
  services_.journal.Append(
      role(), std::move(record), services_.options.append_timeout,
      [self = shared_from_this()](std::optional<platform::Offset>,
                                  const std::string&) {
        self->appending_closed_ = false;
      });
}

}  // namespace mulberryroad::rollout
