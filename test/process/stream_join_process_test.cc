// Streams of callers while upstreams of two software versions serve.

#include <algorithm>
#include <cstddef>
#include <list>
#include <string>

#include "process/upstream_run.h"
#include "soak/stream_callers.h"

namespace mulberryroad::process {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kStreams = 24;
// In which each stream has some of its events.
constexpr milliseconds kPartTime{900};
constexpr milliseconds kNodesDown{400};
constexpr milliseconds kFinishLimit{14'000};
// A caller that cannot resume learns it within this time.
constexpr milliseconds kRefusalLimit{500};

soak::DeploymentOptions TwoVersions() {
  soak::DeploymentOptions options;
  // Each version keeps a slot for each of its streams while the runs whose node
  // was killed still use theirs.
  options.engines = 8;
  options.services = 0;
  options.engine_software = {"v1", "v2", "v1", "v2", "v1", "v2", "v1", "v2"};
  return options;
}

struct Streams {
  Streams(const std::string& name, soak::DeploymentOptions options)
      : run(name, std::move(options)),
        callers(run.loop(), run.client(), run.deployment(), 1) {
    run.Start();
  }

  void StartAll() {
    for (std::size_t i = 0; i < kStreams; ++i) {
      callers.Start();
      run.RunFor(milliseconds(5));
    }
    run.RunFor(kPartTime);
  }

  void KillAllNodes() {
    run.deployment().Strike(
        {.kind = soak::FaultKind::kKillAllNodes, .lasts = 4 * kNodesDown});
  }

  void Finish() {
    cr_expect(run.Wait(kFinishLimit, [this] { return callers.open() == 0; }),
              "%zu streams are still open", callers.open());
    for (const soak::CalledStream& stream : callers.streams()) {
      cr_expect(!stream.out_of_order, "%s has a missing or repeated event",
                stream.id.c_str());
    }
  }

  UpstreamRun run;
  soak::StreamCallers callers;
};

Test(stream_join, resumption_after_kill_of_all_nodes_joins_two_versions) {
  Streams streams("stream-join-kill", TwoVersions());
  streams.StartAll();
  streams.KillAllNodes();
  streams.Finish();
  cr_expect_eq(streams.callers.joined(), 0, "%d of %zu streams are joined",
               streams.callers.joined(), kStreams);
  cr_expect_geq(streams.callers.resumptions(), 12);
  cr_expect_geq(2 * streams.callers.resumed(), streams.callers.resumptions(),
                "%d of %d resumptions went on", streams.callers.resumed(),
                streams.callers.resumptions());
}

// At the start of the streams the first version is the only one in service.
Test(stream_join, resumption_joins_a_version_that_came_after_its_start) {
  soak::DeploymentOptions options = TwoVersions();
  options.engine_software.assign(options.engines, "v1");
  Streams streams("stream-join-later", options);
  streams.StartAll();
  streams.run.deployment().ReplaceUpstream(1, "v2");
  streams.run.deployment().ReplaceUpstream(3, "v2");
  streams.run.RunFor(milliseconds(300));
  streams.KillAllNodes();
  streams.Finish();
  cr_expect_eq(streams.callers.joined(), 0, "%d of %zu streams are joined",
               streams.callers.joined(), kStreams);
  cr_expect_geq(2 * streams.callers.resumed(), streams.callers.resumptions(),
                "%d of %d resumptions went on", streams.callers.resumed(),
                streams.callers.resumptions());
}

Test(stream_join, resumption_at_a_version_that_is_gone_is_joined) {
  Streams streams("stream-join-gone", TwoVersions());
  streams.StartAll();
  for (const std::size_t engine : {1, 3, 5, 7}) {
    streams.run.deployment().EndUpstream(engine);
  }
  streams.KillAllNodes();
  streams.Finish();
  cr_expect_eq(streams.callers.joined(), 0, "%d of %zu streams are joined",
               streams.callers.joined(), kStreams);
  const bool refused = std::any_of(
      streams.callers.streams().begin(), streams.callers.streams().end(),
      [](const soak::CalledStream& stream) {
        return stream.software.contains("v2") && !stream.complete &&
               !stream.refusals.empty() && stream.refusals.back() == 503 &&
               stream.longest_refusal < kRefusalLimit;
      });
  cr_expect(refused, "a stream of the version that is gone must be refused");
}

Test(stream_join, second_attempt_within_an_answer_joins_two_versions) {
  Streams streams("stream-join-attempt", TwoVersions());
  streams.StartAll();
  streams.run.deployment().EndUpstream(0);
  streams.Finish();
  cr_expect_eq(streams.callers.joined(), 0, "%d of %zu streams are joined",
               streams.callers.joined(), kStreams);
}

}  // namespace
}  // namespace mulberryroad::process
