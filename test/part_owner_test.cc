// The owner of a partition: runs items, lists each once, and goes on where an
// earlier owner stopped.

#include "batches/part_owner.h"

#include <criterion/criterion.h>

#include <list>

#include "batches/batch_client.h"
#include "fakes/fake_upstreams.h"
#include "fakes/loop_wait.h"
#include "fakes/memory_store.h"

namespace mulberryroad::batches {
namespace {

using fakes::FakeUpstreams;
using fakes::ReceivedRequest;
using std::chrono::milliseconds;

constexpr int kPartitions = 3;

serving::Manifest MakeManifest(bool single_version) {
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
  route.result_deadline = milliseconds(7'500);
  route.retention = milliseconds(40'000);
  manifest.routes = {route};
  return manifest;
}

struct Fixture {
  base::EventLoop loop;
  SystemClock clock;
  base::StructuredLog log{clock, NodeId("node-1")};
  base::Metrics metrics;
  fakes::MemoryStore store{loop};
  serving::Catalog catalog;
  serving::UpstreamDirectory directory;
  serving::UpstreamLoads loads;
  FakeUpstreams upstreams{loop};
  std::mt19937_64 random{1};
  BatchContext context{
      loop,       clock,
      log,        metrics,
      store,      catalog,
      directory,  loads,
      upstreams,  FailureDomainId("d1"),
      random,     [](const v1::BatchItem&) { return ItemHeaders{}; },
      kPartitions};
  std::shared_ptr<BatchClient> client =
      std::make_shared<BatchClient>(loop, clock, store, kPartitions);
  bool lost = false;

  explicit Fixture(bool single_version = false) {
    catalog.Apply(MakeManifest(single_version));
    for (const char* id : {"u1", "u2"}) {
      serving::Registration upstream = fakes::MakeUpstream(id, "engines");
      upstream.versions[TargetId("m")] = 5;
      directory.Put(upstream);
    }
  }

  std::shared_ptr<PartOwner> Own(std::uint64_t epoch) {
    auto owner =
        std::make_shared<PartOwner>(context, PartitionOf("org", kPartitions),
                                    epoch, [this] { lost = true; });
    owner->Start();
    return owner;
  }

  void Submit(const std::string& batch, const std::vector<std::string>& items,
              std::uint64_t min_version) {
    v1::BatchRecord record;
    record.set_batch(batch);
    record.set_route("/drafts/x");
    record.set_host("h");
    record.set_organisation("org");
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
      stored.push_back(item);
    }
    bool done = false;
    client->Submit(
        {OrganisationId("org"), batch}, MakeRecords(record, stored, 64),
        {milliseconds(500), nullptr}, [&done](const StoreResult& result) {
          done = std::holds_alternative<Stored>(result);
        });
    cr_assert(fakes::RunUntil(loop, [&done] { return done; }));
  }

  std::vector<v1::ResultRecord> Results(const std::string& batch) {
    std::optional<ReadResult> result;
    client->Read({OrganisationId("org"), batch}, 0, milliseconds(0),
                 [&result](ReadResult read) { result = std::move(read); });
    cr_assert(fakes::RunUntil(loop, [&result] { return result.has_value(); }));
    return std::get<ResultPage>(*result).results;
  }

  bool WaitForResults(const std::string& batch, std::size_t count) {
    for (int i = 0; i < 100; ++i) {
      if (Results(batch).size() >= count) {
        return true;
      }
      fakes::RunFor(loop, milliseconds(10));
    }
    return false;
  }

  void AnswerAll(int events, std::uint64_t version) {
    upstreams.script = [events, version](ReceivedRequest& received) {
      FakeUpstreams::SendEvents(received, events, version);
      received.done(serving::Whole{200, {}, {}});
    };
  }
};

Test(part_owner, items_are_run_and_listed_once) {
  Fixture fixture;
  fixture.AnswerAll(3, 5);
  const auto owner = fixture.Own(1);
  fixture.Submit("b1", {"i1", "i2", "i3"}, 4);
  cr_assert(fixture.WaitForResults("b1", 3));
  const auto results = fixture.Results("b1");
  std::set<std::string> items;
  for (const v1::ResultRecord& result : results) {
    items.insert(result.item());
    cr_assert_str_eq(result.text().c_str(), "e1\ne2\ne3");
    cr_assert_eq(result.versions_size(), 1);
    cr_assert_eq(result.versions(0), 5);
  }
  cr_assert_eq(items.size(), 3);
  owner->Stop();
}

Test(part_owner, cut_run_goes_on_behind_its_last_event) {
  Fixture fixture;
  int calls = 0;
  fixture.upstreams.script = [&calls](ReceivedRequest& received) {
    if (++calls == 1) {
      FakeUpstreams::SendEvents(received, 2, 5);
      received.done(serving::MayHaveRun{"cut"});
      return;
    }
    FakeUpstreams::SendEvents(received, 4, 6);
    received.done(serving::Whole{200, {}, {}});
  };
  const auto owner = fixture.Own(1);
  fixture.Submit("b1", {"i1"}, 4);
  cr_assert(fixture.WaitForResults("b1", 1));
  const v1::ResultRecord result = fixture.Results("b1").front();
  cr_assert_str_eq(result.text().c_str(), "e1\ne2\ne3\ne4");
  cr_assert_eq(result.versions_size(), 2);
  cr_assert_str_eq(fixture.upstreams.requests[1]->options.resume_after.c_str(),
                   "2");
  owner->Stop();
}

Test(part_owner, sample_of_one_version_starts_anew_under_another) {
  Fixture fixture(/*single_version=*/true);
  int calls = 0;
  fixture.upstreams.script = [&](ReceivedRequest& received) {
    if (++calls == 1) {
      FakeUpstreams::SendEvents(received, 2, 5);
      for (const char* id : {"u1", "u2"}) {
        serving::Registration upstream = fakes::MakeUpstream(id, "engines");
        upstream.versions[TargetId("m")] = 6;
        fixture.directory.Put(upstream);
      }
      received.done(serving::MayHaveRun{"cut"});
      return;
    }
    FakeUpstreams::SendEvents(received, 4, 6);
    received.done(serving::Whole{200, {}, {}});
  };
  const auto owner = fixture.Own(1);
  fixture.Submit("b1", {"i1"}, 4);
  cr_assert(fixture.WaitForResults("b1", 1));
  const v1::ResultRecord result = fixture.Results("b1").front();
  cr_assert_eq(result.versions_size(), 1);
  cr_assert_eq(result.versions(0), 6);
  cr_assert_eq(fixture.upstreams.requests[0]->options.version, 5);
  owner->Stop();
}

Test(part_owner, upstream_with_old_weights_gets_no_item) {
  Fixture fixture;
  fixture.AnswerAll(1, 5);
  const auto owner = fixture.Own(1);
  fixture.Submit("b1", {"i1"}, 6);
  fakes::RunFor(fixture.loop, milliseconds(100));
  cr_assert(fixture.upstreams.requests.empty());
  serving::Registration fresh = fakes::MakeUpstream("u3", "engines");
  fresh.versions[TargetId("m")] = 6;
  fixture.directory.Put(fresh);
  fixture.AnswerAll(1, 6);
  owner->Pump();
  cr_assert(fixture.WaitForResults("b1", 1));
  owner->Stop();
}

// One of two upstreams changes its weights for 0.9 s and refuses all meanwhile;
// it has no runs, so that each item would go there first.
Test(part_owner, load_beside_a_loading_upstream_is_rarely_refused) {
  Fixture fixture;
  const Instant loaded = fixture.clock.now() + milliseconds(900);
  int refusals = 0;
  std::list<base::Timer> work;
  fixture.upstreams.script = [&](ReceivedRequest& received) {
    if (received.upstream.value() == "u1" && fixture.clock.now() < loaded) {
      ++refusals;
      received.done(serving::NotRun{"loading", /*full=*/true});
      return;
    }
    work.push_back(fixture.loop.After(milliseconds(40), [&received] {
      FakeUpstreams::SendEvents(received, 3, 5);
      received.done(serving::Whole{200, {}, {}});
    }));
  };
  const auto owner = fixture.Own(1);
  constexpr int kItems = 60;
  std::vector<std::string> items;
  items.reserve(kItems);
  for (int i = 0; i < kItems; ++i) {
    items.push_back("i" + std::to_string(i));
  }
  const base::Timer pump =
      fixture.loop.Every(milliseconds(50), [&owner] { owner->Pump(); });
  fixture.Submit("b1", items, 5);
  cr_assert(fixture.WaitForResults("b1", items.size()));
  // The first burst of four, and one each time that it is tried again.
  cr_assert_leq(refusals, 8, "%d refusals", refusals);
  owner->Stop();
}

// One of two upstreams cuts each run; the other has places for four items at a
// time, so that most of a step waits.
Test(part_owner, items_wait_for_a_sound_upstream_rather_than_go_to_a_bad_one) {
  Fixture fixture;
  std::list<base::Timer> work;
  int cuts = 0;
  fixture.upstreams.script = [&](ReceivedRequest& received) {
    if (received.upstream.value() == "u1") {
      ++cuts;
      received.done(serving::MayHaveRun{"cut"});
      return;
    }
    work.push_back(fixture.loop.After(milliseconds(40), [&received] {
      FakeUpstreams::SendEvents(received, 3, 5);
      received.done(serving::Whole{200, {}, {}});
    }));
  };
  const auto owner = fixture.Own(1);
  constexpr int kItems = 60;
  std::vector<std::string> items;
  items.reserve(kItems);
  for (int i = 0; i < kItems; ++i) {
    items.push_back("i" + std::to_string(i));
  }
  const base::Timer pump =
      fixture.loop.Every(milliseconds(20), [&owner] { owner->Pump(); });
  fixture.Submit("b1", items, 5);
  cr_assert(fixture.WaitForResults("b1", items.size()));
  // The first four runs show it.
  cr_assert_leq(cuts, 4, "%d runs were cut", cuts);
  owner->Stop();
}

// Steps begin as upstreams change their weights. Each refusal costs a new
// connection and a place in the order of items.
Test(part_owner, step_begins_with_few_refusals_and_fills_what_serves) {
  Fixture fixture;
  for (const char* id : {"u1", "u2"}) {
    serving::Registration upstream = fakes::MakeUpstream(id, "engines");
    upstream.slots = 16;
    upstream.versions[TargetId("m")] = 5;
    fixture.directory.Put(upstream);
  }
  constexpr milliseconds kFirstEvent{20};
  int refusals = 0;
  int begun = 0;
  std::list<base::Timer> work;
  fixture.upstreams.script = [&](ReceivedRequest& received) {
    if (received.upstream.value() == "u1") {
      ++refusals;
      received.done(serving::NotRun{"loading", /*full=*/true});
      return;
    }
    ++begun;
    work.push_back(fixture.loop.After(kFirstEvent, [&received] {
      FakeUpstreams::SendEvents(received, 1, 5);
    }));
  };
  const auto owner = fixture.Own(1);
  std::vector<std::string> items;
  for (int i = 0; i < 60; ++i) {
    items.push_back("i" + std::to_string(i));
  }
  fixture.Submit("b1", items, 5);
  cr_assert(fakes::RunUntil(fixture.loop, [&begun] { return begun > 0; }));
  // As fast as doubling with each answer: 1, 2, 4, 8, 16.
  const milliseconds ramp = 4 * kFirstEvent + milliseconds(40);
  fakes::RunFor(fixture.loop, ramp);
  cr_assert_eq(begun, 16, "%d of 16 places are used", begun);
  // The two that begin the burst, and one 100 ms later to see.
  cr_assert_leq(refusals, 3, "%d refusals", refusals);
  owner->Stop();
}

Test(part_owner, successor_lists_only_what_is_missing) {
  Fixture fixture;
  fixture.upstreams.script = [](ReceivedRequest& received) {
    if (received.request.id.value() == "i1") {
      FakeUpstreams::SendEvents(received, 1, 5);
      received.done(serving::Whole{200, {}, {}});
    }
  };
  const auto first = fixture.Own(1);
  fixture.Submit("b1", {"i1", "i2"}, 4);
  cr_assert(fixture.WaitForResults("b1", 1));
  const auto second = fixture.Own(2);
  fixture.AnswerAll(2, 5);
  cr_assert(fixture.WaitForResults("b1", 2));
  const auto results = fixture.Results("b1");
  cr_assert_str_eq(results[0].item().c_str(), "i1");
  cr_assert_str_eq(results[1].item().c_str(), "i2");
  // The first owner's late result is refused, and it learns that it lost.
  for (const auto& received : fixture.upstreams.requests) {
    if (received->request.id.value() == "i2" && !received->cancelled &&
        received->done) {
      FakeUpstreams::SendEvents(*received, 1, 5);
      received->done(serving::Whole{200, {}, {}});
      break;
    }
  }
  cr_assert(fakes::RunUntil(fixture.loop, [&] { return fixture.lost; }));
  cr_assert_eq(fixture.Results("b1").size(), 2);
  second->Stop();
}

// An earlier owner lists a result just before it is shut out of the partition
// of results, for a batch that its successor sees only afterwards.
Test(part_owner, results_listed_before_the_take_over_keep_their_positions) {
  Fixture fixture;
  std::string other;
  for (int i = 0; other.empty(); ++i) {
    const std::string id = "x" + std::to_string(i);
    if (ResultPartitionOf(id, kPartitions) ==
        ResultPartitionOf("b0", kPartitions)) {
      other = id;
    }
  }
  fixture.Submit("b0", {"i0"}, 4);
  fixture.store.before_fence = [&] {
    v1::BatchRecord record;
    record.set_batch(other);
    record.set_route("/drafts/x");
    record.set_host("h");
    record.set_organisation("org");
    record.set_model("m");
    record.set_accepted_ms(UnixTime(fixture.clock.wall_now()).count());
    std::vector<v1::BatchItem> items(2);
    items[0].set_id("first");
    items[0].set_path("/drafts/1");
    items[1].set_id("second");
    items[1].set_path("/drafts/2");
    fixture.store.AppendNow(PartitionOf("org", kPartitions),
                            MakeRecords(record, items, 1'000));
    v1::ResultRecord result;
    result.set_item("second");
    result.set_state(v1::ITEM_STATE_COMPLETED);
    result.set_text("made by the earlier owner");
    fixture.store.AppendNow(
        ResultPartitionOf(other, kPartitions),
        {{Encode(ResultKey{other, 0}), result.SerializeAsString()}});
  };
  fixture.AnswerAll(1, 5);
  const auto owner = fixture.Own(2);
  cr_assert(fixture.WaitForResults(other, 2));
  const auto results = fixture.Results(other);
  cr_assert_str_eq(results[0].text().c_str(), "made by the earlier owner");
  cr_assert_str_eq(results[1].item().c_str(), "first");
  owner->Stop();
}

Test(part_owner, successor_goes_on_behind_the_stored_events) {
  Fixture fixture;
  fixture.upstreams.script = [](ReceivedRequest& received) {
    FakeUpstreams::SendEvents(received, 20, 5);
  };
  const auto first = fixture.Own(1);
  fixture.Submit("b1", {"long"}, 4);
  cr_assert(fakes::RunUntil(
      fixture.loop, [&] { return fixture.upstreams.requests.size() == 1; }));
  fakes::RunFor(fixture.loop, milliseconds(20));
  first->SaveProgress();
  fakes::RunFor(fixture.loop, milliseconds(20));
  for (int id = 21; id <= 30; ++id) {
    fixture.upstreams.requests[0]->options.stream->on_event(
        {"", std::to_string(id), "e" + std::to_string(id), 6});
  }
  fixture.upstreams.script = nullptr;
  first->HandOver();
  fakes::RunFor(fixture.loop, milliseconds(20));
  fixture.AnswerAll(32, 6);
  const auto second = fixture.Own(2);
  cr_assert(fixture.WaitForResults("b1", 1));
  cr_assert_str_eq(fixture.upstreams.requests[1]->options.resume_after.c_str(),
                   "30");
  const v1::ResultRecord result = fixture.Results("b1").front();
  cr_assert(result.text().ends_with("e29\ne30\ne31\ne32"));
  cr_assert_eq(result.versions_size(), 2);
  cr_assert_eq(fixture.store.keys(ResultPartitionOf("b1", kPartitions)).size(),
               1, "the stored events go once the result is listed");
  second->Stop();
}

Test(part_owner, items_of_an_ended_batch_are_dropped_from_the_store) {
  Fixture fixture;
  fixture.AnswerAll(1, 5);
  const auto owner = fixture.Own(1);
  fixture.Submit("b1", {"i1", "i2", "i3"}, 4);
  cr_assert(fixture.WaitForResults("b1", 3));
  fixture.client->End({OrganisationId("org"), "b1"},
                      {milliseconds(500), nullptr}, [](const StoreResult&) {});
  cr_assert(fakes::RunUntil(fixture.loop, [&] {
    return fixture.store.keys(PartitionOf("org", kPartitions)).size() == 2;
  }));
  cr_assert_eq(fixture.Results("b1").size(), 3);
  owner->Stop();
}

Test(part_owner, run_of_a_carried_group_goes_on_for_the_next_batch) {
  Fixture fixture;
  fixture.upstreams.script = [](ReceivedRequest& received) {
    FakeUpstreams::SendEvents(received, 2, 5);
    if (received.request.id.value() == "i1") {
      received.done(serving::Whole{200, {}, {}});
    }
  };
  const auto owner = fixture.Own(1);
  fixture.Submit("b1", {"i1", "i2"}, 4);
  cr_assert(fixture.WaitForResults("b1", 1));
  fixture.client->End({OrganisationId("org"), "b1"},
                      {milliseconds(500), nullptr}, [](const StoreResult&) {});
  fakes::RunFor(fixture.loop, milliseconds(50));
  fixture.Submit("b2", {"i1", "i2"}, 5);
  cr_assert(fixture.WaitForResults("b2", 1), "the completed item is listed");
  ReceivedRequest* open = nullptr;
  for (const auto& received : fixture.upstreams.requests) {
    if (received->request.id.value() == "i2") {
      open = received.get();
    }
  }
  cr_assert(!open->cancelled);
  open->options.stream->on_event({"", "3", "e3", std::nullopt});
  open->done(serving::Whole{200, {}, {}});
  cr_assert(fixture.WaitForResults("b2", 2));
  cr_assert_eq(fixture.upstreams.requests.size(), 2, "no item ran again");
  cr_assert_str_eq(fixture.Results("b2")[1].text().c_str(), "e1\ne2\ne3");
  owner->Stop();
}

Test(part_owner, runs_that_no_batch_takes_over_are_cancelled) {
  Fixture fixture;
  fixture.upstreams.script = [](ReceivedRequest& received) {
    FakeUpstreams::SendEvents(received, 2, 5);
  };
  const auto owner = fixture.Own(1);
  fixture.Submit("b1", {"i1", "i2"}, 4);
  cr_assert(fakes::RunUntil(
      fixture.loop, [&] { return fixture.upstreams.requests.size() == 2; }));
  fixture.client->End({OrganisationId("org"), "b1"},
                      {milliseconds(500), nullptr}, [](const StoreResult&) {});
  fakes::RunFor(fixture.loop, milliseconds(50));
  fixture.Submit("b2", {"i2", "i3"}, 5);
  cr_assert(fakes::RunUntil(
      fixture.loop, [&] { return fixture.upstreams.requests.size() == 3; }));
  for (const auto& received : fixture.upstreams.requests) {
    cr_assert_eq(received->cancelled, received->request.id.value() == "i1");
  }
  owner->Stop();
}

Test(part_owner, run_under_weights_too_old_for_the_next_batch_is_cancelled) {
  Fixture fixture;
  fixture.upstreams.script = [](ReceivedRequest& received) {
    FakeUpstreams::SendEvents(received, 2, 5);
  };
  const auto owner = fixture.Own(1);
  fixture.Submit("b1", {"i1"}, 5);
  cr_assert(fakes::RunUntil(
      fixture.loop, [&] { return fixture.upstreams.requests.size() == 1; }));
  fakes::RunFor(fixture.loop, milliseconds(20));
  fixture.client->End({OrganisationId("org"), "b1"},
                      {milliseconds(500), nullptr}, [](const StoreResult&) {});
  cr_assert(fakes::RunUntil(
      fixture.loop, [&] { return fixture.upstreams.requests[0]->cancelled; }));
  owner->Stop();
}

Test(part_owner, leftovers_of_old_weights_are_not_used) {
  Fixture fixture;
  fixture.upstreams.script = [](ReceivedRequest& received) {
    FakeUpstreams::SendEvents(received, 2, 5);
    if (received.request.id.value() == "i1") {
      received.done(serving::Whole{200, {}, {}});
    }
  };
  const auto owner = fixture.Own(1);
  fixture.Submit("b1", {"i1", "i2"}, 4);
  cr_assert(fixture.WaitForResults("b1", 1));
  fixture.client->End({OrganisationId("org"), "b1"},
                      {milliseconds(500), nullptr}, [](const StoreResult&) {});
  fakes::RunFor(fixture.loop, milliseconds(50));
  for (const char* id : {"u1", "u2"}) {
    serving::Registration upstream = fakes::MakeUpstream(id, "engines");
    upstream.versions[TargetId("m")] = 6;
    fixture.directory.Put(upstream);
  }
  fixture.AnswerAll(2, 6);
  fixture.Submit("b2", {"i1", "i2"}, 6);
  cr_assert(fixture.WaitForResults("b2", 2));
  for (const v1::ResultRecord& result : fixture.Results("b2")) {
    cr_assert_eq(result.versions(0), 6);
  }
  owner->Stop();
}

Test(part_owner, body_of_an_item_is_read_from_the_store) {
  Fixture fixture;
  fixture.Submit("b1", {"i1", "i2", "i3"}, 4);
  std::optional<BodyResult> body;
  fixture.client->ReadBody(
      {OrganisationId("org"), "b1"}, "i2",
      [&body](BodyResult read) { body = std::move(read); });
  cr_assert(
      fakes::RunUntil(fixture.loop, [&body] { return body.has_value(); }));
  cr_assert_str_eq(std::get<ItemBody>(*body).bytes.c_str(), "body of i2");
  std::optional<bool> unknown;
  fixture.client->Find(
      {OrganisationId("org"), "b9"},
      [&unknown](const std::variant<v1::BatchRecord, NoSuchBatch, Unsure>& r) {
        unknown = std::holds_alternative<NoSuchBatch>(r);
      });
  cr_assert(fakes::RunUntil(fixture.loop, [&] { return unknown.has_value(); }));
  cr_assert(*unknown);
}

Test(batch_client, submission_is_given_up_once_another_node_serves_better) {
  Fixture fixture;
  fixture.store.away = true;
  bool cut_off = false;
  const Instant begun = fixture.clock.now();
  std::optional<StoreResult> result;
  fixture.client->Submit(
      {OrganisationId("org"), "b1"}, MakeRecords(v1::BatchRecord(), {}, 64),
      {milliseconds(6'000), [&cut_off] { return cut_off; }},
      [&result](const StoreResult& stored) { result = stored; });
  fakes::RunFor(fixture.loop, milliseconds(200));
  cr_assert(!result.has_value(), "the store may come back");
  cut_off = true;
  cr_assert(
      fakes::RunUntil(fixture.loop, [&result] { return result.has_value(); }));
  cr_assert(std::holds_alternative<NotStored>(*result));
  cr_assert(fixture.clock.now() < begun + milliseconds(1'000));
}

Test(part_owner, store_that_is_away_makes_reads_unsure) {
  Fixture fixture;
  fixture.store.away = true;
  std::optional<bool> unsure;
  fixture.client->Find(
      {OrganisationId("org"), "b1"},
      [&unsure](const std::variant<v1::BatchRecord, NoSuchBatch, Unsure>& r) {
        unsure = std::holds_alternative<Unsure>(r);
      });
  cr_assert(fakes::RunUntil(fixture.loop, [&] { return unsure.has_value(); }));
  cr_assert(*unsure, "an unreachable store does not make a batch unknown");
  std::optional<StoreResult> stored;
  fixture.client->End({OrganisationId("org"), "b1"},
                      {milliseconds(100), nullptr},
                      [&stored](const StoreResult& r) { stored = r; });
  cr_assert(fakes::RunUntil(fixture.loop, [&] { return stored.has_value(); }));
  cr_assert(std::holds_alternative<NotStored>(*stored));
}

}  // namespace
}  // namespace mulberryroad::batches
