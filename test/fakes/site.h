// In-process fixture of one node with two engines and one plain service.

#ifndef MULBERRYROAD_TEST_FAKES_SITE_H_
#define MULBERRYROAD_TEST_FAKES_SITE_H_

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <utility>

#include "base/digest.h"
#include "base/json.h"
#include "fakes/entry_node.h"
#include "fakes/fake_engine.h"
#include "fakes/fake_service.h"
#include "mulberryroad/api.pb.h"

namespace mulberryroad::fakes {

inline v1::Declaration MakeDeclaration() {
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

/// One node, two engines and one plain service. Ready when constructed.
struct GatewayFixture {
  explicit GatewayFixture(entry::GatewayOptions options = {})
      : engine_a(world.loop, "drafting", 1, v1::FakeEngineControl()),
        engine_b(world.loop, "drafting", 1, v1::FakeEngineControl()),
        service(world.loop) {
    world.configuration.edit() = MakeDeclaration();
    world.configuration.Grant("secret-a", "a");
    engine_a.Listen(engine_a_endpoint);
    engine_b.Listen(engine_b_endpoint);
    service.Listen(service_endpoint);
    world.directory.Add("engine-a", "drafting", "north", engine_a_endpoint);
    world.directory.Add("engine-b", "drafting", "north", engine_b_endpoint);
    world.directory.Add("service", "intake", "north", service_endpoint);
    node = std::make_unique<EntryNode>(world, "n1", std::move(options));
    node->members.Put("n1", node->peer);
    node->members.SetOwner("n1");
    node->leases.Grant(kLedgerRole, 1);
    cr_assert(RunUntil(world.loop, [&] { return node->ready(); }),
              "expected the node to list its upstreams and serve its ledger");
  }

  http::Result Post(const std::string& path, const std::string& body,
                    const std::string& key = "secret-a") {
    return world.SendAndWait(
        node->Request(http::Method::kPost, path, body, key));
  }

  /// Returns the statistics of a fake upstream.
  template <typename Stats>
  Stats StatsOf(const Endpoint& endpoint) {
    http::ClientRequest request;
    request.endpoint = endpoint;
    request.path = "/stats";
    const http::Result result = world.SendAndWait(request);
    Stats stats;
    const auto* response = std::get_if<http::Response>(&result);
    cr_assert(response != nullptr &&
              base::FromJson(response->body, &stats, nullptr));
    return stats;
  }

  /// Returns how often a keyed request was executed by the service.
  std::uint32_t Executions(const std::string& idempotency_key) {
    const auto stats = StatsOf<v1::FakeServiceStats>(service_endpoint);
    const auto found = stats.effects().find(idempotency_key);
    return found == stats.effects().end() ? 0 : found->second;
  }

  /// Posts a report with an idempotency key through a node.
  http::Result PostReport(const EntryNode& through,
                          const std::string& idempotency_key,
                          const std::string& body = "landed") {
    http::ClientRequest request =
        through.Request(http::Method::kPost, "/intake/reports", body);
    request.headers.push_back({"Idempotency-Key", idempotency_key});
    return world.SendAndWait(std::move(request));
  }

  TestWorld world;
  Endpoint engine_a_endpoint = Loopback();
  Endpoint engine_b_endpoint = Loopback();
  Endpoint service_endpoint = Loopback();
  FakeEngine engine_a;
  FakeEngine engine_b;
  FakeService service;
  std::unique_ptr<EntryNode> node;
};

inline constexpr const char* kCompletion =
    R"({"model":"drafting","prompt":"north field","max_tokens":20})";
inline constexpr const char* kStreamedCompletion =
    R"({"model":"drafting","prompt":"north field","max_tokens":20,"stream":true})";

inline const http::Response* ResponseOf(const http::Result& result) {
  const auto* response = std::get_if<http::Response>(&result);
  cr_assert_not_null(response, "expected a response, got: %s",
                     std::get<http::Failure>(result).reason.c_str());
  return response;
}

inline v1::ApiError ErrorOf(const http::Response& response) {
  v1::ApiError error;
  std::string reason;
  cr_assert(base::FromJson(response.body, &error, &reason),
            "expected an ApiError in the body: %s", response.body.c_str());
  return error;
}

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_SITE_H_
