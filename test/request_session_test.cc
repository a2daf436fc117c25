// Tests request sessions against failing upstreams.

#include "serving/request_session.h"

#include <list>

#include "fakes/serving_fixture.h"

namespace mulberryroad::serving {
namespace {

using fakes::ReceivedRequest;
using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kServerError = 500;

/// A server that starts a session for each request.
struct Fixture : fakes::ServingFixture {
  std::list<base::Timer> work;

  Fixture() {
    server.SetFallbackHandler(
        [this](const std::shared_ptr<http::Exchange>& exchange) {
          SessionRequest request;
          request.service = TargetId("desk");
          request.kind = RouteKind::kNonIdempotent;
          request.max_attempts = 3;
          request.deadline = clock.now() + milliseconds(2'000);
          request.target_latency = milliseconds(1'000);
          std::make_shared<RequestSession>(context, exchange,
                                           std::move(request))
              ->Start();
        });
  }

  /// Sends a request and waits for its response.
  /// @return the status
  int PostReport() { return Post("/report", {}, "").status; }

  /// Completes a request successfully after a delay.
  void CompleteAfter(ReceivedRequest& received, milliseconds time) {
    work.push_back(loop.After(time, [&received] {
      received.done(CompleteResponse{kOk, {}, "done"});
    }));
  }
};

// A failing upstream answers faster than healthy ones and so looks the least
// loaded; without ejection it would attract most requests. The upstream in the
// callers' failure domain answers 500 at once, the others succeed after 5 ms.
Test(request_session, upstream_that_fails_fast_is_ejected) {
  Fixture fixture;
  fixture.directory.Put(fakes::MakeUpstream("failing", "desk", "d1"));
  fixture.directory.Put(fakes::MakeUpstream("healthy-1", "desk", "d2"));
  fixture.directory.Put(fakes::MakeUpstream("healthy-2", "desk", "d3"));
  fixture.upstreams.script = [&fixture](ReceivedRequest& received) {
    if (received.upstream == UpstreamId("failing")) {
      received.done(CompleteResponse{kServerError, {}, "broken"});
    } else {
      fixture.CompleteAfter(received, milliseconds(5));
    }
  };
  constexpr int kRequests = 60;
  int failed = 0;
  for (int i = 0; i < kRequests; ++i) {
    failed += fixture.PostReport() == kServerError ? 1 : 0;
  }
  // Three failures eject the upstream; the test ends before its first trial.
  cr_assert_leq(failed, 3, "%d of %d callers got a failure", failed, kRequests);
}

}  // namespace
}  // namespace mulberryroad::serving
