// Tests which requests count as crashing their upstreams.

#include "serving/crash_evidence.h"

#include <criterion/criterion.h>

#include <string>

#include "serving/upstream_caller.h"

namespace mulberryroad::serving {
namespace {

using std::chrono::milliseconds;

Instant At(int millis) {
  return Instant{} + std::chrono::hours(1) + milliseconds(millis);
}

Crash CrashOf(const std::string& upstream, int millis) {
  return {{UpstreamId(upstream), milliseconds(1)}, "n1", At(millis)};
}

Test(crash_evidence, three_crashes_one_after_the_other_count) {
  CrashEvidence evidence;
  evidence.OnConnectionLost("killer", CrashOf("u1", 0));
  evidence.OnConnectionLost("killer", CrashOf("u2", 80));
  evidence.OnConnectionLost("killer", CrashOf("u2", 90));
  cr_assert(!evidence.IsCrashing("killer"), "two upstreams crashed");
  evidence.OnConnectionLost("killer", CrashOf("u3", 160));
  cr_assert(evidence.IsCrashing("killer"));
}

Test(crash_evidence, crashes_seen_by_several_nodes_add_up) {
  CrashEvidence evidence;
  evidence.OnConnectionLost("killer", CrashOf("u1", 0));
  evidence.OnReported("killer", CrashOf("u1", 5));
  evidence.OnReported("killer", CrashOf("u2", 500));
  cr_assert(!evidence.IsCrashing("killer"));
  evidence.OnReported("killer", CrashOf("u3", 900));
  cr_assert(evidence.IsCrashing("killer"));
}

Test(crash_evidence, sound_requests_are_refused_after_a_service_crashed) {
  CrashEvidence evidence;
  constexpr int kRequests = 300;
  constexpr int kUpstreams = 6;
  for (int time = 0; time < 4'000; time += 1'000) {
    for (int i = 0; i < kRequests; ++i) {
      evidence.OnConnectionLost(
          "r" + std::to_string(i),
          CrashOf("u" + std::to_string(i % kUpstreams), time + i % 100));
    }
  }
  for (int i = 0; i < kRequests; ++i) {
    cr_expect(!evidence.IsCrashing("r" + std::to_string(i)), "request %d", i);
  }
  cr_expect(evidence.empty(), "%zu contents are left", evidence.size());
}

Test(crash_evidence, response_clears_a_content) {
  CrashEvidence evidence;
  evidence.OnConnectionLost("popular", CrashOf("u1", 0));
  evidence.OnReported("popular", CrashOf("u2", 1'000));
  const auto withdrawn = evidence.OnAnswered("popular");
  cr_assert_eq(withdrawn.size(), 1);
  evidence.OnConnectionLost("popular", CrashOf("u3", 2'000));
  evidence.OnConnectionLost("popular", CrashOf("u4", 4'000));
  cr_assert(!evidence.IsCrashing("popular"));
}

Test(crash_evidence, two_crashing_contents_do_not_hide_each_other) {
  CrashEvidence evidence;
  for (int i = 0; i < 3; ++i) {
    evidence.OnConnectionLost("a", CrashOf("a" + std::to_string(i), i * 300));
    evidence.OnConnectionLost("b",
                              CrashOf("b" + std::to_string(i), i * 300 + 10));
  }
  cr_assert(evidence.IsCrashing("a"));
  cr_assert(evidence.IsCrashing("b"));
}

Test(crash_evidence, memory_is_bounded) {
  CrashEvidence evidence;
  for (std::size_t i = 0; i < CrashEvidence::kMaxContents + 100; ++i) {
    evidence.OnReported("r" + std::to_string(i),
                        CrashOf("u", static_cast<int>(i)));
  }
  cr_assert_eq(evidence.size(), CrashEvidence::kMaxContents);
  evidence.Expire(At(0) + CrashEvidence::kMaxAge + std::chrono::minutes(1));
  cr_assert(evidence.empty());
}

Test(content_digest, id_does_not_count_but_body_and_caller_do) {
  OutgoingRequest request;
  request.id = RequestId("r1");
  request.host = "h";
  request.target = "/a";
  request.body = "body";
  OutgoingRequest repeat = request;
  repeat.id = RequestId("r2");
  cr_assert(ContentDigest(request) == ContentDigest(repeat));
  OutgoingRequest other_body = request;
  other_body.body = "bodz";
  cr_assert(ContentDigest(request) != ContentDigest(other_body));
  OutgoingRequest other_caller = request;
  other_caller.organisation = OrganisationId("org");
  cr_assert(ContentDigest(request) != ContentDigest(other_caller));
}

}  // namespace
}  // namespace mulberryroad::serving
