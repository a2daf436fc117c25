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

using fakes::EntryNode;
using fakes::ErrorOf;
using fakes::FakeEngine;
using fakes::GatewayFixture;
using fakes::kCompletion;
using fakes::ResponseOf;
using fakes::RunUntil;
using http::Method;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Polls a condition and runs the loop for 10 ms between the checks. For
/// conditions that run the loop themselves, such as statistics read over HTTP.
bool PollUntil(GatewayFixture* fixture,
               const std::function<bool()>& condition) {
  constexpr int kMaxChecks = 500;
  for (int check = 0; check < kMaxChecks; ++check) {
    if (condition()) {
      return true;
    }
    RunUntil(
        fixture->world.loop, [] { return false; }, milliseconds{10});
  }
  return false;
}

/// Returns the number of generations cancelled at the engines.
std::uint64_t CancelledGenerations(GatewayFixture* fixture) {
  return fixture->StatsOf<v1::FakeEngineStats>(fixture->engine_a_endpoint)
             .cancelled() +
         fixture->StatsOf<v1::FakeEngineStats>(fixture->engine_b_endpoint)
             .cancelled();
}

/// Adds a second node that shares the log and the upstreams. The first node
/// remains the dispatcher.
std::unique_ptr<EntryNode> AddNode(GatewayFixture* fixture,
                                   entry::GatewayOptions options) {
  auto node = std::make_unique<EntryNode>(fixture->world, "n2", options);
  for (EntryNode* member : {fixture->node.get(), node.get()}) {
    member->members.Put("n1", fixture->node->peer);
    member->members.Put("n2", node->peer);
    member->members.SetOwner("n1");
  }
  return node;
}

struct EngineFault {
  const char* name;
  std::function<void(GatewayFixture*)> fault;
};

Test(request_failures, completion_gets_its_own_complete_response) {
  const std::vector<EngineFault> cases = {
      {"responses of other requests from one engine",
       [](GatewayFixture* fixture) {
         fixture->engine_a.control().set_crossed_answers(1);
       }},
      {"truncated responses from one engine",
       [](GatewayFixture* fixture) {
         fixture->engine_a.control().set_cut_answers(1);
       }},
      {"an engine that disconnects before executing",
       [](GatewayFixture* fixture) {
         fixture->engine_a.control().mutable_faults()->set_lose_before(1);
       }},
      {"an engine in outage",
       [](GatewayFixture* fixture) {
         fixture->engine_a.control().mutable_faults()->set_outage(true);
       }},
      {"an engine that is shut down",
       [](GatewayFixture* fixture) { fixture->engine_a.Shut(); }},
  };
  for (const EngineFault& engine_fault : cases) {
    GatewayFixture fixture;
    engine_fault.fault(&fixture);
    for (int number = 0; number < 4; ++number) {
      const http::Result result = fixture.Post("/v1/completions", kCompletion);
      const http::Response& response = *ResponseOf(result);
      cr_assert_eq(response.status, 200, "%s: status %d: %s", engine_fault.name,
                   response.status, response.body.c_str());
      v1::CompletionChunk chunk;
      cr_assert(base::FromJson(response.body, &chunk, nullptr));
      cr_expect_eq(chunk.text(), FakeEngine::TextOf("north field", 0, 20),
                   "%s: got \"%s\"", engine_fault.name, chunk.text().c_str());
      cr_assert_eq(chunk.versions_size(), 1, "%s", engine_fault.name);
      cr_expect_eq(chunk.versions(0).end_token(), 20U, "%s", engine_fault.name);
    }
    const auto& counted = fixture.node->meter.counted["a"];
    cr_expect_eq(counted.size(), 4U, "%s: billed %zu times", engine_fault.name,
                 counted.size());
  }
}

struct ServiceFault {
  const char* name;
  std::function<void(v1::FakeServiceControl*)> fault;
  int status;
  const char* verdict;
  std::uint32_t executions;
  int repeat_status;
  const char* repeat_verdict;
};

Test(request_failures, keyed_request_is_executed_at_most_once) {
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
    GatewayFixture fixture(options);
    fault.fault(&fixture.service.control());
    const http::Result first = fixture.PostReport(*fixture.node, "k1");
    cr_expect_eq(ResponseOf(first)->status, fault.status,
                 "%s: expected %d, got %d: %s", fault.name, fault.status,
                 ResponseOf(first)->status, ResponseOf(first)->body.c_str());
    if (*fault.verdict != '\0') {
      cr_expect_eq(ErrorOf(*ResponseOf(first)).verdict(), fault.verdict, "%s",
                   fault.name);
    }
    const http::Result again = fixture.PostReport(*fixture.node, "k1");
    cr_expect_eq(ResponseOf(again)->status, fault.repeat_status,
                 "%s, repeated: expected %d, got %d: %s", fault.name,
                 fault.repeat_status, ResponseOf(again)->status,
                 ResponseOf(again)->body.c_str());
    if (*fault.repeat_verdict != '\0') {
      cr_expect_eq(ErrorOf(*ResponseOf(again)).verdict(), fault.repeat_verdict,
                   "%s", fault.name);
    } else {
      cr_expect_eq(ResponseOf(again)->body, "landed", "%s", fault.name);
    }
    // A late response must not be attributed to the next request.
    fixture.service.control().mutable_faults()->set_delay_ms(0);
    const http::Result other = fixture.PostReport(*fixture.node, "k2", "other");
    cr_expect_eq(ResponseOf(other)->body, "other",
                 "%s: the next request got %s", fault.name,
                 ResponseOf(other)->body.c_str());
    cr_expect_eq(fixture.Executions("k1"), fault.executions,
                 "%s: executed %u times", fault.name, fixture.Executions("k1"));
  }
}

Test(request_failures, repeat_without_idempotency_key_is_executed_again) {
  GatewayFixture fixture;
  for (int number = 0; number < 2; ++number) {
    fixture.world.SendAndWait(
        fixture.node->Request(Method::kPost, "/intake/reports", "unkeyed"));
  }
  cr_expect_eq(fixture.Executions("unkeyed"), 2U,
               "expected two executions without an idempotency key");
}

Test(request_failures, failed_request_without_idempotency_key_is_not_retried) {
  GatewayFixture fixture;
  fixture.service.control().mutable_faults()->set_lose_after(1);
  const http::Result result = fixture.world.SendAndWait(
      fixture.node->Request(Method::kPost, "/intake/reports", "unkeyed"));
  cr_expect_eq(ResponseOf(result)->status, 502);
  cr_expect_eq(ErrorOf(*ResponseOf(result)).verdict(), "may have run");
  cr_expect_eq(fixture.Executions("unkeyed"), 1U);
}

Test(request_failures, repeat_at_another_node_returns_stored_response) {
  GatewayFixture fixture;
  const auto second = AddNode(&fixture, {});
  cr_expect_eq(ResponseOf(fixture.PostReport(*fixture.node, "k1"))->status,
               200);
  const http::Result again = fixture.PostReport(*second, "k1");
  cr_expect_eq(ResponseOf(again)->status, 200);
  cr_expect_eq(ResponseOf(again)->headers.count("idempotent-replayed"), 1U);
  cr_expect_eq(fixture.Executions("k1"), 1U);
  const http::Result other_body = fixture.PostReport(*second, "k1", "other");
  cr_expect_eq(ResponseOf(other_body)->status, 422);
  cr_expect_eq(ErrorOf(*ResponseOf(other_body)).verdict(), "not run");
}

Test(request_failures, repeat_after_entry_failure_reports_may_have_run) {
  GatewayFixture fixture;
  auto second = AddNode(&fixture, {});
  fixture.service.control().mutable_faults()->set_delay_ms(60'000);
  http::ClientRequest request =
      second->Request(Method::kPost, "/intake/reports", "landed");
  request.headers.push_back({"Idempotency-Key", "k1"});
  bool failed = false;
  fixture.world.caller.Send(request,
                            [&](const http::Result&) { failed = true; });
  cr_assert(PollUntil(&fixture, [&] { return fixture.Executions("k1") == 1; }));
  second->server.StopAccepting();
  fixture.world.network.Isolate(second->peer, true);
  fixture.service.control().mutable_faults()->set_delay_ms(0);
  const http::Result again = fixture.PostReport(*fixture.node, "k1");
  cr_expect_eq(ResponseOf(again)->status, 409, "status %d",
               ResponseOf(again)->status);
  cr_expect_eq(ErrorOf(*ResponseOf(again)).verdict(), "may have run");
  cr_expect_eq(fixture.Executions("k1"), 1U);
}

Test(request_failures, new_partition_holder_returns_stored_response) {
  GatewayFixture fixture;
  auto second = AddNode(&fixture, {});
  cr_expect_eq(ResponseOf(fixture.PostReport(*fixture.node, "k1"))->status,
               200);
  fixture.node->leases.Revoke(fakes::kLedgerRole);
  const http::Result between = fixture.PostReport(*fixture.node, "k2");
  cr_expect_eq(ResponseOf(between)->status, 503);
  cr_expect_eq(ErrorOf(*ResponseOf(between)).verdict(), "not run");
  cr_expect_eq(ResponseOf(between)->headers.count("retry-after"), 1U);
  second->leases.Grant(fakes::kLedgerRole, 9);
  cr_assert(RunUntil(fixture.world.loop,
                     [&] { return second->ledger_host.serves(0); }));
  for (EntryNode* member : {fixture.node.get(), second.get()}) {
    member->members.SetOwner("n2");
  }
  cr_assert(RunUntil(fixture.world.loop, [&] { return second->ready(); }));
  const http::Result again = fixture.PostReport(*fixture.node, "k1");
  cr_expect_eq(ResponseOf(again)->status, 200);
  cr_expect_eq(fixture.Executions("k1"), 1U);
  cr_expect_eq(ResponseOf(fixture.PostReport(*fixture.node, "k2"))->status,
               200);
  cr_expect_eq(fixture.Executions("k2"), 1U);
}

Test(request_failures, log_outage_refuses_keyed_requests_as_not_run) {
  GatewayFixture fixture;
  fixture.world.log.SetDown(true);
  const http::Result refused = fixture.PostReport(*fixture.node, "k1");
  cr_expect_eq(ResponseOf(refused)->status, 503, "status %d",
               ResponseOf(refused)->status);
  cr_expect_eq(ErrorOf(*ResponseOf(refused)).verdict(), "not run");
  cr_expect_eq(fixture.Executions("k1"), 0U);
  cr_expect_eq(ResponseOf(fixture.Post("/v1/completions", kCompletion))->status,
               200, "expected completions to work without the log");
  fixture.world.log.SetDown(false);
  cr_assert(RunUntil(fixture.world.loop, [&] {
    return fixture.node->gateway.open_requests() == 0;
  }));
  cr_expect_eq(ResponseOf(fixture.PostReport(*fixture.node, "k1"))->status,
               200);
  cr_expect_eq(fixture.Executions("k1"), 1U);
}

Test(request_failures,
     caller_disconnect_before_intent_is_stored_executes_nothing) {
  GatewayFixture fixture;
  fixture.world.log.SetDelay(milliseconds{200});
  http::ClientRequest request =
      fixture.node->Request(Method::kPost, "/intake/reports", "landed");
  request.headers.push_back({"Idempotency-Key", "k1"});
  const auto call =
      fixture.world.caller.Send(request, [](const http::Result&) {});
  cr_assert(RunUntil(fixture.world.loop, [&] {
    return fixture.node->gateway.open_requests() > 0;
  }));
  call->Cancel();
  cr_assert(RunUntil(fixture.world.loop, [&] {
    return fixture.node->gateway.open_requests() == 0;
  }));
  cr_expect_eq(fixture.Executions("k1"), 0U,
               "expected no execution after the caller disconnected");
  fixture.world.log.SetDelay(milliseconds{0});
  cr_expect_eq(ResponseOf(fixture.PostReport(*fixture.node, "k1"))->status,
               200);
  cr_expect_eq(fixture.Executions("k1"), 1U);
}

Test(request_failures, unreachable_service_is_reported_as_not_run) {
  GatewayFixture fixture;
  fixture.service.Shut();
  const http::Result result = fixture.PostReport(*fixture.node, "k1");
  cr_expect_eq(ResponseOf(result)->status, 503, "status %d: %s",
               ResponseOf(result)->status, ResponseOf(result)->body.c_str());
  cr_expect_eq(ErrorOf(*ResponseOf(result)).verdict(), "not run");
  cr_expect_eq(ResponseOf(result)->headers.count("retry-after"), 1U);
}

Test(request_failures, withdrawn_key_ends_stream) {
  GatewayFixture fixture;
  fixture.engine_a.control().set_tokens_per_second(50);
  fixture.engine_b.control().set_tokens_per_second(50);
  http::ClientRequest request = fixture.node->Request(
      Method::kPost, "/v1/completions",
      R"({"model":"drafting","prompt":"p","max_tokens":5000,"stream":true})");
  std::string received;
  std::optional<http::Result> result;
  fixture.world.caller.Send(
      request, [&](http::Result done) { result = std::move(done); },
      [&](int, std::string_view piece) {
        received += piece;
        return true;
      });
  cr_assert(RunUntil(fixture.world.loop, [&] { return !received.empty(); }));
  fixture.world.configuration.Withdraw("secret-a");
  const Instant withdrawn = fixture.world.clock.now();
  cr_assert(RunUntil(fixture.world.loop, [&] { return result.has_value(); }));
  const auto took = fixture.world.clock.now() - withdrawn;
  cr_expect(took < seconds{1}, "the stream ended after %lld ms",
            static_cast<long long>(took / milliseconds{1}));
  cr_expect(received.find("event: error") != std::string::npos);
  cr_expect(received.find("\"done\":true") == std::string::npos);
  cr_expect(
      PollUntil(&fixture, [&] { return CancelledGenerations(&fixture) == 1; }),
      "expected the generation to be cancelled at the engine");
  cr_expect_eq(ResponseOf(fixture.Post("/v1/completions", kCompletion))->status,
               401,
               "expected the key to be refused on the kept-alive connection");
}

Test(request_failures, upstreams_receive_only_the_service_credential) {
  GatewayFixture fixture;
  fixture.Post("/v1/completions", kCompletion);
  fixture.PostReport(*fixture.node, "k1");
  const std::string expected = base::Sha256Hex("Bearer service-credential");
  for (const Endpoint& endpoint :
       {fixture.engine_a_endpoint, fixture.engine_b_endpoint}) {
    const auto stats = fixture.StatsOf<v1::FakeEngineStats>(endpoint);
    for (const auto& [digest, count] : stats.authorizations()) {
      cr_expect_eq(digest, expected);
    }
  }
  const auto service =
      fixture.StatsOf<v1::FakeServiceStats>(fixture.service_endpoint);
  cr_assert_eq(service.authorizations_size(), 1);
  cr_expect_eq(service.authorizations().begin()->first, expected);
}

Test(request_failures, retries_to_failing_pool_are_limited) {
  constexpr int kRequests = 100;
  entry::GatewayOptions options;
  options.retry_share = 0.1;
  GatewayFixture fixture(options);
  for (FakeEngine* engine : {&fixture.engine_a, &fixture.engine_b}) {
    engine->control().mutable_faults()->set_lose_before(100'000);
  }
  int retries = 0;
  for (int number = 0; number < kRequests; ++number) {
    const http::Result result = fixture.Post("/v1/completions", kCompletion);
    cr_assert_neq(ResponseOf(result)->status, 200);
    for (const v1::Decision& line : fixture.node->decisions.Explain(
             ErrorOf(*ResponseOf(result)).request_id())) {
      retries += line.kind() == "retry" ? 1 : 0;
    }
  }
  cr_expect(retries <= 20,
            "expected at most 20 retries, got %d for %d requests", retries,
            kRequests);
  // While every upstream is suspended, requests are refused without an attempt.
  cr_expect(retries >= 1, "expected at least one retry, got %d", retries);
}

Test(request_failures, cancelled_generation_is_aborted_at_engine) {
  GatewayFixture fixture;
  dispatch::GenerationRequest request;
  request.request_id = RequestId("hedge-1");
  request.organisation = OrganisationId("a");
  request.model = TargetId("drafting");
  request.prompt = "p";
  request.max_tokens = 100'000;
  request.repeatable = true;
  bool called_back = false;
  int pieces = 0;
  const auto call = fixture.node->generator.Start(
      request, [&](const auto&) { ++pieces; },
      [&](const auto&) { called_back = true; });
  cr_assert(RunUntil(fixture.world.loop, [&] { return pieces > 0; }));
  const auto in_flight = [&] {
    std::uint32_t sum = 0;
    for (const v1::PoolStatus& pool : fixture.node->host.pools()) {
      sum += pool.in_flight();
    }
    return sum;
  };
  cr_expect_eq(in_flight(), 1U);
  call->Cancel();
  call->Cancel();
  cr_expect_eq(in_flight(), 0U,
               "expected the slot to be released immediately, and once");
  cr_expect(
      PollUntil(&fixture, [&] { return CancelledGenerations(&fixture) == 1; }));
  cr_expect(!called_back);
}

Test(request_failures, cancelled_queued_generation_leaves_queue) {
  GatewayFixture fixture;
  std::vector<std::shared_ptr<dispatch::GenerationCall>> calls;
  for (int number = 0; number < 17; ++number) {
    dispatch::GenerationRequest request;
    request.request_id = RequestId("g" + std::to_string(number));
    request.organisation = OrganisationId("a");
    request.model = TargetId("drafting");
    request.prompt = "p";
    request.max_tokens = 100'000;
    calls.push_back(
        fixture.node->generator.Start(request, nullptr, [](const auto&) {}));
  }
  const auto queued = [&] { return fixture.node->host.pools()[0].queued(); };
  // There are 8 or 16 slots, depending on whether the engines have reported
  // theirs yet.
  const std::uint32_t before = queued();
  cr_assert_geq(before, 1U);
  calls.back()->Cancel();
  cr_expect_eq(queued(), before - 1);
  for (const auto& call : calls) {
    call->Cancel();
  }
  cr_expect(RunUntil(fixture.world.loop, [&] {
    return fixture.node->host.pools()[0].in_flight() == 0;
  }));
}

Test(request_failures, entry_without_dispatcher_uses_only_its_share) {
  GatewayFixture fixture;
  auto second = AddNode(&fixture, {});
  cr_expect_eq(ResponseOf(fixture.world.SendAndWait(second->Request(
                              Method::kPost, "/v1/completions", kCompletion)))
                   ->status,
               200);
  fixture.world.network.Isolate(fixture.node->peer, true);
  second->members.SetState("n1", v1::MEMBER_SUSPECT);
  const http::Result result = fixture.world.SendAndWait(
      second->Request(Method::kPost, "/v1/completions", kCompletion));
  cr_expect_eq(ResponseOf(result)->status, 200, "status %d: %s",
               ResponseOf(result)->status, ResponseOf(result)->body.c_str());
  // Both nodes are eligible, so each may use half of the eight slots that the
  // only known engine reports.
  int granted = 0;
  int refused = 0;
  for (int number = 0; number < 6; ++number) {
    v1::GrantRequest request;
    request.set_request_id("r" + std::to_string(number));
    request.set_target("drafting");
    request.set_organisation("a");
    second->broker.Acquire(request, [&](const auto& reply) {
      const bool grant = std::holds_alternative<v1::Grant>(reply);
      granted += grant ? 1 : 0;
      refused += grant ? 0 : 1;
    });
  }
  cr_assert(
      RunUntil(fixture.world.loop, [&] { return granted + refused == 6; }));
  cr_expect_eq(granted, 4, "granted %d, refused %d", granted, refused);
}

Test(request_failures, slow_client_is_disconnected_without_affecting_others) {
  GatewayFixture fixture;
  const int slow = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(fixture.node->http.port);
  inet_pton(AF_INET, fixture.node->http.address.c_str(), &address.sin_addr);
  cr_assert_eq(
      connect(slow, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
  constexpr std::string_view kHalf =
      "POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf";
  cr_assert_eq(send(slow, kHalf.data(), kHalf.size(), 0),
               static_cast<ssize_t>(kHalf.size()));
  cr_expect_eq(ResponseOf(fixture.Post("/v1/completions", kCompletion))->status,
               200);
  std::array<char, 16> buffer{};
  cr_expect(RunUntil(fixture.world.loop,
                     [&] {
                       return recv(slow, buffer.data(), buffer.size(),
                                   MSG_DONTWAIT) == 0;
                     }),
            "expected the connection to be closed after the client timeout");
  close(slow);
  cr_expect_eq(fixture.node->gateway.open_requests(), 0U);
}

}  // namespace
}  // namespace mulberryroad
