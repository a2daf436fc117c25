// Hosts the dispatchers of the pools that rendezvous hashing assigns to this
// node.

#ifndef MULBERRYROAD_SRC_DISPATCH_DISPATCHER_HOST_H_
#define MULBERRYROAD_SRC_DISPATCH_DISPATCHER_HOST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/decision_log.h"
#include "base/event_loop.h"
#include "config/configuration.h"
#include "dispatch/scheduler_types.h"
#include "membership/members.h"
#include "mulberryroad/api.pb.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/control.pb.h"
#include "mulberryroad/dispatch.pb.h"
#include "mulberryroad/ids.h"
#include "peer/transport.h"
#include "platform/platform.h"

namespace mulberryroad::dispatch {

/// Starts and stops dispatchers when membership or the declaration changes, and
/// handles the peer requests addressed to them. All methods run on the event
/// loop's thread.
///
/// Dispatchers keep only soft state. After a pool moves to another node, two
/// dispatchers may briefly grant slots of it at the same time; the load that
/// the engines report bounds their combined grants.
class DispatcherHost {
 public:
  DispatcherHost(base::EventLoop& loop, const Clock& clock,
                 peer::Transport& transport, membership::Members& members,
                 config::Configuration& configuration,
                 platform::VmDirectory& directory,
                 platform::EngineControl& engines, base::DecisionLog& decisions,
                 std::uint64_t seed);
  ~DispatcherHost();
  DispatcherHost(const DispatcherHost&) = delete;
  DispatcherHost& operator=(const DispatcherHost&) = delete;

  using OnGrantReply = std::function<void(v1::GrantReply)>;

  /// Requests a slot in the pool given by target and failure_domain.
  /// @param on_reply called exactly once, possibly before Acquire returns, with
  /// a grant or a refusal. Requests for a pool that this node does not host are
  /// refused.
  void Acquire(const v1::GrantRequest& request, OnGrantReply on_reply);
  /// Releases a slot. Ignored if this node does not host the pool.
  void Release(const v1::GrantRelease& release);
  /// Applies a controller's notice that an upstream is leaving or swapping
  /// weights.
  /// @return the upstream's requests in flight; empty if this node does not
  /// host the pool
  v1::UpstreamNoticeReply ApplyNotice(const v1::UpstreamNotice& notice);
  /// Returns the queue length and requests in flight of a pool; is_dispatcher
  /// is false if this node does not host the pool.
  v1::DemandReply Demand(const v1::DemandQuery& query) const;

  /// Returns the status of each hosted pool.
  std::vector<v1::PoolStatus> pools() const;
  /// True if this node hosts the pool's dispatcher.
  bool hosts(const PoolId& pool) const;

 private:
  class Dispatcher;

  void RegisterPeerHandlers();
  void Rebalance();
  void ReleaseDeadEntries();
  Dispatcher* FindDispatcher(const std::string& target,
                             const std::string& failure_domain) const;

  base::EventLoop& loop_;
  const Clock& clock_;
  peer::Transport& transport_;
  membership::Members& members_;
  config::Configuration& configuration_;
  platform::VmDirectory& directory_;
  platform::EngineControl& engines_;
  base::DecisionLog& decisions_;
  std::uint64_t seed_;
  std::map<PoolId, std::shared_ptr<Dispatcher>> dispatchers_;
  sigc::connection members_changed_;
  sigc::connection configuration_changed_;
};

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_DISPATCHER_HOST_H_
