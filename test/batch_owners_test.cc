// Tests of the assignment of batch partitions to nodes.

#include <criterion/criterion.h>

#include <random>

#include "base/metrics.h"
#include "base/structured_log.h"
#include "batches/batch_host.h"
#include "fakes/fake_permits.h"
#include "fakes/fake_upstreams.h"
#include "fakes/loop_wait.h"
#include "fakes/memory_store.h"

namespace mulberryroad::batches {
namespace {

using std::chrono::milliseconds;

struct Cluster {
  base::EventLoop loop;
  SystemClock clock;
  base::StructuredLog log{clock, NodeId("n1")};
  base::Metrics metrics;
  fakes::MemoryStore store{loop};
  fakes::FakeUpstreams upstreams{loop};
  serving::Catalog catalog;
  serving::UpstreamDirectory directory;
  serving::UpstreamStatements statements;
  serving::UpstreamLoads loads{statements};
  serving::UpstreamLoads request_loads{statements};
  fakes::FakePermits permits;
  ScorerLimits scorer_limits;
  std::mt19937_64 random{1};
  ItemMemory item_memory{[](std::size_t /*bytes*/) { return true; }};
  OutputMemory output_memory{nullptr, log, metrics};
  BatchContext context{loop,
                       clock,
                       log,
                       metrics,
                       store,
                       item_memory,
                       output_memory,
                       catalog,
                       directory,
                       loads,
                       request_loads,
                       scorer_limits,
                       permits,
                       upstreams,
                       FailureDomainId("d1"),
                       random,
                       [](const v1::BatchItem&) { return ItemHeaders{}; }};
};

platform::GroupAssignment Share(std::uint64_t generation) {
  return {generation, {{kBatchTopic, 0}}};
}

Test(batch_owners, restarted_node_releases_partitions_of_its_previous_process) {
  Cluster cluster;
  cluster.store.shares["n1/1000-1"] = Share(3);
  cluster.store.shares["n11/1000-1"] = Share(3);
  BatchHost host(cluster.context, "n1/2000-2", /*spare=*/false);
  host.Start();
  fakes::RunUntil(
      cluster.loop,
      [&cluster] { return !cluster.store.shares.contains("n1/1000-1"); },
      milliseconds(3'000));
  cr_assert(!cluster.store.shares.contains("n1/1000-1"));
  cr_assert(cluster.store.shares.contains("n11/1000-1"),
            "a node must not release the partitions of another node");
  cr_assert(cluster.store.shares.contains("n1/2000-2"));
}

}  // namespace
}  // namespace mulberryroad::batches
