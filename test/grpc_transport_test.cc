// Tests GrpcTransport with immediate, delayed and missing replies, missing
// handlers and unreachable nodes.

#include "peer/grpc_transport.h"

#include <criterion/criterion.h>

#include <vector>

#include "fakes/free_port.h"

namespace mulberryroad::peer {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{2'000};

Endpoint FreeEndpoint() { return {"127.0.0.1", fakes::FreePort()}; }

/// Two transports on one event loop.
struct NodePair {
  base::EventLoop loop;
  Endpoint address = FreeEndpoint();
  GrpcTransport server{loop};
  GrpcTransport client{loop};

  NodePair() {
    cr_assert(server.Listen(address), "cannot listen on %s",
              ToString(address).c_str());
    cr_assert(client.Listen(FreeEndpoint()));
  }

  /// Calls a node and runs the loop until the call ends.
  std::optional<v1::PeerReply> Call(const Endpoint& node, milliseconds timeout,
                                    std::string* reason) {
    v1::PeerRequest request;
    request.mutable_config_fetch()->set_have_revision(7);
    std::optional<v1::PeerReply> answer;
    client.Call(
        node, request, timeout,
        [&](std::optional<v1::PeerReply> reply, const std::string& cause) {
          answer = std::move(reply);
          *reason = cause;
          loop.Stop();
        });
    loop.Run();
    return answer;
  }
};

v1::PeerReply ReplyWith(std::uint64_t revision) {
  v1::PeerReply reply;
  reply.mutable_config_fetch()->mutable_newer()->set_revision(revision);
  return reply;
}

Test(grpc_transport, reply_reaches_the_caller) {
  NodePair nodes;
  nodes.server.Handle(
      v1::PeerRequest::kConfigFetch,
      [](const v1::PeerRequest& request, const ReplyCallback& respond) {
        respond(ReplyWith(request.config_fetch().have_revision() + 1));
      });
  std::string reason;
  const auto reply = nodes.Call(nodes.address, kTimeout, &reason);
  cr_assert(reply.has_value(), "expected a reply, found \"%s\"",
            reason.c_str());
  cr_assert_eq(reply->config_fetch().newer().revision(), 8U);
}

Test(grpc_transport, delayed_reply_is_delivered_and_later_ones_are_ignored) {
  NodePair nodes;
  base::Timer timer;
  nodes.server.Handle(
      v1::PeerRequest::kConfigFetch,
      [&](const v1::PeerRequest&, const ReplyCallback& respond) {
        timer = nodes.loop.After(milliseconds(30), [respond] {
          respond(ReplyWith(1));
          respond(ReplyWith(2));
        });
      });
  std::string reason;
  const auto reply = nodes.Call(nodes.address, kTimeout, &reason);
  cr_assert(reply.has_value(), "expected a reply, found \"%s\"",
            reason.c_str());
  cr_assert_eq(reply->config_fetch().newer().revision(), 1U);
}

Test(grpc_transport, missing_handler_fails_with_a_reason) {
  NodePair nodes;
  std::string reason;
  const auto reply = nodes.Call(nodes.address, kTimeout, &reason);
  cr_assert_not(reply.has_value(), "expected no reply");
  cr_assert_neq(reason.size(), 0U, "expected a reason");
}

Test(grpc_transport, unreachable_node_fails_within_the_timeout) {
  NodePair nodes;
  std::string reason;
  const auto reply = nodes.Call(FreeEndpoint(), milliseconds(500), &reason);
  cr_assert_not(reply.has_value(), "expected no reply");
  cr_assert_neq(reason.size(), 0U, "expected a reason");
}

Test(grpc_transport, call_without_reply_times_out) {
  NodePair nodes;
  std::vector<ReplyCallback> pending_responders;
  nodes.server.Handle(
      v1::PeerRequest::kConfigFetch,
      [&](const v1::PeerRequest&, const ReplyCallback& respond) {
        pending_responders.push_back(respond);
      });
  std::string reason;
  const auto reply = nodes.Call(nodes.address, milliseconds(100), &reason);
  cr_assert_not(reply.has_value(), "expected no reply");
  for (const ReplyCallback& respond : pending_responders) {
    respond(ReplyWith(1));
  }
}

}  // namespace
}  // namespace mulberryroad::peer
