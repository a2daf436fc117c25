// Responses to requests that the ingress refuses or rejects.

#include "platform/ingress.h"

#include "fakes/memory_store.h"
#include "fakes/serving_fixture.h"

namespace mulberryroad::platform_adapter {
namespace {

serving::Manifest MakeManifest() {
  serving::Manifest manifest;
  manifest.version = 1;
  serving::Route route;
  route.name = "reports";
  route.host = "desk.example";
  route.path_prefix = "/reports/";
  route.kind = serving::RouteKind::kIdempotent;
  route.services = {{TargetId("desk"), 1}};
  serving::Route batches = route;
  batches.name = "steps";
  batches.path_prefix = "/steps/";
  batches.kind = serving::RouteKind::kBatch;
  manifest.routes = {route, batches};
  manifest.organisations = {{OrganisationId("org"), {"key"}}};
  manifest.limits.max_header_bytes = 1'000;
  manifest.limits.max_body_bytes = 2'000;
  return manifest;
}

constexpr std::size_t kMaxBatchBytes = 4'000;

/// HTTP server with an ingress, a store and an upstream.
struct Fixture : fakes::ServingFixture {
  fakes::MemoryStore store{loop};
  Ingress ingress{context,
                  std::make_shared<batches::BatchClient>(loop, clock, store, 3),
                  1'000,
                  kMaxBatchBytes,
                  [] { return std::nullopt; },
                  [this](const base::RequestDuration& duration) {
                    return duration.limit <= time_left;
                  },
                  [] { return std::nullopt; }};
  /// Time for which the node admits requests.
  std::chrono::milliseconds time_left = std::chrono::milliseconds::max();

  Fixture() {
    ingress.Register(server);
    directory.Put(fakes::MakeUpstream("u1", "desk"));
    upstreams.script = [](fakes::ReceivedRequest& received) {
      received.done(serving::CompleteResponse{200, {}, "done"});
    };
  }

  /// Sends a request and returns its response.
  /// @param padding size of an additional header, in bytes
  /// @param body size of the body, in bytes
  http::Response SendRequest(const std::string& path, const std::string& key,
                             std::size_t padding, std::size_t body) {
    return Post(path,
                {{"Host", "desk.example"},
                 {"Request-Id", "r1"},
                 {"Credential", key},
                 {"Deadline-Ms", "1000"},
                 {"Padding", std::string(padding, 'p')}},
                std::string(body, 'b'));
  }
};

struct Case {
  const char* name;
  const char* path;
  const char* key;
  std::size_t padding;
  std::size_t body;
  int status;
};

Test(ingress, rejection_status_matches_reason) {
  Fixture fixture;
  const http::Response without_manifest =
      fixture.SendRequest("/reports/1", "key", 0, 10);
  cr_assert_eq(without_manifest.status, 503, "without a manifest: %d",
               without_manifest.status);
  cr_assert(without_manifest.headers.contains("retry-after"));
  fixture.catalog.Apply(MakeManifest());
  const std::vector<Case> cases = {
      {"valid request", "/reports/1", "key", 100, 10, 200},
      {"no route", "/other/1", "key", 0, 10, 404},
      {"unknown key", "/reports/1", "none", 0, 10, 401},
      {"headers over the limit", "/reports/1", "key", 1'000, 10, 431},
      {"body over the limit", "/reports/1", "key", 0, 2'001, 413},
  };
  for (const Case& test_case : cases) {
    const http::Response response = fixture.SendRequest(
        test_case.path, test_case.key, test_case.padding, test_case.body);
    cr_expect_eq(response.status, test_case.status,
                 "%s: status %d, expected %d", test_case.name, response.status,
                 test_case.status);
  }
  cr_assert_eq(fixture.upstreams.requests.size(), 1,
               "only the valid request is forwarded");
}

// Guards against requests that a stopping node takes and then abandons.
Test(ingress, stopping_node_takes_a_request_that_it_abandons) {
  Fixture fixture;
  fixture.catalog.Apply(MakeManifest());
  // `SendRequest` allows 1,000 ms.
  fixture.time_left = std::chrono::milliseconds(999);
  const http::Response refused =
      fixture.SendRequest("/reports/1", "key", 0, 10);
  cr_assert_eq(refused.status, 503);
  cr_assert_str_eq(refused.headers.at("retry-after").c_str(), "0.000");
  cr_assert(fixture.upstreams.requests.empty());
  fixture.time_left = std::chrono::milliseconds(1'000);
  cr_assert_eq(fixture.SendRequest("/reports/1", "key", 0, 10).status, 200);
}

// Guards against a batch that no owner has the memory to open.
Test(ingress, batch_over_the_memory_of_an_owner_is_accepted) {
  Fixture fixture;
  fixture.catalog.Apply(MakeManifest());
  const auto submit = [&fixture](std::size_t items) {
    std::string body = R"({"items":[)";
    for (std::size_t i = 0; i < items; ++i) {
      body += std::string(i > 0 ? "," : "") + R"({"id":")" + std::to_string(i) +
              R"(","path":"/reports/1","body":""})";
    }
    return fixture
        .Post("/steps/1",
              {{"Host", "desk.example"},
               {"Request-Id", "batch"},
               {"Credential", "key"},
               {"Deadline-Ms", "1000"}},
              body + "]}")
        .status;
  };
  const std::size_t most = kMaxBatchBytes / batches::ItemMemoryNeed(0, 1);
  cr_expect_eq(submit(most), 413);
  const int status = submit(most - 1);
  cr_expect_eq(status, 202, "%d", status);
}

}  // namespace
}  // namespace mulberryroad::platform_adapter
