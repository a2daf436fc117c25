#include "rollout/copy_sender.h"

#include <algorithm>
#include <utility>

namespace mulberryroad::rollout {

namespace {

constexpr std::size_t kMaxSamplesPerRequest = 64;
constexpr std::chrono::milliseconds kRetryDelay{200};

}  // namespace

CopySender::CopySender(const Services& services, BatchId batch)
    : services_(services), batch_(std::move(batch)) {}

void CopySender::Start(std::uint64_t epoch, const v1::BatchSpec& spec) {
  epoch_ = epoch;
  spec_ = spec;
  spec_copied_ = false;
  stopped_ = false;
  samples_.clear();
  ChooseNode();
}

void CopySender::Add(CopySample sample) {
  samples_.push_back(std::move(sample));
  Flush();
}

void CopySender::SendAcknowledged(std::uint64_t cursor,
                                  std::function<void()> on_stored) {
  acknowledged_ = std::max(acknowledged_, cursor);
  on_stored_.push_back(std::move(on_stored));
  Flush();
}

void CopySender::Close() {
  const auto node = services_.members.find(copy_node_);
  const auto endpoint =
      node.has_value() ? ParseEndpoint(node->peer_endpoint()) : std::nullopt;
  stopped_ = true;
  if (!endpoint.has_value()) {
    return;
  }
  v1::PeerRequest request;
  v1::BatchCopy& copy = *request.mutable_batch_copy();
  copy.set_batch(batch_.value());
  copy.set_epoch(epoch_);
  copy.set_closed(true);
  services_.transport.Call(
      *endpoint, std::move(request), services_.options.copy_timeout,
      [](const std::optional<v1::PeerReply>&, const std::string&) {});
}

bool CopySender::up_to_date() const {
  return (spec_copied_ || copy_node_.empty()) && samples_.empty() &&
         on_stored_.empty() && !in_flight_;
}

bool CopySender::ChooseNode() {
  const auto eligible = services_.members.eligible();
  const bool still_eligible = std::any_of(
      eligible.begin(), eligible.end(), [this](const v1::Member& member) {
        return member.node_id() == copy_node_.value();
      });
  if (still_eligible) {
    return false;
  }
  const auto partner = services_.members.Partner("batch/" + batch_.value());
  const NodeId chosen(partner.has_value() ? partner->node_id() : "");
  if (chosen == copy_node_) {
    return false;
  }
  copy_node_ = chosen;
  spec_copied_ = false;
  v1::Decision decision;
  decision.set_kind("copy-node");
  decision.set_batch(batch_.value());
  decision.set_epoch(epoch_);
  decision.set_chosen(chosen.value());
  decision.set_reason(chosen.empty() ? "no other node is eligible"
                                     : "partner by rendezvous hash");
  services_.decisions.Write(std::move(decision));
  return true;
}

void CopySender::Flush() {
  if (stopped_ || in_flight_) {
    return;
  }
  if (ChooseNode()) {
    samples_.clear();
    copy_node_changed_.emit();
    if (in_flight_) {
      return;
    }
  }
  if (copy_node_.empty()) {
    CompleteUpdates(samples_.size(), on_stored_.size());
    return;
  }
  const auto node = services_.members.find(copy_node_);
  const auto endpoint =
      node.has_value() ? ParseEndpoint(node->peer_endpoint()) : std::nullopt;
  if (endpoint.has_value() && !up_to_date()) {
    Send(*endpoint);
  }
}

void CopySender::Send(const Endpoint& endpoint) {
  v1::PeerRequest request;
  v1::BatchCopy& copy = *request.mutable_batch_copy();
  copy.set_batch(batch_.value());
  copy.set_epoch(epoch_);
  copy.set_acknowledged(acknowledged_);
  const bool with_spec = !spec_copied_;
  if (with_spec) {
    *copy.mutable_spec() = spec_;
  }
  const std::size_t count = std::min(samples_.size(), kMaxSamplesPerRequest);
  for (std::size_t i = 0; i < count; ++i) {
    *copy.add_samples() = samples_[i].sample;
  }
  in_flight_ = true;
  services_.transport.Call(
      endpoint, std::move(request), services_.options.copy_timeout,
      [self = shared_from_this(), node = copy_node_, epoch = epoch_, count,
       callbacks = on_stored_.size(), with_spec](
          const std::optional<v1::PeerReply>& reply, const std::string&) {
        self->in_flight_ = false;
        if (node != self->copy_node_ || epoch != self->epoch_) {
          self->Flush();
          return;
        }
        self->OnReply(count, callbacks, with_spec, reply);
      });
}

void CopySender::OnReply(std::size_t samples, std::size_t callbacks,
                         bool with_spec,
                         const std::optional<v1::PeerReply>& reply) {
  if (stopped_) {
    return;
  }
  if (!reply.has_value()) {
    retry_ = services_.loop.After(kRetryDelay, [self = weak_from_this()] {
      if (const auto sender = self.lock()) {
        sender->Flush();
      }
    });
    return;
  }
  if (!reply->batch_copy().kept()) {
    superseded_.emit();
    return;
  }
  spec_copied_ = spec_copied_ || with_spec;
  CompleteUpdates(samples, callbacks);
  Flush();
}

void CopySender::CompleteUpdates(std::size_t samples, std::size_t callbacks) {
  std::vector<SampleKey> keys;
  for (; samples > 0; --samples) {
    keys.push_back(samples_.front().key);
    samples_.pop_front();
  }
  std::deque<std::function<void()>> done;
  for (; callbacks > 0; --callbacks) {
    done.push_back(std::move(on_stored_.front()));
    on_stored_.pop_front();
  }
  if (!keys.empty()) {
    copied_.emit(keys);
  }
  for (const std::function<void()>& callback : done) {
    callback();
  }
}

}  // namespace mulberryroad::rollout
