#include "dispatch/peer_broker.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace mulberryroad::dispatch {

namespace {

// Maximum wait for a grant if the request has no deadline.
constexpr std::chrono::milliseconds kDefaultMaxWait = std::chrono::seconds{30};
// Time for the transfer of the reply; part of the call timeout.
constexpr std::chrono::milliseconds kReplyMargin = std::chrono::seconds{1};
// Interval of checks that the node asked for a grant still hosts the pool's
// dispatcher.
constexpr std::chrono::milliseconds kOwnerCheckInterval =
    std::chrono::milliseconds{200};
constexpr std::chrono::milliseconds kReleaseTimeout = std::chrono::seconds{1};
constexpr int kReleaseAttempts = 3;
constexpr std::uint64_t kDefaultRetryAfterMs = 1'000;

using AcquireReply = std::variant<v1::Grant, v1::GrantRefusal>;

v1::GrantRefusal MakeRefusal(std::string reason, std::uint64_t retry_after_ms) {
  v1::GrantRefusal refusal;
  refusal.set_reason(std::move(reason));
  refusal.set_retry_after_ms(retry_after_ms);
  return refusal;
}

}  // namespace

/// Asks the pools of one request in turn. Holds a reference to itself until the
/// request is granted, refused or cancelled.
class PeerBroker::Search final : public std::enable_shared_from_this<Search> {
 public:
  Search(PeerBroker& broker, v1::GrantRequest request,
         std::vector<PoolId> pools, std::function<void(AcquireReply)> on_reply)
      : broker_(broker),
        broker_alive_(broker.alive_),
        request_(std::move(request)),
        pools_(std::move(pools)),
        on_reply_(std::move(on_reply)),
        started_(broker.clock_.now()) {}

  void Start() {
    self_ = shared_from_this();
    owner_check_ =
        broker_.loop_.Every(kOwnerCheckInterval, [weak = weak_from_this()] {
          if (const auto self = weak.lock()) {
            self->CheckOwner();
          }
        });
    TryNext();
  }

  void Cancel() {
    if (done_) {
      return;
    }
    ReleaseByRequestId();
    Finish(MakeRefusal("the request was given up", 0));
  }

 private:
  std::chrono::milliseconds Remaining() const {
    const std::chrono::milliseconds deadline{request_.deadline_ms()};
    const std::chrono::milliseconds limit =
        deadline.count() > 0 ? deadline : kDefaultMaxWait;
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        broker_.clock_.now() - started_);
    return limit - elapsed;
  }

  void TryNext() {
    const std::chrono::milliseconds remaining = Remaining();
    if (next_pool_ >= pools_.size() ||
        remaining <= std::chrono::milliseconds{0}) {
      FinishWithoutDispatcher();
      return;
    }
    pool_ = pools_[next_pool_++];
    const std::optional<v1::Member> owner =
        broker_.members_.Owner(ToString(pool_));
    if (!owner.has_value()) {
      unreachable_pools_.push_back(pool_);
      RecordRefusal("no node hosts the dispatcher");
      TryNext();
      return;
    }
    if (owner->state() == v1::MEMBER_SUSPECT) {
      unreachable_pools_.push_back(pool_);
      RecordRefusal("the dispatcher is suspected to be down");
      TryNext();
      return;
    }
    asked_node_ = NodeId(owner->node_id());
    RequestGrant(*owner, remaining);
  }

  void RequestGrant(const v1::Member& owner,
                    std::chrono::milliseconds remaining) {
    const std::uint64_t call_number = ++current_call_;
    v1::GrantRequest request = request_;
    request.set_failure_domain(pool_.failure_domain.value());
    request.set_entry(broker_.members_.self().node_id());
    request.set_deadline_ms(static_cast<std::uint64_t>(remaining.count()));
    if (owner.node_id() == broker_.members_.self().node_id()) {
      broker_.local_dispatchers_.Acquire(
          request,
          [self = shared_from_this(), call_number](v1::GrantReply reply) {
            self->HandleReply(call_number, std::move(reply));
          });
      return;
    }
    const std::optional<Endpoint> endpoint =
        ParseEndpoint(owner.peer_endpoint());
    if (!endpoint.has_value()) {
      RecordRefusal("the dispatcher has no endpoint");
      TryNext();
      return;
    }
    v1::PeerRequest call;
    *call.mutable_grant() = std::move(request);
    broker_.transport_.Call(
        *endpoint, std::move(call), remaining + kReplyMargin,
        [self = shared_from_this(), call_number](
            std::optional<v1::PeerReply> reply, const std::string& reason) {
          if (reply.has_value() && reply->has_grant()) {
            self->HandleReply(call_number, std::move(*reply->mutable_grant()));
          } else {
            self->HandleCallFailure(call_number, reason);
          }
        });
  }

  void HandleReply(std::uint64_t call_number, v1::GrantReply reply) {
    if (!*broker_alive_) {
      return;
    }
    const bool stale = done_ || call_number != current_call_;
    if (reply.has_grant()) {
      const GrantOrigin origin{pool_, asked_node_};
      if (stale) {
        return;
      }
      broker_.grant_origins_[{reply.grant().upstream(),
                              reply.grant().grant_id()}] = origin;
      broker_.fallback_.RecordGrant(pool_, reply.grant(), broker_.clock_.now());
      Finish(std::move(*reply.mutable_grant()));
      return;
    }
    if (!stale) {
      RecordRefusal(reply.refusal().reason(), reply.refusal().retry_after_ms());
      TryNext();
    }
  }

  void HandleCallFailure(std::uint64_t call_number, const std::string& reason) {
    if (!*broker_alive_ || done_ || call_number != current_call_) {
      return;
    }
    ReleaseByRequestId();
    unreachable_pools_.push_back(pool_);
    RecordRefusal("the dispatcher did not answer: " + reason);
    TryNext();
  }

  // Stops waiting for a node that no longer hosts the dispatcher or is
  // suspected to be down, since a crashed or frozen node would not reply before
  // the call times out, and retries the same pool.
  void CheckOwner() {
    if (!*broker_alive_ || done_) {
      return;
    }
    const std::optional<v1::Member> owner =
        broker_.members_.Owner(ToString(pool_));
    const bool same_owner =
        owner.has_value() && owner->node_id() == asked_node_.value();
    if (same_owner && owner->state() != v1::MEMBER_SUSPECT) {
      return;
    }
    ReleaseByRequestId();
    RecordRefusal("the dispatcher moved or is suspected to be down");
    --next_pool_;
    TryNext();
  }

  // Cancels the request at the asked node by its id: the node removes it from
  // the queue, or releases a grant whose reply was lost or will be ignored.
  void ReleaseByRequestId() {
    ++current_call_;
    if (asked_node_.empty()) {
      return;
    }
    v1::GrantRelease release;
    release.set_request_id(request_.request_id());
    broker_.SendRelease(GrantOrigin{pool_, asked_node_}, std::move(release),
                        kReleaseAttempts);
  }

  void RecordRefusal(const std::string& reason,
                     std::uint64_t retry_after_ms = 0) {
    last_refusal_reason_ = ToString(pool_) + ": " + reason;
    v1::Candidate candidate;
    candidate.set_name(ToString(pool_));
    candidate.set_excluded(reason);
    refused_pools_.push_back(std::move(candidate));
    if (retry_after_ms > 0 &&
        (retry_after_ms_ == 0 || retry_after_ms < retry_after_ms_)) {
      retry_after_ms_ = retry_after_ms;
    }
  }

  // Grants a slot from this node's share of the pools whose dispatcher is
  // unreachable, or refuses the request.
  void FinishWithoutDispatcher() {
    const std::size_t sharing_nodes = broker_.members_.eligible().size();
    for (const PoolId& pool : unreachable_pools_) {
      std::optional<v1::Grant> grant = broker_.fallback_.Acquire(
          pool, request_, sharing_nodes, broker_.clock_.now(), broker_.random_);
      if (grant.has_value()) {
        WriteFallback(pool, *grant);
        Finish(*std::move(grant));
        return;
      }
    }
    FinishRefused();
  }

  void WriteFallback(const PoolId& pool, const v1::Grant& grant) {
    v1::Decision decision;
    decision.set_kind("grant");
    decision.set_request_id(request_.request_id());
    decision.set_organisation(request_.organisation());
    decision.set_target(pool.target.value());
    decision.set_failure_domain(pool.failure_domain.value());
    decision.set_chosen(grant.upstream());
    decision.set_reason(grant.reason());
    decision.mutable_candidates()->Assign(refused_pools_.begin(),
                                          refused_pools_.end());
    broker_.decisions_.Write(std::move(decision));
  }

  void FinishRefused() {
    v1::Decision decision;
    decision.set_kind("refuse");
    decision.set_request_id(request_.request_id());
    decision.set_organisation(request_.organisation());
    decision.set_target(request_.target());
    decision.set_reason("no pool gave a slot");
    decision.set_verdict(std::string(ToString(Verdict::kNotRun)));
    decision.mutable_candidates()->Assign(refused_pools_.begin(),
                                          refused_pools_.end());
    broker_.decisions_.Write(std::move(decision));
    const std::string reason = last_refusal_reason_.empty()
                                   ? "no pool serves " + request_.target()
                                   : last_refusal_reason_;
    Finish(MakeRefusal(
        reason, retry_after_ms_ > 0 ? retry_after_ms_ : kDefaultRetryAfterMs));
  }

  void Finish(AcquireReply reply) {
    done_ = true;
    owner_check_.Cancel();
    const auto registered = broker_.searches_.find(request_.request_id());
    if (registered != broker_.searches_.end() &&
        registered->second.lock().get() == this) {
      broker_.searches_.erase(registered);
    }
    broker_.loop_.Post([on_reply = std::move(on_reply_),
                        reply = std::move(reply)] { on_reply(reply); });
    const std::shared_ptr<Search> self = std::move(self_);
  }

  PeerBroker& broker_;
  std::shared_ptr<bool> broker_alive_;
  v1::GrantRequest request_;
  std::vector<PoolId> pools_;
  std::function<void(AcquireReply)> on_reply_;
  Instant started_;
  std::size_t next_pool_ = 0;
  PoolId pool_;
  NodeId asked_node_;
  // Number of the current call to a dispatcher. Incremented for each call and
  // each cancellation; replies to calls with other numbers are ignored.
  std::uint64_t current_call_ = 0;
  std::string last_refusal_reason_;
  std::uint64_t retry_after_ms_ = 0;
  std::vector<v1::Candidate> refused_pools_;
  std::vector<PoolId> unreachable_pools_;
  base::Timer owner_check_;
  bool done_ = false;
  // Reset when the request is granted, refused or cancelled.
  std::shared_ptr<Search> self_;
};

PeerBroker::PeerBroker(base::EventLoop& loop, const Clock& clock,
                       peer::Transport& transport, membership::Members& members,
                       config::Configuration& configuration,
                       DispatcherHost& local_dispatchers,
                       base::DecisionLog& decisions,
                       FailureDomainId own_failure_domain, std::uint64_t seed)
    : loop_(loop),
      clock_(clock),
      transport_(transport),
      members_(members),
      configuration_(configuration),
      local_dispatchers_(local_dispatchers),
      decisions_(decisions),
      own_failure_domain_(std::move(own_failure_domain)),
      random_(seed) {}

PeerBroker::~PeerBroker() { *alive_ = false; }

std::vector<PoolId> PeerBroker::CandidatePools(
    const v1::GrantRequest& request) {
  std::vector<PoolId> pools;
  const v1::Declaration* declaration = configuration_.declaration();
  if (declaration == nullptr) {
    return pools;
  }
  for (const v1::Pool& pool : declaration->pools()) {
    const std::string& target =
        pool.has_model() ? pool.model() : pool.service();
    const bool wanted = request.failure_domain().empty() ||
                        request.failure_domain() == pool.failure_domain();
    if (target == request.target() && wanted) {
      pools.push_back(
          {TargetId(target), FailureDomainId(pool.failure_domain())});
    }
  }
  std::shuffle(pools.begin(), pools.end(), random_);
  std::stable_partition(pools.begin(), pools.end(), [&](const PoolId& pool) {
    return pool.failure_domain == own_failure_domain_;
  });
  return pools;
}

void PeerBroker::Acquire(v1::GrantRequest request,
                         std::function<void(AcquireReply)> on_reply) {
  std::vector<PoolId> pools = CandidatePools(request);
  const std::string request_id = request.request_id();
  auto search = std::make_shared<Search>(*this, std::move(request),
                                         std::move(pools), std::move(on_reply));
  searches_[request_id] = search;
  search->Start();
}

void PeerBroker::Release(v1::GrantRelease release) {
  if (release.grant_id() == 0) {
    const auto search = searches_.find(release.request_id());
    if (search != searches_.end()) {
      if (const std::shared_ptr<Search> found = search->second.lock()) {
        found->Cancel();
      }
    }
    return;
  }
  if (fallback_.Release(release)) {
    return;
  }
  const auto found =
      grant_origins_.find({release.upstream(), release.grant_id()});
  if (found == grant_origins_.end()) {
    return;
  }
  const GrantOrigin origin = found->second;
  grant_origins_.erase(found);
  SendRelease(origin, std::move(release), kReleaseAttempts);
}

void PeerBroker::SendRelease(const GrantOrigin& origin,
                             v1::GrantRelease release, int attempts_left) {
  release.set_target(origin.pool.target.value());
  release.set_failure_domain(origin.pool.failure_domain.value());
  if (origin.node.value() == members_.self().node_id()) {
    local_dispatchers_.Release(release);
    return;
  }
  const std::optional<v1::Member> member = members_.find(origin.node);
  const std::optional<Endpoint> endpoint =
      member.has_value() ? ParseEndpoint(member->peer_endpoint())
                         : std::nullopt;
  if (!endpoint.has_value() || attempts_left == 0) {
    return;
  }
  v1::PeerRequest call;
  *call.mutable_release() = release;
  transport_.Call(*endpoint, std::move(call), kReleaseTimeout,
                  [this, alive = alive_, origin, release, attempts_left](
                      const std::optional<v1::PeerReply>& reply,
                      const std::string& /*reason*/) {
                    if (*alive && !reply.has_value()) {
                      SendRelease(origin, release, attempts_left - 1);
                    }
                  });
}

}  // namespace mulberryroad::dispatch
