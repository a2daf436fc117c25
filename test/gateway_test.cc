// The way of a caller's request through one node, with engines and a plain
// service behind it.

#include <criterion/criterion.h>

#include "base/json.h"
#include "fakes/entry_node.h"
#include "fakes/fake_engine.h"
#include "fakes/fake_service.h"
#include "http/server_sent_events.h"
#include "mulberryroad/api.pb.h"

namespace mulberryroad {
namespace {

using http::Method;

v1::Declaration MakeDeclaration() {
  v1::Declaration declaration;
  declaration.add_organisations()->set_name("a");
  v1::Model& model = *declaration.add_models();
  model.set_name("drafting");
  model.set_version(1);
  declaration.add_services()->set_name("intake");
  v1::UpstreamClass& standard = *declaration.add_upstream_classes();
  standard.set_name("standard");
  standard.set_slots(4);
  v1::Pool& engines = *declaration.add_pools();
  engines.set_model("drafting");
  engines.set_failure_domain("north");
  v1::Pool& services = *declaration.add_pools();
  services.set_service("intake");
  services.set_failure_domain("north");
  v1::Route& reports = *declaration.add_routes();
  reports.set_path("/intake/reports");
  reports.set_service("intake");
  v1::Route& status = *declaration.add_routes();
  status.set_path("/intake/status");
  status.set_service("intake");
  status.set_open(true);
  status.set_idempotent(true);
  return declaration;
}

/// One node, two engines and one plain service.
struct Site {
  Site()
      : engine_a(world.loop, "drafting", 1, v1::FakeEngineControl()),
        engine_b(world.loop, "drafting", 1, v1::FakeEngineControl()),
        service(world.loop) {
    world.configuration.edit() = MakeDeclaration();
    world.configuration.Grant("secret-a", "a");
    const Endpoint a = fakes::Loopback();
    const Endpoint b = fakes::Loopback();
    const Endpoint s = fakes::Loopback();
    engine_a.Listen(a);
    engine_b.Listen(b);
    service.Listen(s);
    world.directory.Add("engine-a", "drafting", "north", a);
    world.directory.Add("engine-b", "drafting", "north", b);
    world.directory.Add("service", "intake", "north", s);
    node = std::make_unique<fakes::EntryNode>(world, "n1");
    node->members.Put("n1", node->peer);
    node->members.SetOwner("n1");
    node->leases.Grant(fakes::kLedgerRole, 1);
    cr_assert(fakes::RunUntil(world.loop, [&] { return node->ready(); }),
              "the node sees its upstreams and serves its ledger");
  }

  http::Result Post(const std::string& path, const std::string& body,
                    const std::string& key = "secret-a") {
    return world.Ask(node->Request(Method::kPost, path, body, key));
  }

  fakes::World world;
  fakes::FakeEngine engine_a;
  fakes::FakeEngine engine_b;
  fakes::FakeService service;
  std::unique_ptr<fakes::EntryNode> node;
};

constexpr const char* kCompletion =
    R"({"model":"drafting","prompt":"north field","max_tokens":20})";
constexpr const char* kStreamed =
    R"({"model":"drafting","prompt":"north field","max_tokens":20,"stream":true})";

const http::Response* Answer(const http::Result& result) {
  const auto* response = std::get_if<http::Response>(&result);
  cr_assert_not_null(response, "expected an answer, got: %s",
                     std::get<http::Failure>(result).reason.c_str());
  return response;
}

v1::ApiError ErrorOf(const http::Response& response) {
  v1::ApiError error;
  std::string reason;
  cr_assert(base::FromJson(response.body, &error, &reason),
            "the body is no typed error: %s", response.body.c_str());
  return error;
}

Test(gateway, answers_a_plain_completion_whole) {
  Site site;
  const http::Result result = site.Post("/v1/completions", kCompletion);
  const http::Response& response = *Answer(result);
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
  const auto& counted = site.node->meter.counted["a"];
  cr_assert_eq(counted.size(), 1U, "counted %zu times", counted.size());
  cr_expect_eq(counted[0].generated_tokens, 20U);
  cr_expect_eq(site.node->gateway.open_requests(), 0U);
}

Test(gateway, streams_a_completion_as_events) {
  Site site;
  const http::Result result = site.Post("/v1/completions", kStreamed);
  const http::Response& response = *Answer(result);
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
  cr_expect(done, "the last event says so");
  cr_expect_eq(text, fakes::FakeEngine::TextOf("north field", 0, 20));
}

struct BadInput {
  const char* name;
  Method method;
  const char* path;
  std::string body;
  const char* key;
  int status;
};

Test(gateway, answers_bad_input_with_status_and_verdict) {
  Site site;
  const std::vector<BadInput> cases = {
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
      {"prefix without a segment's end", Method::kPost, "/intake/reportsx", "x",
       "secret-a", 404},
      {"wrong method", Method::kGet, "/v1/completions", "", "secret-a", 405},
  };
  for (const BadInput& bad : cases) {
    const http::Result result = site.world.Ask(
        site.node->Request(bad.method, bad.path, bad.body, bad.key));
    const http::Response& response = *Answer(result);
    cr_expect_eq(response.status, bad.status, "%s: expected %d, got %d: %s",
                 bad.name, bad.status, response.status, response.body.c_str());
    cr_expect_eq(ErrorOf(response).verdict(), "not run", "%s: verdict \"%s\"",
                 bad.name, ErrorOf(response).verdict().c_str());
  }
  cr_expect(site.node->meter.counted.empty(), "nothing is billed");
  cr_expect_eq(site.node->gateway.open_requests(), 0U);
}

Test(gateway, serves_an_open_route_without_a_key) {
  Site site;
  const http::Result result = site.Post("/intake/status", "open?", "");
  cr_expect_eq(Answer(result)->status, 200);
  cr_expect_eq(Answer(result)->body, "open?");
}

Test(gateway, refuses_keys_while_isolated) {
  Site site;
  site.world.configuration.SetIsolated(true);
  const http::Result result = site.Post("/v1/completions", kCompletion);
  const http::Response& response = *Answer(result);
  cr_expect_eq(response.status, 503);
  cr_expect_eq(response.headers.count("retry-after"), 1U);
  cr_expect_eq(ErrorOf(response).verdict(), "not run");
}

Test(gateway, refuses_at_once_when_no_upstream_is_there) {
  Site site;
  site.world.directory.list().clear_vms();
  cr_assert(fakes::RunUntil(site.world.loop, [&] {
    for (const v1::PoolStatus& pool : site.node->host.pools()) {
      if (pool.upstreams_size() > 0) {
        return false;
      }
    }
    return true;
  }));
  const http::Result result = site.Post("/v1/completions", kCompletion);
  const http::Response& response = *Answer(result);
  cr_expect_eq(response.status, 503);
  cr_expect_eq(response.headers.count("retry-after"), 1U);
  cr_expect_eq(ErrorOf(response).verdict(), "not run");
}

}  // namespace
}  // namespace mulberryroad
