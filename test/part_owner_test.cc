// Tests of the partition owner: it runs items, lists each result once, and
// resumes the work of an earlier owner. Also tests the batch client.

#include "fakes/part_owner_fixture.h"

namespace mulberryroad::batches {
namespace {

using fakes::FakeUpstreams;
using fakes::ReceivedRequest;
using std::chrono::milliseconds;
using Fixture = PartitionOwnerFixture;

Test(partition_owner, items_are_run_and_listed_once) {
  Fixture fixture;
  fixture.CompleteAll(3, 5);
  const auto owner = fixture.StartOwner(1);
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

Test(partition_owner, interrupted_run_resumes_after_its_last_event) {
  Fixture fixture;
  int calls = 0;
  fixture.upstreams.script = [&calls](ReceivedRequest& received) {
    if (++calls == 1) {
      FakeUpstreams::SendEvents(received, 2, 5);
      received.done(serving::MayHaveRun{"cut"});
      return;
    }
    FakeUpstreams::SendEvents(received, 4, 6);
    received.done(serving::CompleteResponse{200, {}, {}});
  };
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"}, 4);
  cr_assert(fixture.WaitForResults("b1", 1));
  const v1::ResultRecord result = fixture.Results("b1").front();
  cr_assert_str_eq(result.text().c_str(), "e1\ne2\ne3\ne4");
  cr_assert_eq(result.versions_size(), 2);
  cr_assert_str_eq(fixture.upstreams.requests[1]->options.resume_after.c_str(),
                   "2");
  owner->Stop();
}

// The upstream lost the store, or is slow to report, and still generates.
Test(partition_owner, run_goes_on_at_an_upstream_that_stops_reporting) {
  for (const bool store_unstable : {false, true}) {
    Fixture fixture;
    const auto owner = fixture.StartOwner(1);
    fixture.Submit("b1", {"i1"}, 4);
    cr_assert(fakes::RunUntil(fixture.loop, [&fixture] {
      return fixture.upstreams.requests.size() == 1;
    }));
    const auto run = fixture.upstreams.requests[0];
    FakeUpstreams::SendEvents(*run, 2, 5);
    fixture.directory.Remove(run->upstream, store_unstable,
                             fixture.clock.now());
    fixture.directory.Expire(fixture.clock.now() + milliseconds(5'000));
    owner->ScheduleItems();
    owner->MoveStragglers();
    fakes::RunFor(fixture.loop, milliseconds(100));
    cr_assert(!run->cancelled);
    cr_assert_eq(fixture.upstreams.requests.size(), 1,
                 "the item must not run a second time elsewhere");
    run->options.stream->on_event({"", "3", "e3", std::nullopt});
    run->done(serving::CompleteResponse{200, {}, {}});
    cr_assert(fixture.WaitForResults("b1", 1));
    owner->Stop();
  }
}

// A stream that sends only comments is alive, but makes no progress.
Test(partition_owner, comments_of_a_stream_are_no_events) {
  Fixture fixture;
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"}, 4);
  cr_assert(fakes::RunUntil(fixture.loop, [&fixture] {
    return fixture.upstreams.requests.size() == 1;
  }));
  const auto run = fixture.upstreams.requests[0];
  run->options.stream->on_start({200, {}, 5});
  const base::Timer comments = fixture.loop.Every(milliseconds(50), [&run] {
    if (!run->cancelled) {
      run->options.stream->on_event({": ping\n\n", "", "", std::nullopt});
    }
  });
  fakes::RunFor(fixture.loop, milliseconds(200));
  cr_assert(!run->cancelled, "a comment must not interrupt the run");
  cr_assert(fakes::RunUntil(fixture.loop, [&run] { return run->cancelled; }),
            "a run without events must end");
  owner->Stop();
}

// Guards against requests of an item that an earlier release stored.
Test(partition_owner, stored_item_with_a_malformed_path_runs) {
  Fixture fixture;
  fixture.CompleteAll(3, 5);
  const auto owner = fixture.StartOwner(1);
  fixture.SubmitItems("b1", {"i1", "i2"}, 4, [](v1::BatchItem* item) {
    if (item->id() == "i1") {
      item->set_path("/drafts/i1 HTTP/1.1\r\n\r\nPOST /drafts/x");
    }
  });
  cr_assert(fixture.WaitForResults("b1", 2));
  cr_assert_eq(fixture.upstreams.requests.size(), 1);
  for (const v1::ResultRecord& result : fixture.Results("b1")) {
    cr_assert_eq(result.state(), result.item() == "i1"
                                     ? v1::ITEM_STATE_TERMINATED
                                     : v1::ITEM_STATE_COMPLETED);
  }
  owner->Stop();
}

// Guards against a completed item without text.
Test(partition_owner, answer_without_events_completes_an_item) {
  Fixture fixture;
  fixture.upstreams.script = [&fixture](ReceivedRequest& received) {
    const bool first = fixture.upstreams.requests.size() == 1;
    FakeUpstreams::SendEvents(received, first ? 0 : 3, 5);
    received.done(serving::CompleteResponse{200, {}, {}});
  };
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"}, 4);
  cr_assert(fixture.WaitForResults("b1", 1));
  cr_assert_str_eq(fixture.Results("b1")[0].text().c_str(), "e1\ne2\ne3");
  owner->Stop();
}

Test(partition_owner, single_version_sample_restarts_under_another_version) {
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
    received.done(serving::CompleteResponse{200, {}, {}});
  };
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"}, 4);
  cr_assert(fixture.WaitForResults("b1", 1));
  const v1::ResultRecord result = fixture.Results("b1").front();
  cr_assert_eq(result.versions_size(), 1);
  cr_assert_eq(result.versions(0), 6);
  cr_assert_eq(fixture.upstreams.requests[0]->options.version, 5);
  owner->Stop();
}

/// Sends a first event of weight version 5 and a second one of version 6.
void SendTwoVersions(ReceivedRequest& received) {
  FakeUpstreams::SendEvents(received, 1, 5);
  received.options.stream->on_event({"", "2", "e2", 6});
}

// Guards against samples of two versions after an upstream changed its weights
// during the run.
Test(partition_owner, completed_single_version_sample_has_two_versions) {
  Fixture fixture(/*single_version=*/true);
  fixture.upstreams.script = [&fixture](ReceivedRequest& received) {
    if (fixture.upstreams.requests.size() == 1) {
      SendTwoVersions(received);
    } else {
      FakeUpstreams::SendEvents(received, 2, 5);
    }
    received.done(serving::CompleteResponse{200, {}, {}});
  };
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"}, 4);
  cr_assert(fixture.WaitForResults("b1", 1));
  cr_assert_eq(fixture.Results("b1")[0].versions_size(), 1);
  cr_assert(fixture.upstreams.requests[1]->options.resume_after.empty());
  owner->Stop();
}

Test(partition_owner, interrupted_single_version_sample_resumes_two_versions) {
  Fixture fixture(/*single_version=*/true);
  fixture.upstreams.script = [&fixture](ReceivedRequest& received) {
    if (fixture.upstreams.requests.size() == 1) {
      SendTwoVersions(received);
      for (const char* id : {"u1", "u2"}) {
        serving::Registration upstream = fakes::MakeUpstream(id, "engines");
        upstream.versions[TargetId("m")] = 6;
        fixture.directory.Put(upstream);
      }
      received.done(serving::MayHaveRun{"cut"});
      return;
    }
    FakeUpstreams::SendEvents(received, 3, 6);
    received.done(serving::CompleteResponse{200, {}, {}});
  };
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"}, 4);
  cr_assert(fixture.WaitForResults("b1", 1));
  cr_assert_eq(fixture.Results("b1")[0].versions_size(), 1);
  cr_assert(fixture.upstreams.requests[1]->options.resume_after.empty());
  owner->Stop();
}

// The manifest makes the route single-version between two owners.
Test(partition_owner, restored_single_version_sample_has_two_versions) {
  Fixture fixture;
  fixture.upstreams.script = [](ReceivedRequest& received) {
    SendTwoVersions(received);
  };
  const auto first = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"}, 4);
  cr_assert(fixture.WaitForRequests(1));
  fakes::RunFor(fixture.loop, milliseconds(50));
  first->SaveProgress(/*min_events=*/1);
  fakes::RunFor(fixture.loop, milliseconds(50));
  first->Stop();
  serving::Manifest manifest = MakeManifest(/*single_version=*/true);
  manifest.version = 2;
  fixture.catalog.Apply(manifest);
  fixture.CompleteAll(3, 5);
  const auto second = fixture.StartOwner(2);
  cr_assert(fixture.WaitForResults("b1", 1));
  cr_assert_eq(fixture.Results("b1")[0].versions_size(), 1);
  second->Stop();
}

Test(partition_owner, upstream_with_old_weights_gets_no_item) {
  Fixture fixture;
  fixture.CompleteAll(1, 5);
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"}, 6);
  fakes::RunFor(fixture.loop, milliseconds(100));
  cr_assert(fixture.upstreams.requests.empty());
  serving::Registration fresh = fakes::MakeUpstream("u3", "engines");
  fresh.versions[TargetId("m")] = 6;
  fixture.directory.Put(fresh);
  fixture.CompleteAll(1, 6);
  owner->ScheduleItems();
  cr_assert(fixture.WaitForResults("b1", 1));
  owner->Stop();
}

Test(partition_owner, new_owner_lists_only_missing_results) {
  Fixture fixture;
  fixture.upstreams.script = [](ReceivedRequest& received) {
    if (received.request.id.value() == "i1") {
      FakeUpstreams::SendEvents(received, 1, 5);
      received.done(serving::CompleteResponse{200, {}, {}});
    }
  };
  const auto first = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1", "i2"}, 4);
  cr_assert(fixture.WaitForResults("b1", 1));
  const auto second = fixture.StartOwner(2);
  fixture.CompleteAll(2, 5);
  cr_assert(fixture.WaitForResults("b1", 2));
  const auto results = fixture.Results("b1");
  cr_assert_str_eq(results[0].item().c_str(), "i1");
  cr_assert_str_eq(results[1].item().c_str(), "i2");
  // The store refuses the first owner's late result, and the owner reports that
  // it was fenced.
  for (const auto& received : fixture.upstreams.requests) {
    if (received->request.id.value() == "i2" && !received->cancelled &&
        received->done) {
      FakeUpstreams::SendEvents(*received, 1, 5);
      received->done(serving::CompleteResponse{200, {}, {}});
      break;
    }
  }
  cr_assert(fakes::RunUntil(fixture.loop, [&] { return fixture.lost; }));
  cr_assert_eq(fixture.Results("b1").size(), 2);
  second->Stop();
}

// An earlier owner lists a result just before it is fenced on the result
// partition. The new owner sees the batch only afterwards and must not reuse
// the position of that result.
Test(partition_owner, results_listed_before_a_takeover_keep_their_positions) {
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
    fixture.store.AppendNow(BatchPartitionOf("org", kPartitions),
                            MakeRecords(record, items, 1'000));
    v1::ResultRecord result;
    result.set_item("second");
    result.set_state(v1::ITEM_STATE_COMPLETED);
    result.set_text("made by the earlier owner");
    fixture.store.AppendNow(
        ResultPartitionOf(other, kPartitions),
        {{Encode(ResultKey{other, 0}), result.SerializeAsString()}});
  };
  fixture.CompleteAll(1, 5);
  const auto owner = fixture.StartOwner(2);
  cr_assert(fixture.WaitForResults(other, 2));
  const auto results = fixture.Results(other);
  cr_assert_str_eq(results[0].text().c_str(), "made by the earlier owner");
  cr_assert_str_eq(results[1].item().c_str(), "first");
  owner->Stop();
}

Test(partition_owner, new_owner_resumes_after_the_stored_events) {
  Fixture fixture;
  fixture.upstreams.script = [](ReceivedRequest& received) {
    FakeUpstreams::SendEvents(received, 20, 5);
  };
  const auto first = fixture.StartOwner(1);
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
  fixture.CompleteAll(32, 6);
  const auto second = fixture.StartOwner(2);
  cr_assert(fixture.WaitForResults("b1", 1));
  cr_assert_str_eq(fixture.upstreams.requests[1]->options.resume_after.c_str(),
                   "30");
  const v1::ResultRecord result = fixture.Results("b1").front();
  cr_assert(result.text().ends_with("e29\ne30\ne31\ne32"));
  cr_assert_eq(result.versions_size(), 2);
  cr_assert_eq(fixture.store.keys(ResultPartitionOf("b1", kPartitions)).size(),
               1, "listing the result must delete the stored events");
  second->Stop();
}

Test(partition_owner, items_of_an_ended_batch_are_deleted_from_the_store) {
  Fixture fixture;
  fixture.CompleteAll(1, 5);
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1", "i2", "i3"}, 4);
  cr_assert(fixture.WaitForResults("b1", 3));
  fixture.client->End({OrganisationId("org"), "b1"},
                      {milliseconds(500), nullptr}, [](const StoreResult&) {});
  cr_assert(fakes::RunUntil(fixture.loop, [&] {
    return fixture.store.keys(BatchPartitionOf("org", kPartitions)).size() == 2;
  }));
  cr_assert_eq(fixture.Results("b1").size(), 3);
  owner->Stop();
}

Test(partition_owner, run_of_a_resubmitted_group_continues_for_the_next_batch) {
  Fixture fixture;
  fixture.upstreams.script = [](ReceivedRequest& received) {
    FakeUpstreams::SendEvents(received, 2, 5);
    if (received.request.id.value() == "i1") {
      received.done(serving::CompleteResponse{200, {}, {}});
    }
  };
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1", "i2"}, 4);
  cr_assert(fixture.WaitForResults("b1", 1));
  fixture.client->End({OrganisationId("org"), "b1"},
                      {milliseconds(500), nullptr}, [](const StoreResult&) {});
  fakes::RunFor(fixture.loop, milliseconds(50));
  fixture.Submit("b2", {"i1", "i2"}, 5);
  cr_assert(fixture.WaitForResults("b2", 1), "the completed item is listed");
  ReceivedRequest* open_request = nullptr;
  for (const auto& received : fixture.upstreams.requests) {
    if (received->request.id.value() == "i2") {
      open_request = received.get();
    }
  }
  cr_assert(!open_request->cancelled);
  open_request->options.stream->on_event({"", "3", "e3", std::nullopt});
  open_request->done(serving::CompleteResponse{200, {}, {}});
  cr_assert(fixture.WaitForResults("b2", 2));
  cr_assert_eq(fixture.upstreams.requests.size(), 2, "no item ran again");
  cr_assert_str_eq(fixture.Results("b2")[1].text().c_str(), "e1\ne2\ne3");
  owner->Stop();
}

Test(partition_owner, runs_that_no_batch_adopts_are_cancelled) {
  Fixture fixture;
  fixture.upstreams.script = [](ReceivedRequest& received) {
    FakeUpstreams::SendEvents(received, 2, 5);
  };
  const auto owner = fixture.StartOwner(1);
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

Test(partition_owner,
     run_under_weights_too_old_for_the_next_batch_is_cancelled) {
  Fixture fixture;
  fixture.upstreams.script = [](ReceivedRequest& received) {
    FakeUpstreams::SendEvents(received, 2, 5);
  };
  const auto owner = fixture.StartOwner(1);
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

Test(partition_owner, leftovers_of_old_weights_are_not_reused) {
  Fixture fixture;
  fixture.upstreams.script = [](ReceivedRequest& received) {
    FakeUpstreams::SendEvents(received, 2, 5);
    if (received.request.id.value() == "i1") {
      received.done(serving::CompleteResponse{200, {}, {}});
    }
  };
  const auto owner = fixture.StartOwner(1);
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
  fixture.CompleteAll(2, 6);
  fixture.Submit("b2", {"i1", "i2"}, 6);
  cr_assert(fixture.WaitForResults("b2", 2));
  for (const v1::ResultRecord& result : fixture.Results("b2")) {
    cr_assert_eq(result.versions(0), 6);
  }
  owner->Stop();
}

Test(partition_owner, body_of_an_item_is_read_from_the_store) {
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
      [&unknown](
          const std::variant<v1::BatchRecord, NoSuchBatch, ReadFailed>& r) {
        unknown = std::holds_alternative<NoSuchBatch>(r);
      });
  cr_assert(fakes::RunUntil(fixture.loop, [&] { return unknown.has_value(); }));
  cr_assert(*unknown);
}

Test(batch_client, submission_is_not_retried_once_another_node_is_better) {
  Fixture fixture;
  fixture.store.unavailable = true;
  bool other_node_better = false;
  const Instant started_at = fixture.clock.now();
  std::optional<StoreResult> result;
  fixture.client->Submit(
      {OrganisationId("org"), "b1"}, MakeRecords(v1::BatchRecord(), {}, 64),
      {milliseconds(6'000), [&other_node_better] { return other_node_better; }},
      [&result](const StoreResult& stored) { result = stored; });
  fakes::RunFor(fixture.loop, milliseconds(200));
  cr_assert(!result.has_value(), "the store may recover");
  other_node_better = true;
  cr_assert(
      fakes::RunUntil(fixture.loop, [&result] { return result.has_value(); }));
  cr_assert(std::holds_alternative<NotStored>(*result));
  cr_assert(fixture.clock.now() < started_at + milliseconds(1'000));
}

Test(partition_owner, reads_are_unsure_while_the_store_is_unavailable) {
  Fixture fixture;
  fixture.store.unavailable = true;
  std::optional<bool> read_failed;
  fixture.client->Find(
      {OrganisationId("org"), "b1"},
      [&read_failed](
          const std::variant<v1::BatchRecord, NoSuchBatch, ReadFailed>& r) {
        read_failed = std::holds_alternative<ReadFailed>(r);
      });
  cr_assert(
      fakes::RunUntil(fixture.loop, [&] { return read_failed.has_value(); }));
  cr_assert(*read_failed,
            "an unavailable store must not be reported as an unknown batch");
  std::optional<StoreResult> stored;
  fixture.client->End({OrganisationId("org"), "b1"},
                      {milliseconds(100), nullptr},
                      [&stored](const StoreResult& r) { stored = r; });
  cr_assert(fakes::RunUntil(fixture.loop, [&] { return stored.has_value(); }));
  cr_assert(std::holds_alternative<NotStored>(*stored));
}

// Guards against a submission that is retried until its deadline although the
// store will never take it.
Test(batch_client, submission_too_large_for_the_store_is_retried) {
  Fixture fixture;
  fixture.store.max_record_bytes = 1'000;
  std::optional<StoreResult> result;
  const Instant sent = fixture.clock.now();
  fixture.client->Submit({fixture.organisation, "b1"},
                         {{"key", std::string(2'000, 'x')}},
                         {milliseconds(5'000), nullptr},
                         [&result](StoreResult stored) { result = stored; });
  cr_assert(
      fakes::RunUntil(fixture.loop, [&result] { return result.has_value(); }));
  const auto* not_stored = std::get_if<NotStored>(&*result);
  cr_assert_not_null(not_stored);
  cr_assert(not_stored->too_large);
  cr_assert_lt((fixture.clock.now() - sent) / milliseconds(1), 1'000);
}

}  // namespace
}  // namespace mulberryroad::batches
