// Peer calls between several nodes in one process, with cuts and delays.

#ifndef MULBERRYROAD_TEST_FAKES_MEMORY_TRANSPORT_H_
#define MULBERRYROAD_TEST_FAKES_MEMORY_TRANSPORT_H_

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/event_loop.h"
#include "peer/transport.h"

namespace mulberryroad::fakes {

class MemoryTransport;

/// The network that the transports of a test share.
class MemoryNetwork {
 public:
  explicit MemoryNetwork(base::EventLoop& loop) : loop_(loop) {}

  /// Drops all calls between two nodes, or lets them through again.
  void Cut(const Endpoint& a, const Endpoint& b, bool cut) {
    const auto link = std::minmax(a, b);
    if (cut) {
      cuts_.insert(link);
    } else {
      cuts_.erase(link);
    }
  }
  /// Drops all calls of one node.
  void Isolate(const Endpoint& node, bool isolated) {
    if (isolated) {
      isolated_.insert(node);
    } else {
      isolated_.erase(node);
    }
  }
  /// Delays every call on its way.
  void SetDelay(std::chrono::milliseconds delay) { delay_ = delay; }

 private:
  friend class MemoryTransport;

  bool Connected(const Endpoint& a, const Endpoint& b) const {
    return !isolated_.contains(a) && !isolated_.contains(b) &&
           !cuts_.contains(std::minmax(a, b));
  }

  void Later(std::chrono::milliseconds delay, std::function<void()> run) {
    const auto timer = std::make_shared<base::Timer>();
    timers_.push_back(timer);
    *timer = loop_.After(delay, [this, key = timer.get(), run] {
      std::erase_if(timers_, [key](const auto& t) { return t.get() == key; });
      run();
    });
  }

  base::EventLoop& loop_;
  std::map<Endpoint, MemoryTransport*> nodes_;
  std::set<std::pair<Endpoint, Endpoint>> cuts_;
  std::set<Endpoint> isolated_;
  std::vector<std::shared_ptr<base::Timer>> timers_;
  std::chrono::milliseconds delay_{0};
};

/// One node's end of a MemoryNetwork.
class MemoryTransport final : public peer::Transport {
 public:
  MemoryTransport(MemoryNetwork& network, Endpoint self)
      : network_(network), self_(std::move(self)) {
    network_.nodes_[self_] = this;
  }
  ~MemoryTransport() override { network_.nodes_.erase(self_); }
  MemoryTransport(const MemoryTransport&) = delete;
  MemoryTransport& operator=(const MemoryTransport&) = delete;

  void Call(const Endpoint& node, v1::PeerRequest request,
            std::chrono::milliseconds timeout,
            peer::OnReply on_reply) override {
    const auto reply = std::make_shared<peer::OnReply>(std::move(on_reply));
    network_.Later(timeout, [reply] {
      if (const peer::OnReply done = std::exchange(*reply, nullptr)) {
        done(std::nullopt, "the call timed out");
      }
    });
    MemoryNetwork* network = &network_;
    network_.Later(network_.delay_, [network, from = self_, node, request,
                                     reply] {
      const auto target = network->nodes_.find(node);
      if (target != network->nodes_.end() && network->Connected(from, node)) {
        target->second->Deliver(from, request, reply);
      }
    });
  }

  void Handle(v1::PeerRequest::KindCase kind,
              peer::CallHandler handler) override {
    handlers_[kind] = std::move(handler);
  }

 private:
  void Deliver(const Endpoint& from, const v1::PeerRequest& request,
               const std::shared_ptr<peer::OnReply>& reply) {
    const auto handler = handlers_.find(request.kind_case());
    if (handler == handlers_.end()) {
      return;
    }
    MemoryNetwork* network = &network_;
    handler->second(
        request, [network, from, self = self_, reply](v1::PeerReply answer) {
          network->Later(network->delay_, [network, from, self, reply, answer] {
            if (!network->Connected(from, self)) {
              return;
            }
            if (const peer::OnReply done = std::exchange(*reply, nullptr)) {
              done(answer, "");
            }
          });
        });
  }

  MemoryNetwork& network_;
  Endpoint self_;
  std::map<v1::PeerRequest::KindCase, peer::CallHandler> handlers_;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_MEMORY_TRANSPORT_H_
