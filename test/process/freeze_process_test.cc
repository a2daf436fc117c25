// Holders of leases that are frozen past their term and woken again.

#include <criterion/criterion.h>

#include <csignal>
#include <optional>
#include <string>

#include "mulberryroad/fakes.pb.h"
#include "process/scenario.h"

using mulberryroad::process::ArmorDeclaration;
using mulberryroad::process::CallerEndpoints;
using mulberryroad::process::Cluster;
using mulberryroad::process::FastOptions;
using mulberryroad::process::kLong;
using mulberryroad::process::Load;
using mulberryroad::process::Replace;
using mulberryroad::process::StartServing;
using mulberryroad::v1::FakeOrderingStats;
using mulberryroad::v1::FakeUsageStats;

namespace {

std::uint64_t EpochOf(Cluster* cluster, std::size_t at,
                      const std::string& role) {
  const mulberryroad::v1::NodeStatus status = cluster->Status(at);
  for (const auto& known : status.roles()) {
    if (known.role() == role) {
      return known.epoch();
    }
  }
  return 0;
}

/// Freezes a role's holder until another node holds the role.
/// @param meanwhile runs once the holder is frozen
/// @return the frozen node
std::optional<std::size_t> FreezeUntilSucceeded(
    Cluster* cluster, const std::string& role,
    const std::function<void(std::size_t other)>& meanwhile) {
  std::optional<std::size_t> holder;
  cluster->WaitFor(kLong, [&] {
    holder = cluster->Holder(role, 0);
    return holder.has_value();
  });
  cr_assert(holder.has_value(), "nobody holds %s", role.c_str());
  const std::size_t other = (*holder + 1) % cluster->size();
  const std::uint64_t epoch = EpochOf(cluster, other, role);
  cluster->node(*holder).process->Signal(SIGSTOP);
  meanwhile(other);
  const bool succeeded = cluster->WaitFor(kLong, [&] {
    const auto successor = cluster->Holder(role, other);
    return successor.has_value() && *successor != *holder &&
           EpochOf(cluster, other, role) > epoch;
  });
  cr_assert(succeeded, "nobody took %s over", role.c_str());
  return holder;
}

void ExpectNoOldOrders(Cluster* cluster) {
  const auto stats =
      cluster->Fetch<FakeOrderingStats>(cluster->ordering(), "/stats");
  cr_expect(stats.old_fencing_orders() == 0,
            "%lu orders came from a former holder", stats.old_fencing_orders());
}

void RunFrozenController(bool checks_fencing) {
  Cluster cluster(FastOptions());
  std::string reason;
  cr_assert(StartServing(&cluster, &reason), "%s", reason.c_str());
  cluster.Control(cluster.ordering(),
                  std::string(R"({"checks_fencing":)") +
                      (checks_fencing ? "true}" : "false}"));
  // More capacity is declared while the holder is frozen, so that both the
  // holder, once woken, and its successor have orders to give.
  const std::string more =
      Replace(ArmorDeclaration(), "min_upstreams: 1 max_upstreams: 2",
              "min_upstreams: 2 max_upstreams: 2");
  const auto holder = FreezeUntilSucceeded(
      &cluster, "controller/morbihan", [&](std::size_t other) {
        const auto reply =
            cluster.Apply(other, more, cluster.Status(other).config_revision());
        cr_expect(reply.accepted(), "not accepted: %s", reply.reason().c_str());
      });
  cluster.node(*holder).process->Signal(SIGCONT);
  cr_expect(cluster.WaitForUpstreams("drafting", 6),
            "the declared capacity was not ordered");
  cluster.Pump(std::chrono::seconds(3));
  ExpectNoOldOrders(&cluster);
  const auto list = cluster.Fetch<mulberryroad::v1::VmList>(
      cluster.vms(), "/vms?target=drafting&failure_domain=morbihan");
  int standard = 0;
  for (const auto& vm : list.vms()) {
    standard += vm.upstream_class() == "standard" ? 1 : 0;
  }
  cr_expect(standard == 2, "expected 2 standard replicas, found %d", standard);
}

}  // namespace

Test(frozen_controller, gives_no_order_where_fencing_is_checked) {
  RunFrozenController(/*checks_fencing=*/true);
}

Test(frozen_controller, gives_no_order_where_fencing_is_ignored) {
  RunFrozenController(/*checks_fencing=*/false);
}

Test(frozen_reporter, reports_nothing_after_its_term) {
  Cluster cluster(FastOptions());
  std::string reason;
  cr_assert(StartServing(&cluster, &reason), "%s", reason.c_str());
  Load load(cluster.loop(), cluster.client(), CallerEndpoints(&cluster));
  load.Start();
  cr_assert(cluster.WaitFor(kLong, [&] { return load.counts().whole > 50; }),
            "no service");
  load.Stop();
  const auto holder =
      FreezeUntilSucceeded(&cluster, "reporter", [](std::size_t) {});
  cluster.node(*holder).process->Signal(SIGCONT);
  const bool reported = cluster.WaitFor(std::chrono::seconds(40), [&] {
    const auto stats = cluster.Fetch<FakeUsageStats>(cluster.usage(), "/stats");
    std::uint64_t requests = 0;
    for (const auto& report : stats.reports()) {
      if (report.report().organisation() == "brest") {
        requests += report.report().requests();
      }
    }
    return requests >= load.counts().whole;
  });
  cr_expect(reported, "the usage was not reported");
  const auto stats = cluster.Fetch<FakeUsageStats>(cluster.usage(), "/stats");
  cr_expect(stats.contradictions_size() == 0, "%d contradicting reports",
            stats.contradictions_size());
  cr_expect(stats.old_fencing_reports() == 0,
            "%lu reports came from a former holder",
            stats.old_fencing_reports());
}
