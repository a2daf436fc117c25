// Broker that asks the dispatcher of each pool of the target for a slot, pools
// in this node's failure domain first. If no pool grants a slot, it falls back
// to this node's share of the pools whose dispatcher is unreachable.

#ifndef MULBERRYROAD_SRC_DISPATCH_PEER_BROKER_H_
#define MULBERRYROAD_SRC_DISPATCH_PEER_BROKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "base/decision_log.h"
#include "base/event_loop.h"
#include "config/configuration.h"
#include "dispatch/broker.h"
#include "dispatch/dispatcher_host.h"
#include "dispatch/fallback_share.h"
#include "membership/members.h"
#include "mulberryroad/clock.h"
#include "peer/transport.h"

namespace mulberryroad::dispatch {

class PeerBroker final : public Broker {
 public:
  PeerBroker(base::EventLoop& loop, const Clock& clock,
             peer::Transport& transport, membership::Members& members,
             config::Configuration& configuration,
             DispatcherHost& local_dispatchers, base::DecisionLog& decisions,
             FailureDomainId own_failure_domain, std::uint64_t seed);
  ~PeerBroker() override;
  PeerBroker(const PeerBroker&) = delete;
  PeerBroker& operator=(const PeerBroker&) = delete;

  /// The callback runs on the event loop, never before Acquire returns.
  void Acquire(v1::GrantRequest request,
               std::function<void(std::variant<v1::Grant, v1::GrantRefusal>)>
                   on_reply) override;
  /// With grant_id 0, cancels the pending Acquire of release.request_id(): its
  /// callback gets a refusal, and a grant made in the meantime is released.
  void Release(v1::GrantRelease release) override;

 private:
  class Search;

  /// The dispatcher that issued a grant.
  struct GrantOrigin {
    PoolId pool;
    NodeId node;
  };
  using GrantKey = std::pair<std::string, std::uint64_t>;

  std::vector<PoolId> CandidatePools(const v1::GrantRequest& request);
  void SendRelease(const GrantOrigin& origin, v1::GrantRelease release,
                   int attempts_left);

  base::EventLoop& loop_;
  const Clock& clock_;
  peer::Transport& transport_;
  membership::Members& members_;
  config::Configuration& configuration_;
  DispatcherHost& local_dispatchers_;
  base::DecisionLog& decisions_;
  FailureDomainId own_failure_domain_;
  std::mt19937_64 random_;
  FallbackShare fallback_;
  std::map<GrantKey, GrantOrigin> grant_origins_;
  std::unordered_map<std::string, std::weak_ptr<Search>> searches_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_PEER_BROKER_H_
