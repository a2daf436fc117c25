// Forwards requests of peers that lost their links to upstreams.

#ifndef MULBERRYROAD_SRC_NODE_FORWARD_SERVER_H_
#define MULBERRYROAD_SRC_NODE_FORWARD_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "base/metrics.h"
#include "base/structured_log.h"
#include "http/server.h"
#include "mulberryroad/clock.h"
#include "node/forwarding_caller.h"
#include "serving/upstream_statements.h"
#include "serving/upstreams.h"

namespace mulberryroad::node {

/// Sends each request to the upstream that the peer chose, once, over this
/// node's own link. The peer has authenticated the caller and keeps the rules
/// of its route. Runs on the event loop thread.
class ForwardServer {
 public:
  /// @param stopping returns whether the node takes no new requests: it stops,
  ///     or has not read the operator's records yet
  ForwardServer(const Clock& clock, base::StructuredLog& log,
                base::Metrics& metrics, ForwardingCaller& caller,
                const serving::UpstreamDirectory& directory,
                const serving::UpstreamStatements& statements,
                std::function<bool()> stopping);
  ForwardServer(const ForwardServer&) = delete;
  ForwardServer& operator=(const ForwardServer&) = delete;

  /// Serves the requests of peers on this server.
  void Register(http::Server& server);
  /// Returns the number of requests in flight.
  std::size_t open() const { return *open_; }

  /// Maximum number of requests in flight for all peers. Further ones are
  /// refused, so that this node keeps serving its own callers.
  static constexpr std::size_t kMaxOpen = 256;

 private:
  class Session;

  void Forward(const std::shared_ptr<http::Exchange>& exchange);

  const Clock& clock_;
  base::StructuredLog& log_;
  base::Metrics& metrics_;
  ForwardingCaller& caller_;
  const serving::UpstreamDirectory& directory_;
  const serving::UpstreamStatements& statements_;
  std::function<bool()> stopping_;
  std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_FORWARD_SERVER_H_
