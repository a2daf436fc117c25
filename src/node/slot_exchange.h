// Exchanges the counts of slots in use with the other nodes that run items.

#ifndef MULBERRYROAD_SRC_NODE_SLOT_EXCHANGE_H_
#define MULBERRYROAD_SRC_NODE_SLOT_EXCHANGE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/event_loop.h"
#include "base/metrics.h"
#include "base/structured_log.h"
#include "batches/shared_slots.h"
#include "http/client.h"
#include "http/server.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/endpoint.h"
#include "mulberryroad/slots.pb.h"
#include "serving/other_nodes_load.h"
#include "serving/upstreams.h"

namespace mulberryroad::node {

/// Sends nothing while this node has no runs and no waiting items, or while
/// there is no other owner. Runs on the event loop thread.
class SlotExchange final : public serving::OtherNodesLoad {
 public:
  /// @param loads load of the items, to which the counts of other nodes are
  ///     added
  /// @param process unique name of the process
  /// @param own_address address for other nodes; nullopt if it has none
  /// @param waiting returns the number of items that wait for an upstream
  SlotExchange(base::EventLoop& loop, const Clock& clock,
               base::StructuredLog& log, base::Metrics& metrics,
               http::Client& client,
               const serving::UpstreamDirectory& directory,
               serving::UpstreamLoads& loads, std::string process,
               std::optional<Endpoint> own_address,
               std::function<std::size_t()> waiting);
  ~SlotExchange() override;
  SlotExchange(const SlotExchange&) = delete;
  SlotExchange& operator=(const SlotExchange&) = delete;

  /// Receives the reports of other nodes on this server.
  void Register(http::Server& server);
  /// Sets the addresses of the nodes that own batch partitions and removes old
  /// reports. Call once a second.
  void Update(std::set<Endpoint> owners);

  std::uint32_t running(const UpstreamId& id, Instant now) const override;
  bool present(Instant now) const override { return reported_.present(now); }
  std::uint32_t unreported(const UpstreamId& id, Instant now) const override;
  bool OnHeld(const TargetId& service, Instant now) override;
  void OnNotHeld(const TargetId& service) override;
  void OnRequestSent(const UpstreamId& id, Instant now) override;
  void OnRequestEnded(const UpstreamId& id) override;
  void OnAccepted(const UpstreamId& id, Instant now) override;
  void OnRefused(const UpstreamId& id, Instant now) override;

  /// Timeout of a report: a round trip with 300 ms each way. With the refresh
  /// interval it is about the maximum age of a count.
  static constexpr std::chrono::milliseconds kReportTimeout{600};

 private:
  bool active() const { return !own_.empty() || waiting_() > 0; }
  void OnOwnLoadChanged(const UpstreamId& id);
  /// Sends the reports that are due once the current pass has ended.
  void PostSend();
  void SendDue();
  void Send(const Endpoint& peer);
  void OnResult(const Endpoint& peer, const http::Result& result);
  v1::SlotReport MakeReport();
  void RecordReport(const v1::SlotReport& report);
  void RecordCounts(const v1::NodeSlots& counts);
  void ReplyToPeer(const std::shared_ptr<http::Exchange>& exchange);

  base::EventLoop& loop_;
  const Clock& clock_;
  base::StructuredLog& log_;
  base::Metrics& metrics_;
  http::Client& client_;
  const serving::UpstreamDirectory& directory_;
  serving::UpstreamLoads& loads_;
  std::string process_;
  std::optional<Endpoint> own_address_;
  std::function<std::size_t()> waiting_;
  batches::ReportedSlots reported_;
  batches::ReportSchedule schedule_;
  batches::HoldLimit hold_;
  batches::UnreportedStarts starts_;
  /// Runs of this node by upstream, without those that have none.
  std::map<UpstreamId, std::uint32_t> own_;
  std::uint64_t last_sequence_ = 0;
  /// Whether the counts have changed since the last call of OnChanged().
  bool changed_ = false;
  bool send_posted_ = false;
  /// Activity passed to the last call of OnChanged().
  bool scheduled_active_ = false;
  base::Timer send_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_SLOT_EXCHANGE_H_
