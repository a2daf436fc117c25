// Tests the responses to callers, and how often requests are executed, when
// upstreams, nodes, the log or the caller's key fail.

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string_view>

#include "fakes/site.h"
#include "http/server_sent_events.h"

namespace mulberryroad {
namespace {

using fakes::AnswerOf;
using fakes::EntryNode;
using fakes::ErrorOf;
using fakes::FakeEngine;
using fakes::kCompletion;
using fakes::RunUntil;
using fakes::Site;
using http::Method;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Polls a condition and runs the loop for 10 ms between the checks. For
/// conditions that run the loop themselves, such as statistics read over HTTP.
bool Becomes(Site* site, const std::function<bool()>& condition) {
  constexpr int kLooks = 500;
  for (int look = 0; look < kLooks; ++look) {
    if (condition()) {
      return true;
    }
    RunUntil(
        site->world.loop, [] { return false; }, milliseconds{10});
  }
  return false;
}

/// Returns the number of generations cancelled at the engines.
std::uint64_t Cancelled(Site* site) {
  return site->StatsOf<v1::FakeEngineStats>(site->engine_a_at).cancelled() +
         site->StatsOf<v1::FakeEngineStats>(site->engine_b_at).cancelled();
}

/// Adds a second node that shares the log and the upstreams. The first node
/// remains the dispatcher.
std::unique_ptr<EntryNode> AddNode(Site* site, entry::GatewayOptions options) {
  auto node = std::make_unique<EntryNode>(site->world, "n2", options);
  for (EntryNode* at : {site->node.get(), node.get()}) {
    at->members.Put("n1", site->node->peer);
    at->members.Put("n2", node->peer);
    at->members.SetOwner("n1");
  }
  return node;
}

struct CrossedAnswer {
  const char* name;
  std::function<void(Site*)> fault;
};

Test(request_failures, a_completion_gets_its_own_whole_answer) {
  const std::vector<CrossedAnswer> cases = {
      {"responses of other requests from one engine",
       [](Site* site) { site->engine_a.control().set_crossed_answers(1); }},
      {"truncated responses from one engine",
       [](Site* site) { site->engine_a.control().set_cut_answers(1); }},
      {"an engine that disconnects before executing",
       [](Site* site) {
         site->engine_a.control().mutable_faults()->set_lose_before(1);
       }},
      {"an engine in outage",
       [](Site* site) {
         site->engine_a.control().mutable_faults()->set_outage(true);
       }},
      {"an engine that is shut down",
       [](Site* site) { site->engine_a.Shut(); }},
  };
  for (const CrossedAnswer& crossed : cases) {
    Site site;
    crossed.fault(&site);
    for (int number = 0; number < 4; ++number) {
      const http::Result result = site.Post("/v1/completions", kCompletion);
      const http::Response& response = *AnswerOf(result);
      cr_assert_eq(response.status, 200, "%s: status %d: %s", crossed.name,
                   response.status, response.body.c_str());
      v1::CompletionChunk chunk;
      cr_assert(base::FromJson(response.body, &chunk, nullptr));
      cr_expect_eq(chunk.text(), FakeEngine::TextOf("north field", 0, 20),
                   "%s: got \"%s\"", crossed.name, chunk.text().c_str());
      cr_assert_eq(chunk.versions_size(), 1, "%s", crossed.name);
      cr_expect_eq(chunk.versions(0).end_token(), 20U, "%s", crossed.name);
    }
    const auto& counted = site.node->meter.counted["a"];
    cr_expect_eq(counted.size(), 4U, "%s: billed %zu times", crossed.name,
                 counted.size());
  }
}

struct ServiceFault {
  const char* name;
  std::function<void(v1::FakeServiceControl*)> fault;
  int status;
  const char* verdict;
  std::uint32_t effects;
  int repeat_status;
  const char* repeat_verdict;
};

Test(request_failures, a_keyed_report_takes_effect_at_most_once) {
  const std::vector<ServiceFault> cases = {
      {"no fault", [](auto*) {}, 200, "", 1, 200, ""},
      {"disconnect before execution",
       [](auto* control) { control->mutable_faults()->set_lose_before(1); },
       502, "may have run", 0, 409, "may have run"},
      {"disconnect after execution",
       [](auto* control) { control->mutable_faults()->set_lose_after(1); }, 502,
       "may have run", 1, 409, "may have run"},
      {"truncated response", [](auto* control) { control->set_cut_answers(1); },
       502, "may have run", 1, 409, "may have run"},
      {"response of another request",
       [](auto* control) { control->set_crossed_answers(1); }, 502,
       "may have run", 1, 409, "may have run"},
      {"surplus bytes after the response",
       [](auto* control) { control->set_surplus_answers(1); }, 200, "", 1, 200,
       ""},
      {"response after the timeout",
       [](auto* control) { control->mutable_faults()->set_delay_ms(700); }, 502,
       "may have run", 1, 409, "may have run"},
  };
  for (const ServiceFault& fault : cases) {
    entry::GatewayOptions options;
    options.request_timeout = milliseconds{300};
    Site site(options);
    fault.fault(&site.service.control());
    const http::Result first = site.Report(*site.node, "k1");
    cr_expect_eq(AnswerOf(first)->status, fault.status,
                 "%s: expected %d, got %d: %s", fault.name, fault.status,
                 AnswerOf(first)->status, AnswerOf(first)->body.c_str());
    if (*fault.verdict != '\0') {
      cr_expect_eq(ErrorOf(*AnswerOf(first)).verdict(), fault.verdict, "%s",
                   fault.name);
    }
    const http::Result again = site.Report(*site.node, "k1");
    cr_expect_eq(AnswerOf(again)->status, fault.repeat_status,
                 "%s, repeated: expected %d, got %d: %s", fault.name,
                 fault.repeat_status, AnswerOf(again)->status,
                 AnswerOf(again)->body.c_str());
    if (*fault.repeat_verdict != '\0') {
      cr_expect_eq(ErrorOf(*AnswerOf(again)).verdict(), fault.repeat_verdict,
                   "%s", fault.name);
    } else {
      cr_expect_eq(AnswerOf(again)->body, "landed", "%s", fault.name);
    }
    // A late response must not be attributed to the next request.
    site.service.control().mutable_faults()->set_delay_ms(0);
    const http::Result other = site.Report(*site.node, "k2", "other");
    cr_expect_eq(AnswerOf(other)->body, "other", "%s: the next request got %s",
                 fault.name, AnswerOf(other)->body.c_str());
    cr_expect_eq(site.Effects("k1"), fault.effects, "%s: executed %u times",
                 fault.name, site.Effects("k1"));
  }
}

Test(request_failures, without_a_key_a_repeat_takes_effect_again) {
  Site site;
  for (int number = 0; number < 2; ++number) {
    site.world.Ask(
        site.node->Request(Method::kPost, "/intake/reports", "unkeyed"));
  }
  cr_expect_eq(site.Effects("unkeyed"), 2U,
               "expected two executions without an idempotency key");
}

Test(request_failures, a_failed_report_without_a_key_is_not_retried) {
  Site site;
  site.service.control().mutable_faults()->set_lose_after(1);
  const http::Result result = site.world.Ask(
      site.node->Request(Method::kPost, "/intake/reports", "unkeyed"));
  cr_expect_eq(AnswerOf(result)->status, 502);
  cr_expect_eq(ErrorOf(*AnswerOf(result)).verdict(), "may have run");
  cr_expect_eq(site.Effects("unkeyed"), 1U);
}

Test(request_failures, a_repeat_at_another_node_gets_the_first_answer) {
  Site site;
  const auto second = AddNode(&site, {});
  cr_expect_eq(AnswerOf(site.Report(*site.node, "k1"))->status, 200);
  const http::Result again = site.Report(*second, "k1");
  cr_expect_eq(AnswerOf(again)->status, 200);
  cr_expect_eq(AnswerOf(again)->headers.count("idempotent-replayed"), 1U);
  cr_expect_eq(site.Effects("k1"), 1U);
  const http::Result other_body = site.Report(*second, "k1", "other");
  cr_expect_eq(AnswerOf(other_body)->status, 422);
  cr_expect_eq(ErrorOf(*AnswerOf(other_body)).verdict(), "not run");
}

Test(request_failures, the_entry_dies_and_the_client_repeats_elsewhere) {
  Site site;
  auto second = AddNode(&site, {});
  site.service.control().mutable_faults()->set_delay_ms(60'000);
  http::ClientRequest request =
      second->Request(Method::kPost, "/intake/reports", "landed");
  request.headers.push_back({"Idempotency-Key", "k1"});
  bool failed = false;
  site.world.caller.Send(request, [&](const http::Result&) { failed = true; });
  cr_assert(Becomes(&site, [&] { return site.Effects("k1") == 1; }));
  second->server.StopAccepting();
  site.world.network.Isolate(second->peer, true);
  site.service.control().mutable_faults()->set_delay_ms(0);
  const http::Result again = site.Report(*site.node, "k1");
  cr_expect_eq(AnswerOf(again)->status, 409, "status %d",
               AnswerOf(again)->status);
  cr_expect_eq(ErrorOf(*AnswerOf(again)).verdict(), "may have run");
  cr_expect_eq(site.Effects("k1"), 1U);
}

Test(request_failures, another_holder_of_the_partition_knows_the_try) {
  Site site;
  auto second = AddNode(&site, {});
  cr_expect_eq(AnswerOf(site.Report(*site.node, "k1"))->status, 200);
  site.node->leases.Revoke(fakes::kLedgerRole);
  const http::Result between = site.Report(*site.node, "k2");
  cr_expect_eq(AnswerOf(between)->status, 503);
  cr_expect_eq(ErrorOf(*AnswerOf(between)).verdict(), "not run");
  cr_expect_eq(AnswerOf(between)->headers.count("retry-after"), 1U);
  second->leases.Grant(fakes::kLedgerRole, 9);
  cr_assert(
      RunUntil(site.world.loop, [&] { return second->ledger_host.serves(0); }));
  for (EntryNode* at : {site.node.get(), second.get()}) {
    at->members.SetOwner("n2");
  }
  cr_assert(RunUntil(site.world.loop, [&] { return second->ready(); }));
  const http::Result again = site.Report(*site.node, "k1");
  cr_expect_eq(AnswerOf(again)->status, 200);
  cr_expect_eq(site.Effects("k1"), 1U);
  cr_expect_eq(AnswerOf(site.Report(*site.node, "k2"))->status, 200);
  cr_expect_eq(site.Effects("k2"), 1U);
}

Test(request_failures, a_log_outage_refuses_keyed_reports_as_not_run) {
  Site site;
  site.world.log.SetDown(true);
  const http::Result refused = site.Report(*site.node, "k1");
  cr_expect_eq(AnswerOf(refused)->status, 503, "status %d",
               AnswerOf(refused)->status);
  cr_expect_eq(ErrorOf(*AnswerOf(refused)).verdict(), "not run");
  cr_expect_eq(site.Effects("k1"), 0U);
  cr_expect_eq(AnswerOf(site.Post("/v1/completions", kCompletion))->status, 200,
               "expected completions to work without the log");
  site.world.log.SetDown(false);
  cr_assert(RunUntil(site.world.loop,
                     [&] { return site.node->gateway.open_requests() == 0; }));
  cr_expect_eq(AnswerOf(site.Report(*site.node, "k1"))->status, 200);
  cr_expect_eq(site.Effects("k1"), 1U);
}

Test(request_failures, a_caller_that_leaves_before_the_intent_stands) {
  Site site;
  site.world.log.SetDelay(milliseconds{200});
  http::ClientRequest request =
      site.node->Request(Method::kPost, "/intake/reports", "landed");
  request.headers.push_back({"Idempotency-Key", "k1"});
  const auto call = site.world.caller.Send(request, [](const http::Result&) {});
  cr_assert(RunUntil(site.world.loop,
                     [&] { return site.node->gateway.open_requests() > 0; }));
  call->Cancel();
  cr_assert(RunUntil(site.world.loop,
                     [&] { return site.node->gateway.open_requests() == 0; }));
  cr_expect_eq(site.Effects("k1"), 0U,
               "expected no execution after the caller disconnected");
  site.world.log.SetDelay(milliseconds{0});
  cr_expect_eq(AnswerOf(site.Report(*site.node, "k1"))->status, 200);
  cr_expect_eq(site.Effects("k1"), 1U);
}

Test(request_failures, a_service_that_cannot_be_reached_was_not_run) {
  Site site;
  site.service.Shut();
  const http::Result result = site.Report(*site.node, "k1");
  cr_expect_eq(AnswerOf(result)->status, 503, "status %d: %s",
               AnswerOf(result)->status, AnswerOf(result)->body.c_str());
  cr_expect_eq(ErrorOf(*AnswerOf(result)).verdict(), "not run");
  cr_expect_eq(AnswerOf(result)->headers.count("retry-after"), 1U);
}

Test(request_failures, a_withdrawn_key_ends_a_stream) {
  Site site;
  site.engine_a.control().set_tokens_per_second(50);
  site.engine_b.control().set_tokens_per_second(50);
  http::ClientRequest request = site.node->Request(
      Method::kPost, "/v1/completions",
      R"({"model":"drafting","prompt":"p","max_tokens":5000,"stream":true})");
  std::string received;
  std::optional<http::Result> result;
  site.world.caller.Send(
      request, [&](http::Result done) { result = std::move(done); },
      [&](int, std::string_view piece) { received += piece; });
  cr_assert(RunUntil(site.world.loop, [&] { return !received.empty(); }));
  site.world.configuration.Withdraw("secret-a");
  const Instant withdrawn = site.world.clock.now();
  cr_assert(RunUntil(site.world.loop, [&] { return result.has_value(); }));
  const auto took = site.world.clock.now() - withdrawn;
  cr_expect(took < seconds{1}, "the stream ended after %lld ms",
            static_cast<long long>(took / milliseconds{1}));
  cr_expect(received.find("event: error") != std::string::npos);
  cr_expect(received.find("\"done\":true") == std::string::npos);
  cr_expect(Becomes(&site, [&] { return Cancelled(&site) == 1; }),
            "expected the engine to see the cancellation");
  cr_expect_eq(AnswerOf(site.Post("/v1/completions", kCompletion))->status, 401,
               "expected the key to be refused on the kept-alive connection");
}

Test(request_failures, upstreams_see_the_service_credential_only) {
  Site site;
  site.Post("/v1/completions", kCompletion);
  site.Report(*site.node, "k1");
  const std::string expected = base::Sha256Hex("Bearer service-credential");
  for (const Endpoint& at : {site.engine_a_at, site.engine_b_at}) {
    const auto stats = site.StatsOf<v1::FakeEngineStats>(at);
    for (const auto& [digest, count] : stats.authorizations()) {
      cr_expect_eq(digest, expected);
    }
  }
  const auto service = site.StatsOf<v1::FakeServiceStats>(site.service_at);
  cr_assert_eq(service.authorizations_size(), 1);
  cr_expect_eq(service.authorizations().begin()->first, expected);
}

Test(request_failures, a_failing_pool_sees_few_retries) {
  constexpr int kRequests = 100;
  entry::GatewayOptions options;
  options.retry_share = 0.1;
  Site site(options);
  for (FakeEngine* engine : {&site.engine_a, &site.engine_b}) {
    engine->control().mutable_faults()->set_lose_before(100'000);
  }
  int retries = 0;
  for (int number = 0; number < kRequests; ++number) {
    const http::Result result = site.Post("/v1/completions", kCompletion);
    cr_assert_neq(AnswerOf(result)->status, 200);
    for (const v1::Decision& line : site.node->decisions.Explain(
             ErrorOf(*AnswerOf(result)).request_id())) {
      retries += line.kind() == "retry" ? 1 : 0;
    }
  }
  cr_expect(retries <= 20,
            "expected at most 20 retries, got %d for %d requests", retries,
            kRequests);
  // Requests that find every upstream suspended are refused without an attempt.
  cr_expect(retries >= 1, "expected at least one retry, got %d", retries);
}

Test(request_failures, a_cancelled_generation_ends_at_the_engine_at_once) {
  Site site;
  dispatch::GenerationRequest wanted;
  wanted.request_id = RequestId("hedge-1");
  wanted.organisation = OrganisationId("a");
  wanted.model = TargetId("drafting");
  wanted.prompt = "p";
  wanted.max_tokens = 100'000;
  wanted.repeatable = true;
  bool called_back = false;
  int pieces = 0;
  const auto call = site.node->generator.Start(
      wanted, [&](const auto&) { ++pieces; },
      [&](const auto&) { called_back = true; });
  cr_assert(RunUntil(site.world.loop, [&] { return pieces > 0; }));
  const auto in_flight = [&] {
    std::uint32_t sum = 0;
    for (const v1::PoolStatus& pool : site.node->host.pools()) {
      sum += pool.in_flight();
    }
    return sum;
  };
  cr_expect_eq(in_flight(), 1U);
  call->Cancel();
  call->Cancel();
  cr_expect_eq(in_flight(), 0U,
               "expected the slot to be released immediately, and once");
  cr_expect(Becomes(&site, [&] { return Cancelled(&site) == 1; }));
  cr_expect(!called_back);
}

Test(request_failures, a_generation_given_up_while_queued_leaves_the_queue) {
  Site site;
  std::vector<std::shared_ptr<dispatch::GenerationCall>> calls;
  for (int number = 0; number < 17; ++number) {
    dispatch::GenerationRequest wanted;
    wanted.request_id = RequestId("g" + std::to_string(number));
    wanted.organisation = OrganisationId("a");
    wanted.model = TargetId("drafting");
    wanted.prompt = "p";
    wanted.max_tokens = 100'000;
    calls.push_back(
        site.node->generator.Start(wanted, nullptr, [](const auto&) {}));
  }
  const auto queued = [&] { return site.node->host.pools()[0].queued(); };
  // There are 8 or 16 slots, depending on whether the engines have reported
  // theirs yet.
  const std::uint32_t before = queued();
  cr_assert_geq(before, 1U);
  calls.back()->Cancel();
  cr_expect_eq(queued(), before - 1);
  for (const auto& call : calls) {
    call->Cancel();
  }
  cr_expect(RunUntil(site.world.loop, [&] {
    return site.node->host.pools()[0].in_flight() == 0;
  }));
}

Test(request_failures, without_a_dispatcher_the_entry_keeps_to_its_share) {
  Site site;
  auto second = AddNode(&site, {});
  cr_expect_eq(AnswerOf(site.world.Ask(second->Request(
                            Method::kPost, "/v1/completions", kCompletion)))
                   ->status,
               200);
  site.world.network.Isolate(site.node->peer, true);
  second->members.SetState("n1", v1::MEMBER_SUSPECT);
  const http::Result result = site.world.Ask(
      second->Request(Method::kPost, "/v1/completions", kCompletion));
  cr_expect_eq(AnswerOf(result)->status, 200, "status %d: %s",
               AnswerOf(result)->status, AnswerOf(result)->body.c_str());
  // Both nodes are eligible, so each may use half of the eight slots that the
  // only known engine reports.
  int granted = 0;
  int refused = 0;
  for (int number = 0; number < 6; ++number) {
    v1::GrantRequest wanted;
    wanted.set_request_id("r" + std::to_string(number));
    wanted.set_target("drafting");
    wanted.set_organisation("a");
    second->broker.Acquire(wanted, [&](const auto& reply) {
      const bool grant = std::holds_alternative<v1::Grant>(reply);
      granted += grant ? 1 : 0;
      refused += grant ? 0 : 1;
    });
  }
  cr_assert(RunUntil(site.world.loop, [&] { return granted + refused == 6; }));
  cr_expect_eq(granted, 4, "granted %d, refused %d", granted, refused);
}

Test(request_failures, a_slow_client_is_cut_off_and_harms_nobody) {
  Site site;
  const int slow = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(site.node->http.port);
  inet_pton(AF_INET, site.node->http.address.c_str(), &address.sin_addr);
  cr_assert_eq(
      connect(slow, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
  constexpr std::string_view kHalf =
      "POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf";
  cr_assert_eq(send(slow, kHalf.data(), kHalf.size(), 0),
               static_cast<ssize_t>(kHalf.size()));
  cr_expect_eq(AnswerOf(site.Post("/v1/completions", kCompletion))->status,
               200);
  std::array<char, 16> buffer{};
  cr_expect(RunUntil(site.world.loop,
                     [&] {
                       return recv(slow, buffer.data(), buffer.size(),
                                   MSG_DONTWAIT) == 0;
                     }),
            "expected the connection to be closed after the client timeout");
  close(slow);
  cr_expect_eq(site.node->gateway.open_requests(), 0U);
}

}  // namespace
}  // namespace mulberryroad
