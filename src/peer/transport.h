// Calls between nodes. The interface knows nothing of gRPC, so that role code
// can be tested alone.

#ifndef MULBERRYROAD_SRC_PEER_TRANSPORT_H_
#define MULBERRYROAD_SRC_PEER_TRANSPORT_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "mulberryroad/endpoint.h"
#include "mulberryroad/peer.pb.h"

namespace mulberryroad::peer {

/// Receives the answer, or nullopt and the reason why there is none; the call
/// may then have run.
using OnReply = std::function<void(std::optional<v1::PeerReply> reply,
                                   const std::string& reason)>;
/// Answers one call, at once or later. Only the first answer counts.
using Responder = std::function<void(v1::PeerReply)>;
using CallHandler =
    std::function<void(const v1::PeerRequest& request, Responder respond)>;

class Transport {
 public:
  virtual ~Transport() = default;
  /// Calls a node. on_reply runs on the loop, exactly once, never inside Call.
  virtual void Call(const Endpoint& node, v1::PeerRequest request,
                    std::chrono::milliseconds timeout, OnReply on_reply) = 0;
  /// Serves calls of one kind.
  virtual void Handle(v1::PeerRequest::KindCase kind, CallHandler handler) = 0;
};

}  // namespace mulberryroad::peer

#endif  // MULBERRYROAD_SRC_PEER_TRANSPORT_H_
