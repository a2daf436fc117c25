// Keys withdrawn from callers under way.

#include <criterion/criterion.h>

#include <chrono>
#include <string>

#include "base/json.h"
#include "process/scenario.h"

using mulberryroad::process::ArmorDeclaration;
using mulberryroad::process::Cluster;
using mulberryroad::process::ClusterOptions;
using mulberryroad::process::CompletionStatus;
using mulberryroad::process::FastOptions;
using mulberryroad::process::kBrestKey;
using mulberryroad::process::kShort;
using mulberryroad::process::kVannesKey;
using mulberryroad::process::StartServing;
using mulberryroad::process::WithoutKey;

namespace {

constexpr std::chrono::milliseconds kBound{5'000};

bool RefusedEverywhere(Cluster* cluster, const std::string& secret,
                       std::chrono::milliseconds bound) {
  return cluster->WaitFor(bound, [&] {
    for (std::size_t i = 0; i < cluster->size(); ++i) {
      if (CompletionStatus(cluster, i, secret) != 401) {
        return false;
      }
    }
    return true;
  });
}

void Withdraw(Cluster* cluster, std::size_t node) {
  const auto reply =
      cluster->Apply(node, WithoutKey(ArmorDeclaration(), "vannes-crews"),
                     cluster->Status(node).config_revision());
  cr_assert(reply.accepted(), "not accepted: %s", reply.reason().c_str());
}

}  // namespace

Test(withdrawn_key, is_refused_on_all_nodes_within_seconds) {
  Cluster cluster(FastOptions());
  std::string reason;
  cr_assert(StartServing(&cluster, &reason), "%s", reason.c_str());
  Withdraw(&cluster, 0);
  cr_expect(RefusedEverywhere(&cluster, kVannesKey, kBound),
            "a node still honours the key after 5 s");
  cr_expect(CompletionStatus(&cluster, 1, kBrestKey) == 200,
            "another organisation's key is refused");
}

Test(withdrawn_key, ends_a_stream_under_way) {
  Cluster cluster(FastOptions());
  std::string reason;
  cr_assert(StartServing(&cluster, &reason), "%s", reason.c_str());
  mulberryroad::http::ClientRequest request;
  request.endpoint = cluster.node(1).caller;
  request.method = mulberryroad::http::Method::kPost;
  request.path = "/v1/completions";
  request.headers = {{"Authorization", std::string("Bearer ") + kVannesKey}};
  request.body =
      R"({"model":"drafting","prompt":"long","max_tokens":8000,"stream":true})";
  request.timeout = std::chrono::minutes(1);
  std::string received;
  bool ended = false;
  cluster.client().Send(
      request, [&](const mulberryroad::http::Result&) { ended = true; },
      [&](int, std::string_view piece) {
        received += piece;
        return true;
      });
  cr_assert(cluster.WaitFor(kShort, [&] { return received.size() > 1000; }),
            "the stream does not start: %s", received.c_str());
  Withdraw(&cluster, 0);
  cr_expect(cluster.WaitFor(kBound, [&] { return ended; }),
            "the stream goes on 5 s after the withdrawal");
  cr_expect(received.find("\"done\":true") == std::string::npos,
            "the stream ended as if whole");
}

Test(withdrawn_key, during_a_log_outage_is_refused_once_the_log_is_back) {
  Cluster cluster(FastOptions());
  std::string reason;
  cr_assert(StartServing(&cluster, &reason), "%s", reason.c_str());
  cluster.Control(cluster.log(), R"({"faults":{"outage":true}})");
  const auto reply =
      cluster.Apply(0, WithoutKey(ArmorDeclaration(), "vannes-crews"),
                    cluster.Status(0).config_revision());
  cr_expect(!reply.accepted(), "accepted without the log");
  // All nodes see the outage, so that callers are served on.
  cluster.Pump(std::chrono::seconds(3));
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    const int status = CompletionStatus(&cluster, i, kBrestKey);
    cr_expect(status == 200, "node %zu answers %d during the outage", i,
              status);
  }
  cluster.Control(cluster.log(), R"({"faults":{"outage":false}})");
  cluster.WaitFor(kShort, [&] {
    return cluster
        .Apply(0, WithoutKey(ArmorDeclaration(), "vannes-crews"),
               cluster.Status(0).config_revision())
        .accepted();
  });
  cr_expect(RefusedEverywhere(&cluster, kVannesKey, kBound),
            "a node still honours the key after 5 s");
}

Test(withdrawn_key, is_not_honoured_by_a_node_that_is_cut_off) {
  ClusterOptions options = FastOptions();
  options.node_on_second_log = 2;
  Cluster cluster(options);
  std::string reason;
  cr_assert(StartServing(&cluster, &reason), "%s", reason.c_str());
  // Node 2 loses the log and all its peers, so that it cannot know whether the
  // key was withdrawn meanwhile.
  cluster.Control(cluster.log(), R"({"second_outage":true})");
  cluster.List(cluster.node(2), false);
  cluster.Control(cluster.vms(), "{}");
  cluster.node(0).process->Kill();
  cluster.node(1).process->Kill();
  const bool refused = cluster.WaitFor(
      kBound, [&] { return CompletionStatus(&cluster, 2, kVannesKey) != 200; });
  cr_expect(refused, "the node honours keys 5 s after its isolation");
}
