// Requests that must run at most once, repeated at another node.

#include <criterion/criterion.h>

#include <string>

#include "mulberryroad/platform.pb.h"
#include "process/scenario.h"

using mulberryroad::process::Cluster;
using mulberryroad::process::FastOptions;
using mulberryroad::process::kBrestKey;
using mulberryroad::process::kShort;
using mulberryroad::process::ReportEffects;
using mulberryroad::process::StartServing;

namespace {

mulberryroad::http::Response Report(Cluster* cluster, std::size_t node,
                                    const std::string& key,
                                    const std::string& body) {
  return cluster->Post(cluster->node(node).caller, "/intake/reports", body,
                       {{"Authorization", std::string("Bearer ") + kBrestKey},
                        {"Idempotency-Key", key}});
}

void ControlServices(Cluster* cluster, const std::string& json) {
  const auto list = cluster->Fetch<mulberryroad::v1::VmList>(
      cluster->vms(), "/vms?target=intake");
  for (const auto& vm : list.vms()) {
    cluster->Control(*mulberryroad::ParseEndpoint(vm.endpoint()), json);
  }
}

}  // namespace

Test(repeated_report, at_another_node_gets_the_first_answer) {
  Cluster cluster(FastOptions());
  std::string reason;
  cr_assert(StartServing(&cluster, &reason), "%s", reason.c_str());
  const auto first = Report(&cluster, 0, "key-1", "payload in tidal mud");
  cr_assert(first.status == 200, "refused: %s", first.body.c_str());
  // The outcome is written after the answer; until then the repeat is refused
  // as one that may have run.
  mulberryroad::http::Response second;
  cluster.WaitFor(kShort, [&] {
    second = Report(&cluster, 1, "key-1", "payload in tidal mud");
    return second.status != 409;
  });
  cr_expect(second.status == 200 && second.body == first.body,
            "expected the first answer, found %d: %s", second.status,
            second.body.c_str());
  const auto other = Report(&cluster, 2, "key-1", "another payload");
  cr_expect(other.status == 422, "expected 422, found %d", other.status);
  const auto effects = ReportEffects(&cluster);
  // The service counts by the key, so that a run of the mismatch shows too.
  cr_expect(effects.at("key-1") == 1, "ran %u times", effects.at("key-1"));
}

Test(repeated_report, whose_first_answer_was_cut_is_not_run_again) {
  Cluster cluster(FastOptions());
  std::string reason;
  cr_assert(StartServing(&cluster, &reason), "%s", reason.c_str());
  ControlServices(&cluster, R"({"cut_answers":1})");
  const auto first = Report(&cluster, 0, "key-2", "payload on a roof");
  cr_expect(first.status == 502, "expected 502, found %d: %s", first.status,
            first.body.c_str());
  cr_expect(first.body.find("may have run") != std::string::npos,
            "no verdict: %s", first.body.c_str());
  ControlServices(&cluster, R"({"cut_answers":0})");
  const auto second = Report(&cluster, 1, "key-2", "payload on a roof");
  cr_expect(second.status == 409, "expected 409, found %d: %s", second.status,
            second.body.c_str());
  cr_expect(ReportEffects(&cluster).at("key-2") == 1, "ran twice");
}

Test(repeated_report, of_a_killed_entry_is_not_run_again) {
  Cluster cluster(FastOptions());
  std::string reason;
  cr_assert(StartServing(&cluster, &reason), "%s", reason.c_str());
  ControlServices(&cluster, R"({"faults":{"delay_ms":60000}})");
  mulberryroad::http::ClientRequest request;
  request.endpoint = cluster.node(0).caller;
  request.method = mulberryroad::http::Method::kPost;
  request.path = "/intake/reports";
  request.headers = {{"Authorization", std::string("Bearer ") + kBrestKey},
                     {"Idempotency-Key", "key-3"}};
  request.body = "payload in a hedge";
  cluster.client().Send(request, [](const mulberryroad::http::Result&) {});
  cr_assert(
      cluster.WaitFor(
          kShort, [&] { return ReportEffects(&cluster).contains("key-3"); }),
      "the report does not reach a service");
  cluster.node(0).process->Kill();
  ControlServices(&cluster, R"({"faults":{"delay_ms":0}})");
  mulberryroad::http::Response second;
  cluster.WaitFor(kShort, [&] {
    second = Report(&cluster, 1, "key-3", "payload in a hedge");
    return second.status != 503;
  });
  cr_expect(second.status == 409, "expected 409, found %d: %s", second.status,
            second.body.c_str());
  cr_expect(ReportEffects(&cluster).at("key-3") == 1, "ran twice");
}

Test(crossed_answer, is_given_to_no_caller) {
  Cluster cluster(FastOptions());
  std::string reason;
  cr_assert(StartServing(&cluster, &reason), "%s", reason.c_str());
  ControlServices(&cluster, R"({"crossed_answers":1})");
  const auto crossed = Report(&cluster, 0, "key-4", "payload in a ditch");
  cr_expect(crossed.status == 502, "expected 502, found %d: %s", crossed.status,
            crossed.body.c_str());
  ControlServices(&cluster, R"({"crossed_answers":0,"surplus_answers":1})");
  const auto surplus = Report(&cluster, 1, "key-5", "payload in a barn");
  cr_expect(surplus.body == "payload in a barn", "found %s",
            surplus.body.c_str());
  const auto next = Report(&cluster, 1, "key-6", "payload in a field");
  cr_expect(next.body == "payload in a field", "found %s", next.body.c_str());
}
