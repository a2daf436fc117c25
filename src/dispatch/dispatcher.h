// Shell around the scheduler of one pool: polls the VM list and the engines,
// keeps the callers that wait, and writes the decisions.

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

  void Start();
  /// Refuses all that wait. There is no call back afterwards.
  void Stop();
  /// Takes weights, classes and prices from the declaration in force.
  void Configure();

  void Acquire(const v1::GrantRequest& request, OnGrantReply on_reply);
  void Release(const v1::GrantRelease& release);
  void ReleaseEntry(const NodeId& entry);
  v1::UpstreamNoticeReply Notice(const v1::UpstreamNotice& notice);
  v1::PoolStatus status() const;
  v1::DemandReply demand() const { return scheduler_.demand(); }

 private:
  /// One upstream to poll.
  struct Polled {
    UpstreamId id;
    Endpoint endpoint;
    std::uint64_t next_cache_event = 0;
    bool waiting_for_load = false;
    bool waiting_for_events = false;
  };

  void PollDirectory();
  void PollEngines();
  void PollLoad(Polled* polled);
  void PollEvents(Polled* polled);
  void TakeList(const v1::VmList& list);
  void KeepPolled(const v1::VmList& list);
  UpstreamSpec SpecOf(const v1::Vm& vm) const;
  /// Passes the scheduler's decisions on and sets the next timer.
  void Pump();
  void SetTimer();
  void Answer(const ScheduledDecision& decision);
  void WriteGrant(const v1::GrantRequest& request, const Granted& granted);
  void WriteRefusal(const v1::GrantRequest& request, const Refused& refused);

  DispatcherHost& host_;
  PoolId pool_;
  PoolScheduler scheduler_;
  std::unordered_map<Ticket, OnGrantReply> waiting_;
  std::map<UpstreamId, Polled> polled_;
  UpstreamId last_polled_;
  bool is_model_ = false;
  bool listing_ = false;
  bool stopped_ = false;
  base::Timer directory_timer_;
  base::Timer engine_timer_;
  base::Timer wakeup_timer_;
};

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_DISPATCHER_H_
