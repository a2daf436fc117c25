// Runs the scheduler of one pool on the event loop: polls the VM list and the
// engines, holds the reply callbacks of queued requests and writes decisions to
// the decision log.

#ifndef MULBERRYROAD_SRC_DISPATCH_DISPATCHER_H_
#define MULBERRYROAD_SRC_DISPATCH_DISPATCHER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/decision_log.h"
#include "base/event_loop.h"
#include "config/configuration.h"
#include "dispatch/dispatcher_host.h"
#include "dispatch/pool_scheduler.h"
#include "platform/platform.h"

namespace mulberryroad::dispatch {

class DispatcherHost::Dispatcher final
    : public std::enable_shared_from_this<Dispatcher> {
 public:
  Dispatcher(DispatcherHost& host, PoolId pool);

  /// Starts polling. Must be called once, on an object owned by a shared_ptr.
  void Start();
  /// Stops polling and refuses all queued requests. No reply callback runs
  /// after Stop has returned.
  void Stop();
  /// Applies organisation weights and target type from the current declaration.
  void ApplyDeclaration();

  void Acquire(const v1::GrantRequest& request, OnGrantReply on_reply);
  void Release(const v1::GrantRelease& release);
  /// Releases all grants of an entry node that has failed.
  void ReleaseEntry(const NodeId& entry);
  v1::UpstreamNoticeReply ApplyNotice(const v1::UpstreamNotice& notice);
  v1::PoolStatus status() const;
  v1::DemandReply demand() const { return scheduler_.demand(); }

 private:
  /// Polling state of one engine.
  struct PolledEngine {
    UpstreamId id;
    Endpoint endpoint;
    std::uint64_t next_cache_event = 0;
    bool load_pending = false;
    bool cache_events_pending = false;
  };

  void PollVmList();
  void PollEngines();
  void PollLoad(PolledEngine* engine);
  void PollCacheEvents(PolledEngine* engine);
  void ApplyVmList(const v1::VmList& list);
  void UpdatePolledEngines(const v1::VmList& list);
  UpstreamSpec ToUpstreamSpec(const v1::Vm& vm) const;
  /// Runs the scheduler, delivers its decisions and rearms the wakeup timer.
  void RunScheduler();
  void SetWakeupTimer();
  void DeliverDecision(const ScheduledDecision& decision);
  void WriteGrant(const v1::GrantRequest& request, const Granted& granted);
  void WriteRefusal(const v1::GrantRequest& request, const Refused& refused);

  DispatcherHost& host_;
  PoolId pool_;
  PoolScheduler scheduler_;
  std::unordered_map<Ticket, OnGrantReply> pending_replies_;
  std::map<UpstreamId, PolledEngine> polled_engines_;
  UpstreamId last_polled_engine_;
  bool is_model_ = false;
  bool vm_list_pending_ = false;
  bool stopped_ = false;
  base::Timer vm_list_timer_;
  base::Timer engine_timer_;
  base::Timer wakeup_timer_;
};

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_DISPATCHER_H_
