// Transport over gRPC. A polling thread reads the completion queue and posts
// its events to the event loop.

#ifndef MULBERRYROAD_SRC_PEER_GRPC_TRANSPORT_H_
#define MULBERRYROAD_SRC_PEER_GRPC_TRANSPORT_H_

#include <memory>

#include "base/event_loop.h"
#include "peer/transport.h"

namespace mulberryroad::peer {

class GrpcTransport final : public Transport {
 public:
  explicit GrpcTransport(base::EventLoop& loop);
  ~GrpcTransport() override;
  GrpcTransport(const GrpcTransport&) = delete;
  GrpcTransport& operator=(const GrpcTransport&) = delete;

  /// Starts to serve calls. Required before Call.
  /// @return false if the address is in use
  bool Listen(const Endpoint& endpoint);
  /// Closes the channel to a node that left the cluster.
  void CloseChannel(const Endpoint& node);

  void Call(const Endpoint& node, v1::PeerRequest request,
            std::chrono::milliseconds timeout, OnReply on_reply) override;
  void Handle(v1::PeerRequest::KindCase kind, CallHandler handler) override;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace mulberryroad::peer

#endif  // MULBERRYROAD_SRC_PEER_GRPC_TRANSPORT_H_
