#include "process/scenario.h"

#include "base/digest.h"
#include "base/json.h"
#include "mulberryroad/platform.pb.h"

namespace mulberryroad::process {

namespace {

constexpr int kOk = 200;
constexpr const char* kServiceAuthorization =
    "Bearer credential-of-the-service";

// Sends a report of its own at each call.
http::Response Report(Cluster* cluster, std::size_t node) {
  static int reports = 0;
  const std::string body = "trial " + std::to_string(++reports);
  return cluster->Post(cluster->node(node).caller, "/intake/reports", body,
                       {{"Authorization", std::string("Bearer ") + kBrestKey}});
}

std::vector<Endpoint> Upstreams(Cluster* cluster, const std::string& target) {
  std::vector<Endpoint> endpoints;
  const auto list =
      cluster->Fetch<v1::VmList>(cluster->vms(), "/vms?target=" + target);
  for (const v1::Vm& vm : list.vms()) {
    if (const auto endpoint = ParseEndpoint(vm.endpoint())) {
      endpoints.push_back(*endpoint);
    }
  }
  return endpoints;
}

}  // namespace

ClusterOptions FastOptions(std::size_t nodes) {
  ClusterOptions options;
  options.nodes = nodes;
  options.node_flags = {"--lease-ttl-ms=2000", "--lease-margin-ms=300",
                        "--probe-interval-ms=100", "--isolation-limit-ms=2000",
                        "--control-interval-ms=200"};
  return options;
}

bool StartServing(Cluster* cluster, std::string* reason) {
  if (!cluster->Start() || !cluster->ApplyEverywhere(ArmorDeclaration())) {
    *reason = cluster->reason();
    return false;
  }
  if (!cluster->WaitForUpstreams("drafting", 3) ||
      !cluster->WaitForUpstreams("intake", 3)) {
    *reason = "the upstreams were not started: " +
              cluster->Get(cluster->ordering(), "/stats").body;
    return false;
  }
  for (std::size_t i = 0; i < cluster->size(); ++i) {
    const bool serves = cluster->WaitFor(kLong, [&] {
      return CompletionStatus(cluster, i, kBrestKey) == kOk &&
             Report(cluster, i).status == kOk;
    });
    if (!serves) {
      *reason =
          cluster->node(i).id + " does not serve: " + Report(cluster, i).body;
      return false;
    }
  }
  return true;
}

std::vector<Endpoint> CallerEndpoints(Cluster* cluster) {
  std::vector<Endpoint> endpoints;
  for (std::size_t i = 0; i < cluster->size(); ++i) {
    endpoints.push_back(cluster->node(i).caller);
  }
  return endpoints;
}

std::string WithoutKey(const std::string& declaration, const std::string& key) {
  const std::size_t begin = declaration.find("  keys { name: \"" + key + "\"");
  const std::size_t end = declaration.find('\n', begin);
  return declaration.substr(0, begin) + declaration.substr(end + 1);
}

int CompletionStatus(Cluster* cluster, std::size_t node,
                     const std::string& secret) {
  v1::CompletionRequest body;
  body.set_model("drafting");
  body.set_prompt("short");
  body.set_max_tokens(2);
  return cluster
      ->Post(cluster->node(node).caller, "/v1/completions", base::ToJson(body),
             {{"Authorization", "Bearer " + secret}})
      .status;
}

std::map<std::string, std::uint32_t> ReportEffects(Cluster* cluster) {
  std::map<std::string, std::uint32_t> effects;
  for (const Endpoint& service : Upstreams(cluster, "intake")) {
    const auto stats = cluster->Fetch<v1::FakeServiceStats>(service, "/stats");
    for (const auto& [report, count] : stats.effects()) {
      effects[report] += count;
    }
  }
  return effects;
}

bool AnyForeignAuthorization(Cluster* cluster) {
  const std::string own = base::Sha256Hex(kServiceAuthorization);
  for (const Endpoint& engine : Upstreams(cluster, "drafting")) {
    const auto stats = cluster->Fetch<v1::FakeEngineStats>(engine, "/stats");
    for (const auto& [digest, count] : stats.authorizations()) {
      if (digest != own) {
        return true;
      }
    }
  }
  for (const Endpoint& service : Upstreams(cluster, "intake")) {
    const auto stats = cluster->Fetch<v1::FakeServiceStats>(service, "/stats");
    for (const auto& [digest, count] : stats.authorizations()) {
      if (digest != own) {
        return true;
      }
    }
  }
  return false;
}

std::string ReportFault(Cluster* cluster, const Load& load) {
  const std::map<std::string, std::uint32_t> effects = ReportEffects(cluster);
  for (const auto& [report, count] : effects) {
    if (count > 1) {
      return report + " ran " + std::to_string(count) + " times";
    }
  }
  for (const std::string& report : load.answered_reports()) {
    if (!effects.contains(report)) {
      return report + " was answered and did not run";
    }
  }
  return "";
}

}  // namespace mulberryroad::process
