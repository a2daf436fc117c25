// Test fixture for partition owners with an in-memory store and fake upstreams.

#ifndef MULBERRYROAD_TEST_FAKES_PART_OWNER_FIXTURE_H_
#define MULBERRYROAD_TEST_FAKES_PART_OWNER_FIXTURE_H_

#include <criterion/criterion.h>

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "batches/batch_client.h"
#include "batches/part_owner.h"
#include "fakes/fake_permits.h"
#include "fakes/fake_upstreams.h"
#include "fakes/loop_wait.h"
#include "fakes/memory_store.h"

namespace mulberryroad::batches {

inline constexpr int kPartitions = 3;

inline serving::Manifest MakeManifest(bool single_version) {
  serving::Manifest manifest;
  manifest.version = 1;
  serving::Route route;
  route.name = "drafts";
  route.host = "h";
  route.path_prefix = "/drafts/";
  route.kind = serving::RouteKind::kBatch;
  route.single_version = single_version;
  route.services = {{TargetId("engines"), 1}};
  route.max_attempts = 3;
  route.result_deadline = std::chrono::milliseconds(7'500);
  route.retention = std::chrono::milliseconds(40'000);
  manifest.routes = {route};
  return manifest;
}

/// Two upstreams, "u1" and "u2", serve weight version 5 of the model "m".
struct PartitionOwnerFixture {
  base::EventLoop loop;
  SystemClock clock;
  base::StructuredLog log{clock, NodeId("node-1")};
  base::Metrics metrics;
  fakes::MemoryStore store{loop};
  serving::Catalog catalog;
  serving::UpstreamDirectory directory;
  serving::UpstreamStatements statements;
  serving::UpstreamLoads loads{statements};
  serving::UpstreamLoads request_loads{statements};
  fakes::FakePermits permits;
  ScorerLimits scorer_limits;
  fakes::FakeUpstreams upstreams{loop};
  std::mt19937_64 random{1};
  /// Bound of the memory of all items.
  std::size_t max_item_bytes = std::numeric_limits<std::size_t>::max();
  ItemMemory item_memory{
      [this](std::size_t bytes) { return bytes <= max_item_bytes; }};
  /// Bound of the memory of the outputs that no run holds, and of records.
  std::size_t max_output_bytes = std::numeric_limits<std::size_t>::max();
  OutputMemory output_memory{
      [this](std::size_t bytes) { return bytes <= max_output_bytes; }, log,
      metrics};
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
                       [](const v1::BatchItem&) { return ItemHeaders{}; },
                       kPartitions};
  std::shared_ptr<BatchClient> client =
      std::make_shared<BatchClient>(loop, clock, store, kPartitions);
  /// Organisation that submits batches and reads results.
  OrganisationId organisation{"org"};
  /// True once an owner reported that another one took over.
  bool lost = false;

  explicit PartitionOwnerFixture(bool single_version = false) {
    catalog.Apply(MakeManifest(single_version));
    for (const char* id : {"u1", "u2"}) {
      serving::Registration upstream = fakes::MakeUpstream(id, "engines");
      upstream.versions[TargetId("m")] = 5;
      directory.Put(upstream);
    }
  }

  /// Puts a manifest in force and notifies the owner.
  void ApplyManifest(PartitionOwner& owner, const serving::Manifest& manifest) {
    cr_assert(catalog.Apply(manifest));
    owner.OnManifestChanged();
  }

  /// Starts an owner of the partition of the organisation "org".
  std::shared_ptr<PartitionOwner> StartOwner(std::uint64_t epoch) {
    auto owner = std::make_shared<PartitionOwner>(
        context, BatchPartitionOf("org", kPartitions), epoch,
        [this] { lost = true; });
    owner->Start();
    return owner;
  }

  /// Stores a batch of one group and waits until it is stored.
  void Submit(const std::string& batch, const std::vector<std::string>& items,
              std::uint64_t min_version) {
    SubmitItems(batch, items, min_version, [](v1::BatchItem*) {});
  }

  /// Like `Submit`, with a function that completes each item.
  void SubmitItems(const std::string& batch,
                   const std::vector<std::string>& items,
                   std::uint64_t min_version,
                   const std::function<void(v1::BatchItem*)>& complete_item) {
    v1::BatchRecord record;
    record.set_batch(batch);
    record.set_route("/drafts/x");
    record.set_host("h");
    record.set_organisation(organisation.value());
    record.set_model("m");
    record.set_min_version(min_version);
    record.set_accepted_ms(UnixTime(clock.wall_now()).count());
    std::vector<v1::BatchItem> stored;
    for (const std::string& id : items) {
      v1::BatchItem item;
      item.set_id(id);
      item.set_path("/drafts/" + id);
      item.set_group("g");
      item.set_body("body of " + id);
      complete_item(&item);
      stored.push_back(item);
    }
    bool done = false;
    client->Submit({organisation, batch}, MakeRecords(record, stored, 64),
                   {std::chrono::milliseconds(500), nullptr},
                   [&done](const StoreResult& result) {
                     done = std::holds_alternative<Stored>(result);
                   });
    cr_assert(fakes::RunUntil(loop, [&done] { return done; }));
  }

  /// Ends a batch and waits until the owner has closed it.
  void EndBatch(const std::string& batch) {
    bool done = false;
    client->End({organisation, batch},
                {std::chrono::milliseconds(500), nullptr},
                [&done](const StoreResult& result) {
                  done = std::holds_alternative<Stored>(result);
                });
    cr_assert(fakes::RunUntil(loop, [&done] { return done; }));
    fakes::RunFor(loop, std::chrono::milliseconds(100));
  }

  /// Waits until the upstreams have received this many requests.
  bool WaitForRequests(std::size_t count) {
    return fakes::RunUntil(
        loop, [this, count] { return upstreams.requests.size() >= count; });
  }

  /// Reads the results that are stored now.
  std::vector<v1::ResultRecord> Results(const std::string& batch) {
    std::optional<ReadResult> result;
    client->Read({organisation, batch}, 0, std::chrono::milliseconds(0),
                 [&result](ReadResult read) { result = std::move(read); });
    cr_assert(fakes::RunUntil(loop, [&result] { return result.has_value(); }));
    return std::get<ResultPage>(*result).results;
  }

  /// Waits up to 100 polls, 10 ms apart, for this many results.
  bool WaitForResults(const std::string& batch, std::size_t count) {
    for (int i = 0; i < 100; ++i) {
      if (Results(batch).size() >= count) {
        return true;
      }
      fakes::RunFor(loop, std::chrono::milliseconds(10));
    }
    return false;
  }

  /// Makes the upstreams answer the first requests of each item with a server
  /// error, and complete the later ones.
  void FailEachItem(int failures) {
    upstreams.script = [failures, calls = std::map<std::string, int>()](
                           fakes::ReceivedRequest& received) mutable {
      if (++calls[received.request.id.value()] <= failures) {
        received.done(serving::CompleteResponse{500, {}, {}});
        return;
      }
      fakes::FakeUpstreams::SendEvents(received, 3, 5);
      received.done(serving::CompleteResponse{200, {}, {}});
    };
  }

  /// Makes the upstreams complete each request after this many events.
  void CompleteAll(int events, std::uint64_t version) {
    upstreams.script = [events, version](fakes::ReceivedRequest& received) {
      fakes::FakeUpstreams::SendEvents(received, events, version);
      received.done(serving::CompleteResponse{200, {}, {}});
    };
  }
};

}  // namespace mulberryroad::batches

#endif  // MULBERRYROAD_TEST_FAKES_PART_OWNER_FIXTURE_H_
