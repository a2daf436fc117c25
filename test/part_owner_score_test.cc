// Tests of the scoring of items by the partition owner: an item is listed as
// completed only with the score of its own scorer call.

#include <algorithm>

#include "fakes/part_owner_fixture.h"

namespace mulberryroad::batches {
namespace {

using fakes::FakeUpstreams;
using fakes::ReceivedRequest;
using std::chrono::milliseconds;

/// The fixture of partition owners with a route to two scorers, "s1" and "s2".
struct Fixture : PartitionOwnerFixture {
  Fixture() {
    AddScorerRoute();
    for (const char* id : {"s1", "s2"}) {
      directory.Put(fakes::MakeUpstream(id, "scorers"));
    }
    upstreams.script = [this](ReceivedRequest& received) {
      if (IsScorerCall(received)) {
        score(received);
      } else {
        generate(received);
      }
    };
  }

  void AddScorerRoute() {
    serving::Manifest manifest = MakeManifest(/*single_version=*/false);
    manifest.version = 2;
    serving::Route route;
    route.name = "scores";
    route.host = "h";
    route.path_prefix = "/scores/";
    route.kind = serving::RouteKind::kIdempotent;
    route.services = {{TargetId("scorers"), 1}};
    route.max_attempts = 2;
    route.target_latency = milliseconds(50);
    manifest.routes.push_back(route);
    catalog.Apply(manifest);
  }

  static bool IsScorerCall(const ReceivedRequest& received) {
    return received.upstream.value().starts_with("s");
  }
  static void AnswerScore(ReceivedRequest& received) {
    received.done(serving::CompleteResponse{
        200, {}, {}, "seal of " + received.request.id.value()});
  }

  /// Stores a batch whose items have the scorer calls "score-ITEM".
  void Submit(const std::string& batch, const std::vector<std::string>& items) {
    SubmitItems(batch, items, 4, [](v1::BatchItem* item) {
      item->mutable_scorer()->set_id("score-" + item->id());
      item->mutable_scorer()->set_host("h");
      item->mutable_scorer()->set_path("/scores/" + item->id());
      item->mutable_scorer()->set_body("score " + item->id());
    });
  }

  std::vector<std::shared_ptr<ReceivedRequest>> Calls(bool scorer) const {
    std::vector<std::shared_ptr<ReceivedRequest>> calls;
    std::copy_if(upstreams.requests.begin(), upstreams.requests.end(),
                 std::back_inserter(calls), [scorer](const auto& received) {
                   return IsScorerCall(*received) == scorer;
                 });
    return calls;
  }
  bool WaitForCalls(bool scorer, std::size_t count) {
    return fakes::RunUntil(loop, [&] { return Calls(scorer).size() >= count; });
  }

  std::function<void(ReceivedRequest&)> generate = [](ReceivedRequest& r) {
    FakeUpstreams::SendEvents(r, 3, 5);
    r.done(serving::CompleteResponse{200, {}, {}});
  };
  std::function<void(ReceivedRequest&)> score = AnswerScore;
};

Test(partition_owner_score, item_is_listed_with_the_score_of_its_own_call) {
  Fixture fixture;
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1", "i2"});
  cr_assert(fixture.WaitForResults("b1", 2));
  for (const v1::ResultRecord& result : fixture.Results("b1")) {
    cr_assert_eq(result.state(), v1::ITEM_STATE_COMPLETED);
    cr_assert_str_eq(result.text().c_str(), "e1\ne2\ne3");
    const std::string expected = "seal of score-" + result.item();
    cr_assert_str_eq(result.score().c_str(), expected.c_str());
  }
  for (const auto& call : fixture.Calls(/*scorer=*/true)) {
    cr_assert_eq(call->request.method, http::Method::kPost);
    cr_assert_str_eq(call->request.host.c_str(), "h");
    cr_assert(call->request.organisation.empty(),
              "the scorer must not see the organisation");
    cr_assert(call->request.body.text().starts_with("score "));
  }
  owner->Stop();
}

// Guards against a scorer's attempts that are read once: a later manifest
// allows more of them.
Test(partition_owner_score, failed_calls_count_by_an_old_manifest) {
  Fixture fixture;
  int calls = 0;
  fixture.score = [&](ReceivedRequest& received) {
    if (++calls > 3) {
      Fixture::AnswerScore(received);
      return;
    }
    if (calls == 1) {
      serving::Manifest manifest = *fixture.catalog.manifest();
      ++manifest.version;
      manifest.routes[1].max_attempts = 4;
      fixture.catalog.Apply(manifest);
    }
    received.done(serving::CompleteResponse{500, {}, {}});
  };
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"});
  cr_assert(fixture.WaitForResults("b1", 1));
  cr_assert_eq(fixture.Results("b1")[0].state(), v1::ITEM_STATE_COMPLETED);
  owner->Stop();
}

Test(partition_owner_score, scorer_is_called_only_after_the_last_event) {
  Fixture fixture;
  fixture.generate = [](ReceivedRequest&) {};
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"});
  cr_assert(fixture.WaitForCalls(/*scorer=*/false, 1));
  const auto run = fixture.Calls(/*scorer=*/false)[0];
  FakeUpstreams::SendEvents(*run, 3, 5);
  fakes::RunFor(fixture.loop, milliseconds(50));
  cr_assert(fixture.Calls(/*scorer=*/true).empty());
  run->done(serving::CompleteResponse{200, {}, {}});
  cr_assert(fixture.WaitForResults("b1", 1));
  owner->Stop();
}

// An owner is lost between the last event of an item and its score.
Test(partition_owner_score, new_owner_scores_a_stored_output_without_a_run) {
  Fixture fixture;
  fixture.score = [](ReceivedRequest&) {};
  const auto first = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"});
  cr_assert(fixture.WaitForCalls(/*scorer=*/true, 1));
  fakes::RunFor(fixture.loop, milliseconds(50));
  first->Stop();
  fixture.score = Fixture::AnswerScore;
  const auto second = fixture.StartOwner(2);
  cr_assert(fixture.WaitForResults("b1", 1));
  cr_assert_eq(fixture.Calls(/*scorer=*/false).size(), 1,
               "the output must not be generated again");
  const v1::ResultRecord result = fixture.Results("b1").front();
  cr_assert_str_eq(result.text().c_str(), "e1\ne2\ne3");
  cr_assert_str_eq(result.score().c_str(), "seal of score-i1");
  second->Stop();
}

Test(partition_owner_score, two_owners_at_once_list_one_score) {
  Fixture fixture;
  fixture.score = [](ReceivedRequest&) {};
  const auto first = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"});
  cr_assert(fixture.WaitForCalls(/*scorer=*/true, 1));
  const auto second = fixture.StartOwner(2);
  cr_assert(fixture.WaitForCalls(/*scorer=*/true, 2));
  const auto calls = fixture.Calls(/*scorer=*/true);
  calls[0]->done(serving::CompleteResponse{200, {}, {}, "first"});
  calls[1]->done(serving::CompleteResponse{200, {}, {}, "second"});
  cr_assert(fakes::RunUntil(fixture.loop, [&] { return fixture.lost; }));
  cr_assert(fixture.WaitForResults("b1", 1));
  cr_assert_eq(fixture.Results("b1").size(), 1);
  cr_assert_str_eq(fixture.Results("b1")[0].score().c_str(), "second");
  second->Stop();
}

Test(partition_owner_score, call_that_fails_everywhere_terminates_its_item) {
  Fixture fixture;
  fixture.score = [](ReceivedRequest& received) {
    if (received.request.id.value() == "score-bad") {
      received.done(serving::CompleteResponse{500, {}, {}, {}});
    } else {
      Fixture::AnswerScore(received);
    }
  };
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"bad", "good"});
  cr_assert(fixture.WaitForResults("b1", 2));
  for (const v1::ResultRecord& result : fixture.Results("b1")) {
    const bool bad = result.item() == "bad";
    cr_assert_eq(result.state(),
                 bad ? v1::ITEM_STATE_TERMINATED : v1::ITEM_STATE_COMPLETED);
    cr_assert_eq(result.score().empty(), bad);
  }
  // The batch's route allows three attempts, the scorer's route two.
  cr_assert_eq(fixture.Calls(/*scorer=*/true).size(), 4);
  for (const char* id : {"s1", "s2"}) {
    cr_assert_eq(fixture.request_loads.health().health_state(
                     UpstreamId(id), fixture.clock.now()),
                 serving::HealthState::kHealthy,
                 "%s must not be blamed for a call that fails everywhere", id);
  }
  owner->Stop();
}

Test(partition_owner_score, lost_and_refused_calls_are_repeated_elsewhere) {
  Fixture fixture;
  int calls = 0;
  fixture.score = [&calls](ReceivedRequest& received) {
    switch (++calls) {
      case 1:
        received.done(serving::MayHaveRun{"cut"});
        break;
      case 2:
        received.done(serving::NotRun{"full", /*full=*/true});
        break;
      default:
        Fixture::AnswerScore(received);
    }
  };
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"});
  cr_assert(fixture.WaitForResults("b1", 1));
  const auto sent = fixture.Calls(/*scorer=*/true);
  cr_assert_eq(sent.size(), 3);
  cr_assert(sent[0]->upstream != sent[1]->upstream);
  cr_assert_eq(fixture.scorer_limits[TargetId("scorers")].in_flight(), 0);
  owner->Stop();
}

Test(partition_owner_score, end_of_the_batch_cancels_scorer_calls) {
  Fixture fixture;
  fixture.score = [](ReceivedRequest&) {};
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"});
  cr_assert(fixture.WaitForCalls(/*scorer=*/true, 1));
  fixture.client->End({OrganisationId("org"), "b1"},
                      {milliseconds(500), nullptr}, [](const StoreResult&) {});
  cr_assert(fakes::RunUntil(fixture.loop, [&] {
    return fixture.Calls(/*scorer=*/true)[0]->cancelled;
  }));
  cr_assert_eq(owner->scoring(), 0);
  fakes::RunFor(fixture.loop, milliseconds(200));
  cr_assert_eq(fixture.Calls(/*scorer=*/true).size(), 1);
  cr_assert_eq(fixture.scorer_limits[TargetId("scorers")].in_flight(), 0);
  owner->Stop();
}

// Items of an incomplete group come again in the next batch. Their output is
// reused, and scored for the new batch.
Test(partition_owner_score, resubmitted_item_is_scored_without_a_second_run) {
  Fixture fixture;
  fixture.score = [](ReceivedRequest&) {};
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"});
  cr_assert(fixture.WaitForCalls(/*scorer=*/true, 1));
  fixture.client->End({OrganisationId("org"), "b1"},
                      {milliseconds(500), nullptr}, [](const StoreResult&) {});
  cr_assert(
      fakes::RunUntil(fixture.loop, [&] { return owner->scoring() == 0; }));
  fixture.score = Fixture::AnswerScore;
  fixture.Submit("b2", {"i1"});
  cr_assert(fixture.WaitForResults("b2", 1));
  cr_assert_eq(fixture.Calls(/*scorer=*/false).size(), 1);
  cr_assert_eq(fixture.Calls(/*scorer=*/true).size(), 2);
  owner->Stop();
}

Test(partition_owner_score, item_waits_for_the_route_of_its_scorer) {
  Fixture fixture;
  serving::Manifest without_route = MakeManifest(/*single_version=*/false);
  without_route.version = 3;
  fixture.catalog.Apply(without_route);
  const auto owner = fixture.StartOwner(1);
  fixture.Submit("b1", {"i1"});
  cr_assert(
      fakes::RunUntil(fixture.loop, [&] { return owner->scoring() == 1; }));
  fakes::RunFor(fixture.loop, milliseconds(150));
  cr_assert(fixture.Calls(/*scorer=*/true).empty());
  serving::Manifest with_route = without_route;
  with_route.version = 4;
  serving::Route route;
  route.host = "h";
  route.path_prefix = "/scores/";
  route.services = {{TargetId("scorers"), 1}};
  with_route.routes.push_back(route);
  fixture.catalog.Apply(with_route);
  cr_assert(fixture.WaitForResults("b1", 1));
  owner->Stop();
}

}  // namespace
}  // namespace mulberryroad::batches
