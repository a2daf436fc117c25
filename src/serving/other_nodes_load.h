// Load of upstreams by other nodes.

#ifndef MULBERRYROAD_SRC_SERVING_OTHER_NODES_LOAD_H_
#define MULBERRYROAD_SRC_SERVING_OTHER_NODES_LOAD_H_

#include <cstdint>

#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::serving {

/// What other nodes report about their requests at upstreams, and the receiver
/// of this node's own changes. Used on the event loop's thread.
class OtherNodesLoad {
 public:
  OtherNodesLoad() = default;
  OtherNodesLoad(const OtherNodesLoad&) = delete;
  OtherNodesLoad& operator=(const OtherNodesLoad&) = delete;
  virtual ~OtherNodesLoad() = default;

  /// Returns the requests of other nodes at the upstream by their current
  /// reports; 0 without reports.
  virtual std::uint32_t running(const UpstreamId& id, Instant now) const = 0;
  /// Returns whether any other node reports requests.
  virtual bool present(Instant now) const = 0;
  /// Returns the latest requests of this node at the upstream, which other
  /// nodes may not know of yet; 0 if no other node reports requests.
  virtual std::uint32_t unreported(const UpstreamId& id, Instant now) const = 0;
  /// Records that all upstreams of a service are full, some of them only by the
  /// counts of other nodes.
  /// @return true if one request should be sent in spite of these counts
  virtual bool OnHeld(const TargetId& service, Instant now) = 0;
  /// Records that an upstream of the service has a free slot, or that all are
  /// full by the counts of this node.
  virtual void OnNotHeld(const TargetId& service) = 0;

  virtual void OnRequestSent(const UpstreamId& id, Instant now) = 0;
  virtual void OnRequestEnded(const UpstreamId& id) = 0;
  virtual void OnAccepted(const UpstreamId& id, Instant now) = 0;
  virtual void OnRefused(const UpstreamId& id, Instant now) = 0;
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_OTHER_NODES_LOAD_H_
