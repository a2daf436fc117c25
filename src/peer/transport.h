// Interface for calls between nodes. Independent of gRPC, so that its users can
// be tested without a network.

#ifndef MULBERRYROAD_SRC_PEER_TRANSPORT_H_
#define MULBERRYROAD_SRC_PEER_TRANSPORT_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "mulberryroad/endpoint.h"
#include "mulberryroad/peer.pb.h"

namespace mulberryroad::peer {

/// Receives the reply, or nullopt and an error message. A failed call may have
/// been executed.
using OnReply = std::function<void(std::optional<v1::PeerReply> reply,
                                   const std::string& reason)>;
/// Sends the reply to a call, immediately or later. Replies after the first are
/// ignored.
using ReplyCallback = std::function<void(v1::PeerReply)>;
using CallHandler =
    std::function<void(const v1::PeerRequest& request, ReplyCallback respond)>;

/// Sends calls to other nodes and serves theirs. Belongs to the event loop's
/// thread.
class Transport {
 public:
  virtual ~Transport() = default;
  /// Calls a node. on_reply runs exactly once, on the event loop's thread and
  /// never before Call returns.
  virtual void Call(const Endpoint& node, v1::PeerRequest request,
                    std::chrono::milliseconds timeout, OnReply on_reply) = 0;
  /// Sets the handler for calls of one kind.
  virtual void Handle(v1::PeerRequest::KindCase kind, CallHandler handler) = 0;
};

}  // namespace mulberryroad::peer

#endif  // MULBERRYROAD_SRC_PEER_TRANSPORT_H_
