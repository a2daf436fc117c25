// Keeps the copies of one owned batch at another node up to date.

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

/// Sends one copy at a time; what comes up meanwhile shares the next one.
class CopySender : public std::enable_shared_from_this<CopySender> {
 public:
  CopySender(const Services& services, BatchId batch);

  /// Starts a term: chooses the copy node, which gets the specification first.
  void Start(std::uint64_t epoch, const v1::BatchSpec& spec);
  /// Sends a finished sample.
  void Add(CopySample sample);
  /// Sends the acknowledged cursor, then calls back.
  void Acknowledged(std::uint64_t cursor, std::function<void()> on_kept);
  /// Tells the copy node that the batch is over, once.
  void Close();
  /// Looks whether the copy node is still eligible and sends what waits.
  void Flush();
  /// Ends all sending.
  void Stop() { stopped_ = true; }

  /// Returns the copy node; empty if this node is alone.
  const NodeId& copy_node() const { return copy_node_; }
  /// True once the specification and all that was added is at the copy node.
  bool settled() const;

  /// Emitted with the samples that the copy node has.
  sigc::signal<void(const std::vector<SampleKey>&)>& copied() {
    return copied_;
  }
  /// Emitted when another copy node was chosen within a term. It has nothing
  /// yet, and what waited is no longer queued.
  sigc::signal<void()>& moved() { return moved_; }
  /// Emitted if the copy node knows a later owner.
  sigc::signal<void()>& deposed() { return deposed_; }

 private:
  bool ChooseNode();
  void Send(const Endpoint& endpoint);
  void OnReply(std::size_t samples, std::size_t callbacks, bool with_spec,
               const std::optional<v1::PeerReply>& reply);
  void Settle(std::size_t samples, std::size_t callbacks);

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
  std::deque<std::function<void()>> on_kept_;
  base::Timer retry_;
  sigc::signal<void(const std::vector<SampleKey>&)> copied_;
  sigc::signal<void()> moved_;
  sigc::signal<void()> deposed_;
};

}  // namespace mulberryroad::rollout

#endif  // MULBERRYROAD_SRC_ROLLOUT_COPY_SENDER_H_
