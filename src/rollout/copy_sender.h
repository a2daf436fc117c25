// Replicates the state of one owned batch to its copy node.

#ifndef MULBERRYROAD_SRC_ROLLOUT_COPY_SENDER_H_
#define MULBERRYROAD_SRC_ROLLOUT_COPY_SENDER_H_

#include <sigc++/signal.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "base/event_loop.h"
#include "mulberryroad/ids.h"
#include "rollout/services.h"

namespace mulberryroad::rollout {

/// Sends updates of a batch to its copy node, one request at a time. Changes
/// that arrive while a request is in flight are batched into the next one. A
/// request without a reply is retried.
class CopySender : public std::enable_shared_from_this<CopySender> {
 public:
  CopySender(const Services& services, BatchId batch);

  /// Starts a lease term: chooses the copy node. The first request carries the
  /// specification.
  void Start(std::uint64_t epoch, const v1::BatchSpec& spec);
  /// Queues a finished sample and sends it as soon as no request is in flight.
  void Add(CopySample sample);
  /// Sends the acknowledged cursor. The callback runs once the copy node has
  /// stored it, or once no other node is eligible.
  void SendAcknowledged(std::uint64_t cursor, std::function<void()> on_stored);
  /// Notifies the copy node that the batch is closed and stops sending. The
  /// notification is not retried.
  void Close();
  /// Replaces a copy node that is no longer eligible and sends queued updates.
  void Flush();
  /// Stops sending until the next Start.
  void Stop() { stopped_ = true; }

  /// Returns the copy node, or an empty id if no other node is eligible.
  const NodeId& copy_node() const { return copy_node_; }
  /// Returns true if the copy node has stored the specification and all
  /// updates, or if there is no copy node and nothing is queued.
  bool up_to_date() const;

  /// Emitted with the samples that the copy node has stored, or with all queued
  /// samples if no other node is eligible.
  sigc::signal<void(const std::vector<SampleKey>&)>& copied() {
    return copied_;
  }
  /// Emitted when the copy node changes within a lease term. The queued samples
  /// have been discarded; the receiver must add all finished samples again.
  sigc::signal<void()>& copy_node_changed() { return copy_node_changed_; }
  /// Emitted if the copy node rejects an update because it has seen a higher
  /// epoch.
  sigc::signal<void()>& superseded() { return superseded_; }

 private:
  bool ChooseNode();
  void Send(const Endpoint& endpoint);
  void OnReply(std::size_t samples, std::size_t callbacks, bool with_spec,
               const std::optional<v1::PeerReply>& reply);
  void CompleteUpdates(std::size_t samples, std::size_t callbacks);

  const Services& services_;
  BatchId batch_;
  std::uint64_t epoch_ = 0;
  v1::BatchSpec spec_;
  NodeId copy_node_;
  bool spec_copied_ = false;
  bool in_flight_ = false;
  bool stopped_ = true;
  std::deque<CopySample> samples_;
  std::uint64_t acknowledged_ = 0;
  std::deque<std::function<void()>> on_stored_;
  base::Timer retry_;
  sigc::signal<void(const std::vector<SampleKey>&)> copied_;
  sigc::signal<void()> copy_node_changed_;
  sigc::signal<void()> superseded_;
};

}  // namespace mulberryroad::rollout

#endif  // MULBERRYROAD_SRC_ROLLOUT_COPY_SENDER_H_
