// Tests the choice of peers and the encoding of forwarded requests.

#include <criterion/criterion.h>

#include <map>
#include <random>

#include "fakes/fake_upstreams.h"
#include "node/forward_codec.h"
#include "node/peer_pool.h"

namespace mulberryroad::node {
namespace {

using serving::CompleteResponse;
using serving::MayHaveRun;
using serving::NotRun;
using serving::UpstreamOutcome;
using std::chrono::milliseconds;

Endpoint Peer(std::uint16_t number) { return {"10.0.0.1", number}; }

Test(peer_pool, load_spreads_and_refusing_peers_rest) {
  PeerPool pool;
  pool.SetPeers({Peer(1), Peer(2), Peer(3), Peer(4)});
  std::mt19937_64 random{1};
  std::map<Endpoint, int> sent;
  pool.OnRefused(Peer(4), Instant{});
  for (int i = 0; i < 90; ++i) {
    const auto peer = pool.Choose({}, Instant{}, random);
    cr_assert(peer.has_value());
    pool.OnSent(*peer);
    ++sent[*peer];
  }
  cr_expect_eq(sent.count(Peer(4)), 0);
  for (std::uint16_t i = 1; i <= 3; ++i) {
    cr_expect_geq(sent[Peer(i)], 25);
  }
  const Instant later = Instant{} + PeerPool::kRefusedTime;
  cr_expect(pool.Choose({Peer(1), Peer(2), Peer(3)}, later, random) == Peer(4));
  cr_expect(!pool.Choose({Peer(1), Peer(2), Peer(3), Peer(4)}, later, random)
                 .has_value());
}

Test(peer_pool, peer_has_a_limit) {
  PeerPool pool;
  pool.SetPeers({Peer(1)});
  std::mt19937_64 random{1};
  for (std::size_t i = 0; i < PeerPool::kMaxInFlight; ++i) {
    cr_assert(pool.Choose({}, Instant{}, random).has_value());
    pool.OnSent(Peer(1));
  }
  cr_expect(!pool.Choose({}, Instant{}, random).has_value());
  pool.OnEnded(Peer(1));
  cr_expect(pool.Choose({}, Instant{}, random).has_value());
}

Test(forward_codec, request_arrives_unchanged) {
  serving::OutgoingRequest request;
  request.id = RequestId("r1");
  request.method = http::Method::kDelete;
  request.host = "host";
  request.target = "/a?b=c";
  request.headers = {{"Model", "m"}, {"Resumes", "r0"}};
  request.body = std::string("a\0b", 3);
  request.organisation = OrganisationId("org");
  serving::CallOptions options;
  options.resume_after = "7";
  options.version = 3;
  const auto encoded = EncodeForward(fakes::MakeUpstream("u1", "desk"), request,
                                     options, milliseconds(1'500));
  const auto decoded = DecodeForward(encoded);
  cr_assert(decoded.has_value());
  cr_expect(decoded->id == request.id);
  cr_expect(decoded->method == request.method);
  cr_expect(decoded->target == request.target);
  cr_expect(decoded->body == request.body);
  cr_expect(decoded->organisation == request.organisation);
  cr_assert_eq(decoded->headers.size(), 2);
  cr_expect(decoded->headers[1].value == "r0");
  cr_expect_eq(encoded.deadline_ms(), 1'500);
  cr_expect(encoded.resume_after() == "7");
  cr_expect(!encoded.stream());
}

Test(forward_codec, verdict_arrives_unchanged) {
  const auto pass = [](const UpstreamOutcome& outcome) {
    return DecodeOutcome(EncodeOutcome(outcome).outcome());
  };
  const auto full = std::get<NotRun>(pass(NotRun{"full", true}));
  cr_expect(full.full && !full.unreachable);
  const auto lost = std::get<NotRun>(pass(NotRun{"lost", false, true}));
  cr_expect(!lost.full && lost.unreachable);
  cr_expect(std::get<MayHaveRun>(pass(MayHaveRun{"x", true})).connection_lost);
  const auto whole = std::get<CompleteResponse>(
      pass(CompleteResponse{422, {{"A", "b"}}, "body", "seal"}));
  cr_expect_eq(whole.status, 422);
  cr_expect(whole.body == "body" && whole.signature == "seal");
}

// Guards against the answers that a peer of an earlier release passes on.
Test(forward_codec, promise_of_an_upstream_that_ran_the_request_is_passed_on) {
  for (const int status : {408, 421, 429, 503}) {
    const UpstreamOutcome outcome = DecodeOutcome(
        EncodeOutcome(CompleteResponse{status, {}, "no", "seal"}).outcome());
    cr_expect(std::holds_alternative<MayHaveRun>(outcome), "%d", status);
  }
}

Test(forward_codec, frames_are_split_wherever_the_bytes_break) {
  const std::string bytes = Serialize(EncodeEvent({"b", "1", "d", 2})) +
                            Serialize(EncodeOutcome(NotRun{"r"}));
  FrameReader reader;
  std::vector<v1::ForwardFrame> frames;
  for (const char byte : bytes) {
    cr_assert(reader.Feed(std::string_view(&byte, 1), &frames));
  }
  cr_assert_eq(frames.size(), 2);
  cr_expect(frames[0].has_event() && frames[0].event().version() == 2);
  cr_expect(frames[1].has_outcome());
}

Test(forward_codec, endless_frame_is_rejected) {
  FrameReader reader;
  std::vector<v1::ForwardFrame> frames;
  cr_expect(!reader.Feed("\x7f\xff\xff\xff", &frames));
}

}  // namespace
}  // namespace mulberryroad::node
