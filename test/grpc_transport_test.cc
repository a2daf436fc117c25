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
struct Pair {
  base::EventLoop loop;
  Endpoint address = FreeEndpoint();
  GrpcTransport server{loop};
  GrpcTransport client{loop};

  Pair() {
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

Test(grpc_transport, answer_reaches_the_caller) {
  Pair pair;
  pair.server.Handle(
      v1::PeerRequest::kConfigFetch,
      [](const v1::PeerRequest& request, const Responder& respond) {
        respond(ReplyWith(request.config_fetch().have_revision() + 1));
      });
  std::string reason;
  const auto reply = pair.Call(pair.address, kTimeout, &reason);
  cr_assert(reply.has_value(), "expected a reply, found \"%s\"",
            reason.c_str());
  cr_assert_eq(reply->config_fetch().newer().revision(), 8U);
}

Test(grpc_transport, answer_may_come_later_and_only_the_first_counts) {
  Pair pair;
  base::Timer timer;
  pair.server.Handle(v1::PeerRequest::kConfigFetch,
                     [&](const v1::PeerRequest&, const Responder& respond) {
                       timer = pair.loop.After(milliseconds(30), [respond] {
                         respond(ReplyWith(1));
                         respond(ReplyWith(2));
                       });
                     });
  std::string reason;
  const auto reply = pair.Call(pair.address, kTimeout, &reason);
  cr_assert(reply.has_value(), "expected a reply, found \"%s\"",
            reason.c_str());
  cr_assert_eq(reply->config_fetch().newer().revision(), 1U);
}

Test(grpc_transport, missing_handler_is_a_failure_with_a_reason) {
  Pair pair;
  std::string reason;
  const auto reply = pair.Call(pair.address, kTimeout, &reason);
  cr_assert_not(reply.has_value(), "expected no reply");
  cr_assert_neq(reason.size(), 0U, "expected a reason");
}

Test(grpc_transport, absent_node_fails_within_the_timeout) {
  Pair pair;
  std::string reason;
  const auto reply = pair.Call(FreeEndpoint(), milliseconds(500), &reason);
  cr_assert_not(reply.has_value(), "expected no reply");
  cr_assert_neq(reason.size(), 0U, "expected a reason");
}

Test(grpc_transport, silent_handler_times_out) {
  Pair pair;
  std::vector<Responder> held;
  pair.server.Handle(v1::PeerRequest::kConfigFetch,
                     [&](const v1::PeerRequest&, const Responder& respond) {
                       held.push_back(respond);
                     });
  std::string reason;
  const auto reply = pair.Call(pair.address, milliseconds(100), &reason);
  cr_assert_not(reply.has_value(), "expected no reply");
  for (const Responder& respond : held) {
    respond(ReplyWith(1));
  }
}

}  // namespace
}  // namespace mulberryroad::peer
