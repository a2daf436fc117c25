// Hosts the dispatchers of the pools that rendezvous hashing gives this node.

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

/// The state of a dispatcher is soft: after a change of its node, two may grant
/// for a moment, and the engine's reported load bounds what they grant
/// together.
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

  /// Serves a request for a slot of the pool that it names; a pool that this
  /// node does not host is refused. Calls back exactly once.
  void Acquire(const v1::GrantRequest& request, OnGrantReply on_reply);
  /// Takes a slot back.
  void Release(const v1::GrantRelease& release);
  v1::UpstreamNoticeReply Notice(const v1::UpstreamNotice& notice);
  v1::DemandReply Demand(const v1::DemandQuery& query) const;

  /// Returns the state of the hosted pools.
  std::vector<v1::PoolStatus> pools() const;
  /// True if this node hosts the pool's dispatcher.
  bool hosts(const PoolId& pool) const;

 private:
  class Dispatcher;

  void ServePeers();
  void Rebalance();
  void ForgetDeadEntries();
  Dispatcher* Find(const std::string& target,
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
