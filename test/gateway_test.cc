// Tests callers' requests to one node with two engines and one plain service.

#include <criterion/criterion.h>

#include "fakes/site.h"
#include "http/server_sent_events.h"
#include "mulberryroad/api.pb.h"

namespace mulberryroad {
namespace {

using fakes::ErrorOf;
using fakes::GatewayFixture;
using fakes::kCompletion;
using fakes::kStreamedCompletion;
using fakes::ResponseOf;
using http::Method;

Test(gateway, returns_complete_response_without_streaming) {
  GatewayFixture fixture;
  const http::Result result = fixture.Post("/v1/completions", kCompletion);
  const http::Response& response = *ResponseOf(result);
  cr_assert_eq(response.status, 200, "status %d: %s", response.status,
               response.body.c_str());
  v1::CompletionChunk chunk;
  cr_assert(base::FromJson(response.body, &chunk, nullptr));
  cr_expect(chunk.done());
  cr_expect_eq(chunk.tokens(), 20U);
  cr_expect_eq(chunk.text(), fakes::FakeEngine::TextOf("north field", 0, 20));
  cr_assert_eq(chunk.versions_size(), 1);
  cr_expect_eq(chunk.versions(0).version(), 1U);
  cr_expect_eq(chunk.versions(0).end_token(), 20U);
  const auto& counted = fixture.node->meter.counted["a"];
  cr_assert_eq(counted.size(), 1U, "counted %zu times", counted.size());
  cr_expect_eq(counted[0].generated_tokens, 20U);
  cr_expect_eq(fixture.node->gateway.open_requests(), 0U);
}

Test(gateway, streams_completion_as_server_sent_events) {
  GatewayFixture fixture;
  const http::Result result =
      fixture.Post("/v1/completions", kStreamedCompletion);
  const http::Response& response = *ResponseOf(result);
  cr_assert_eq(response.status, 200);
  cr_expect_eq(response.headers.at("content-type"), "text/event-stream");
  http::EventParser parser;
  std::string text;
  bool done = false;
  for (const std::string& event : parser.Feed(response.body)) {
    v1::CompletionChunk chunk;
    cr_assert(base::FromJson(event, &chunk, nullptr), "%s", event.c_str());
    text += chunk.text();
    done = chunk.done();
  }
  cr_expect(done, "expected the last event to be marked as done");
  cr_expect_eq(text, fakes::FakeEngine::TextOf("north field", 0, 20));
}

struct InvalidRequest {
  const char* name;
  Method method;
  const char* path;
  std::string body;
  const char* key;
  int status;
};

Test(gateway, rejects_invalid_requests_with_status_and_verdict) {
  GatewayFixture fixture;
  const std::vector<InvalidRequest> cases = {
      {"unknown field", Method::kPost, "/v1/completions",
       R"({"model":"drafting","prompt":"x","temprature":1})", "secret-a", 400},
      {"malformed JSON", Method::kPost, "/v1/completions",
       "{\"model\":", "secret-a", 400},
      {"missing prompt", Method::kPost, "/v1/completions",
       R"({"model":"drafting"})", "secret-a", 400},
      {"missing model", Method::kPost, "/v1/completions", R"({"prompt":"x"})",
       "secret-a", 400},
      {"resume by a caller", Method::kPost, "/v1/completions",
       R"({"model":"drafting","prompt":"x","resume_tokens":3})", "secret-a",
       400},
      {"too many tokens", Method::kPost, "/v1/completions",
       R"({"model":"drafting","prompt":"x","max_tokens":999999999})",
       "secret-a", 400},
      {"unknown model", Method::kPost, "/v1/completions",
       R"({"model":"other","prompt":"x"})", "secret-a", 404},
      {"oversize body", Method::kPost, "/v1/completions",
       std::string(5000, 'x'), "secret-a", 413},
      {"wrong key", Method::kPost, "/v1/completions", kCompletion, "secret-z",
       401},
      {"missing key", Method::kPost, "/v1/completions", kCompletion, "", 401},
      {"missing key of a service", Method::kPost, "/intake/reports", "r", "",
       401},
      {"unknown route", Method::kPost, "/nowhere", "x", "secret-a", 404},
      {"prefix that does not end at a segment boundary", Method::kPost,
       "/intake/reportsx", "x", "secret-a", 404},
      {"wrong method", Method::kGet, "/v1/completions", "", "secret-a", 405},
  };
  for (const InvalidRequest& invalid : cases) {
    const http::Result result = fixture.world.SendAndWait(fixture.node->Request(
        invalid.method, invalid.path, invalid.body, invalid.key));
    const http::Response& response = *ResponseOf(result);
    cr_expect_eq(response.status, invalid.status, "%s: expected %d, got %d: %s",
                 invalid.name, invalid.status, response.status,
                 response.body.c_str());
    cr_expect_eq(ErrorOf(response).verdict(), "not run", "%s: verdict \"%s\"",
                 invalid.name, ErrorOf(response).verdict().c_str());
  }
  cr_expect(fixture.node->meter.counted.empty(),
            "expected no usage to be counted");
  cr_expect_eq(fixture.node->gateway.open_requests(), 0U);
}

Test(gateway, serves_open_route_without_key) {
  GatewayFixture fixture;
  const http::Result result = fixture.Post("/intake/status", "open?", "");
  cr_expect_eq(ResponseOf(result)->status, 200);
  cr_expect_eq(ResponseOf(result)->body, "open?");
}

Test(gateway, refuses_keys_while_isolated) {
  GatewayFixture fixture;
  fixture.world.configuration.SetIsolated(true);
  const http::Result result = fixture.Post("/v1/completions", kCompletion);
  const http::Response& response = *ResponseOf(result);
  cr_expect_eq(response.status, 503);
  cr_expect_eq(response.headers.count("retry-after"), 1U);
  cr_expect_eq(ErrorOf(response).verdict(), "not run");
}

Test(gateway, refuses_immediately_if_pool_has_no_upstream) {
  GatewayFixture fixture;
  fixture.world.directory.list().clear_vms();
  cr_assert(fakes::RunUntil(fixture.world.loop, [&] {
    for (const v1::PoolStatus& pool : fixture.node->host.pools()) {
      if (pool.upstreams_size() > 0) {
        return false;
      }
    }
    return true;
  }));
  const http::Result result = fixture.Post("/v1/completions", kCompletion);
  const http::Response& response = *ResponseOf(result);
  cr_expect_eq(response.status, 503);
  cr_expect_eq(response.headers.count("retry-after"), 1U);
  cr_expect_eq(ErrorOf(response).verdict(), "not run");
}

}  // namespace
}  // namespace mulberryroad
