#include "dispatch/dispatcher_host.h"

#include <set>
#include <utility>

#include "dispatch/dispatcher.h"

namespace mulberryroad::dispatch {

namespace {

v1::GrantReply NotHostedReply() {
  v1::GrantReply reply;
  reply.mutable_refusal()->set_reason("this node is not the pool's dispatcher");
  return reply;
}

}  // namespace

DispatcherHost::DispatcherHost(base::EventLoop& loop, const Clock& clock,
                               peer::Transport& transport,
                               membership::Members& members,
                               config::Configuration& configuration,
                               platform::VmDirectory& directory,
                               platform::EngineControl& engines,
                               base::DecisionLog& decisions, std::uint64_t seed)
    : loop_(loop),
      clock_(clock),
      transport_(transport),
      members_(members),
      configuration_(configuration),
      directory_(directory),
      engines_(engines),
      decisions_(decisions),
      seed_(seed) {
  RegisterPeerHandlers();
  members_changed_ = members_.changed().connect([this] { Rebalance(); });
  configuration_changed_ =
      configuration_.changed().connect([this] { Rebalance(); });
  Rebalance();
}

DispatcherHost::~DispatcherHost() {
  members_changed_.disconnect();
  configuration_changed_.disconnect();
  for (const auto& [pool, dispatcher] : dispatchers_) {
    dispatcher->Stop();
  }
}

void DispatcherHost::RegisterPeerHandlers() {
  transport_.Handle(
      v1::PeerRequest::kGrant,
      [this](const v1::PeerRequest& request, peer::ReplyCallback respond) {
        Acquire(request.grant(),
                [respond = std::move(respond)](v1::GrantReply grant_reply) {
                  v1::PeerReply reply;
                  *reply.mutable_grant() = std::move(grant_reply);
                  respond(std::move(reply));
                });
      });
  transport_.Handle(v1::PeerRequest::kRelease,
                    [this](const v1::PeerRequest& request,
                           const peer::ReplyCallback& respond) {
                      Release(request.release());
                      v1::PeerReply reply;
                      reply.mutable_release();
                      respond(std::move(reply));
                    });
  transport_.Handle(v1::PeerRequest::kUpstreamNotice,
                    [this](const v1::PeerRequest& request,
                           const peer::ReplyCallback& respond) {
                      v1::PeerReply reply;
                      *reply.mutable_upstream_notice() =
                          ApplyNotice(request.upstream_notice());
                      respond(std::move(reply));
                    });
  transport_.Handle(v1::PeerRequest::kDemand,
                    [this](const v1::PeerRequest& request,
                           const peer::ReplyCallback& respond) {
                      v1::PeerReply reply;
                      *reply.mutable_demand() = Demand(request.demand());
                      respond(std::move(reply));
                    });
}

void DispatcherHost::Rebalance() {
  std::set<PoolId> owned;
  const v1::Declaration* declaration = configuration_.declaration();
  if (declaration != nullptr) {
    for (const v1::Pool& declared : declaration->pools()) {
      const std::string& target =
          declared.has_model() ? declared.model() : declared.service();
      PoolId pool{TargetId(target), FailureDomainId(declared.failure_domain())};
      const std::optional<v1::Member> owner = members_.Owner(ToString(pool));
      if (owner.has_value() && owner->node_id() == members_.self().node_id()) {
        owned.insert(std::move(pool));
      }
    }
  }
  std::erase_if(dispatchers_, [&](const auto& entry) {
    if (owned.contains(entry.first)) {
      return false;
    }
    entry.second->Stop();
    return true;
  });
  for (const PoolId& pool : owned) {
    std::shared_ptr<Dispatcher>& dispatcher = dispatchers_[pool];
    if (dispatcher == nullptr) {
      dispatcher = std::make_shared<Dispatcher>(*this, pool);
      dispatcher->Start();
    } else {
      dispatcher->ApplyDeclaration();
    }
  }
  ReleaseDeadEntries();
}

void DispatcherHost::ReleaseDeadEntries() {
  for (const v1::Member& member : members_.all()) {
    if (member.state() != v1::MEMBER_DEAD) {
      continue;
    }
    for (const auto& [pool, dispatcher] : dispatchers_) {
      dispatcher->ReleaseEntry(NodeId(member.node_id()));
    }
  }
}

DispatcherHost::Dispatcher* DispatcherHost::FindDispatcher(
    const std::string& target, const std::string& failure_domain) const {
  const auto found = dispatchers_.find(
      PoolId{TargetId(target), FailureDomainId(failure_domain)});
  return found == dispatchers_.end() ? nullptr : found->second.get();
}

void DispatcherHost::Acquire(const v1::GrantRequest& request,
                             OnGrantReply on_reply) {
  Dispatcher* dispatcher =
      FindDispatcher(request.target(), request.failure_domain());
  if (dispatcher == nullptr) {
    on_reply(NotHostedReply());
    return;
  }
  dispatcher->Acquire(request, std::move(on_reply));
}

void DispatcherHost::Release(const v1::GrantRelease& release) {
  Dispatcher* dispatcher =
      FindDispatcher(release.target(), release.failure_domain());
  if (dispatcher != nullptr) {
    dispatcher->Release(release);
  }
}

v1::UpstreamNoticeReply DispatcherHost::ApplyNotice(
    const v1::UpstreamNotice& notice) {
  Dispatcher* dispatcher =
      FindDispatcher(notice.target(), notice.failure_domain());
  return dispatcher == nullptr ? v1::UpstreamNoticeReply()
                               : dispatcher->ApplyNotice(notice);
}

v1::DemandReply DispatcherHost::Demand(const v1::DemandQuery& query) const {
  const Dispatcher* dispatcher =
      FindDispatcher(query.target(), query.failure_domain());
  return dispatcher == nullptr ? v1::DemandReply() : dispatcher->demand();
}

std::vector<v1::PoolStatus> DispatcherHost::pools() const {
  std::vector<v1::PoolStatus> statuses;
  for (const auto& [pool, dispatcher] : dispatchers_) {
    statuses.push_back(dispatcher->status());
  }
  return statuses;
}

bool DispatcherHost::hosts(const PoolId& pool) const {
  return dispatchers_.contains(pool);
}

}  // namespace mulberryroad::dispatch
