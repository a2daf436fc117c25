// The platform down, or its answers lost, during an apply and a window's close.

#include <criterion/criterion.h>

#include <string>

#include "mulberryroad/fakes.pb.h"
#include "process/scenario.h"

using mulberryroad::process::ArmorDeclaration;
using mulberryroad::process::CallerEndpoints;
using mulberryroad::process::Cluster;
using mulberryroad::process::FastOptions;
using mulberryroad::process::kLong;
using mulberryroad::process::kShort;
using mulberryroad::process::Load;
using mulberryroad::process::Replace;
using mulberryroad::process::StartServing;
using mulberryroad::v1::FakeUsageStats;

namespace {

std::string Changed(int weight) {
  return Replace(ArmorDeclaration(), "weight: 2",
                 "weight: " + std::to_string(weight));
}

std::uint64_t ReportedRequests(const FakeUsageStats& stats,
                               const std::string& organisation) {
  std::uint64_t requests = 0;
  for (const auto& report : stats.reports()) {
    if (report.report().organisation() == organisation) {
      requests += report.report().requests();
    }
  }
  return requests;
}

}  // namespace

Test(apply, whose_answers_from_the_log_are_lost_is_in_force_once) {
  Cluster cluster(FastOptions());
  std::string reason;
  cr_assert(StartServing(&cluster, &reason), "%s", reason.c_str());
  const auto base = cluster.Status(1).config_revision();
  cluster.Control(cluster.log(), R"({"faults":{"lose_after":4}})");
  const auto reply = cluster.Apply(1, Changed(5), base);
  cr_expect(reply.accepted(), "not accepted: %s", reply.reason().c_str());
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    cr_expect(cluster.WaitFor(kShort,
                              [&] {
                                return cluster.Status(i).config_revision() ==
                                       reply.revision();
                              }),
              "node %zu: expected revision %lu, found %lu", i, reply.revision(),
              cluster.Status(i).config_revision());
  }
}

Test(apply, by_two_operators_on_one_base_is_accepted_for_one) {
  Cluster cluster(FastOptions());
  std::string reason;
  cr_assert(StartServing(&cluster, &reason), "%s", reason.c_str());
  const auto base = cluster.Status(0).config_revision();
  const auto first = cluster.Apply(0, Changed(5), base);
  const auto second = cluster.Apply(1, Changed(6), base);
  cr_expect(first.accepted() != second.accepted(),
            "expected one of two to be accepted, found %d and %d",
            first.accepted(), second.accepted());
}

Test(apply, during_an_outage_is_refused_and_reverts_nothing) {
  Cluster cluster(FastOptions());
  std::string reason;
  cr_assert(StartServing(&cluster, &reason), "%s", reason.c_str());
  const auto base = cluster.Status(0).config_revision();
  cluster.Control(cluster.log(), R"({"faults":{"outage":true}})");
  const auto reply = cluster.Apply(0, Changed(5), base);
  cr_expect(!reply.accepted(), "accepted without the log");
  cr_expect(cluster.Status(0).config_revision() == base,
            "the revision changed without the log");
  cluster.Control(cluster.log(), R"({"faults":{"outage":false}})");
  cr_expect(cluster.WaitFor(kShort,
                            [&] {
                              return cluster
                                  .Apply(0, Changed(7),
                                         cluster.Status(0).config_revision())
                                  .accepted();
                            }),
            "nothing is accepted after the outage");
}

Test(window, closed_through_outages_and_lost_answers_is_reported_once) {
  Cluster cluster(FastOptions());
  std::string reason;
  cr_assert(StartServing(&cluster, &reason), "%s", reason.c_str());
  Load load(cluster.loop(), cluster.client(), CallerEndpoints(&cluster));
  load.Start();
  cr_assert(cluster.WaitFor(kLong, [&] { return load.counts().whole > 50; }),
            "no service");
  load.Stop();
  cluster.WaitFor(kShort, [&] { return load.open() == 0; });
  cluster.Control(cluster.usage(), R"({"faults":{"lose_after":3}})");
  cluster.Control(cluster.log(), R"({"faults":{"outage":true}})");
  cluster.Pump(std::chrono::seconds(3));
  cluster.Control(cluster.log(),
                  R"({"faults":{"outage":false,"lose_after":6}})");
  FakeUsageStats stats;
  // The trial requests of StartServing are brest's too.
  const bool reported = cluster.WaitFor(std::chrono::seconds(45), [&] {
    stats = cluster.Fetch<FakeUsageStats>(cluster.usage(), "/stats");
    return ReportedRequests(stats, "brest") >= load.counts().whole;
  });
  cr_expect(reported, "expected at least %lu requests of brest, found %lu",
            load.counts().whole, ReportedRequests(stats, "brest"));
  cr_expect(stats.contradictions_size() == 0, "%d contradicting reports",
            stats.contradictions_size());
}
