// Tests permits for limited upstreams between nodes that know each other
// through the store.

#include "node/permit_exchange.h"

#include <criterion/criterion.h>

#include <csignal>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "batches/batch_keys.h"
#include "fakes/free_port.h"
#include "fakes/loop_wait.h"
#include "fakes/memory_store.h"

namespace mulberryroad::node {
namespace {

using serving::PermitDenied;
using serving::PermitGranted;
using serving::PermitResult;
using serving::RequestPriority;
using std::chrono::milliseconds;

constexpr double kLimit = 2;
const UpstreamId& Upstream() {
  static const auto* const id = new UpstreamId("u1");
  return *id;
}

struct World {
  World() { std::signal(SIGPIPE, SIG_IGN); }

  base::EventLoop loop;
  SystemClock clock;
  base::StructuredLog log{clock, NodeId("n")};
  base::Metrics metrics;
  http::Client client{loop};
  fakes::MemoryStore store{loop};
  std::mt19937_64 random{1};
};

/// A node that serves its peers. There is one partition.
struct TestNode {
  World& world;
  serving::ColdUpstreams cold;
  serving::UpstreamStatements statements{&cold};
  bool owner = false;
  Endpoint address{"127.0.0.1", fakes::FreePort()};
  http::Server server;
  PermitExchange permits;

  TestNode(World& shared, const std::string& name, bool is_owner)
      : world(shared),
        owner(is_owner),
        server(shared.loop, {}),
        permits(
            shared.loop, shared.clock, shared.log, shared.metrics,
            shared.client, shared.store, shared.random, statements,
            /*partitions=*/1, [this](int) { return owner; }, &cold) {
    permits.Register(server);
    cr_assert(server.Listen(address));
    if (is_owner) {
      world.store.shares[MemberName(name + "/1-1", address)] = {
          1, {{batches::kBatchTopic, 0}}};
    }
  }

  void LearnLimit() {
    statements.OnResponse(Upstream(), milliseconds(1),
                          {.requests_per_second = kLimit}, world.clock.now());
  }

  void LearnCold(milliseconds left) {
    serving::Service service;
    service.name = TargetId("s");
    service.cold_start = {milliseconds(3'000), kLimit};
    cold.SetServices({service}, world.clock.now());
    serving::Registration registration;
    registration.id = Upstream();
    registration.service = service.name;
    registration.started = milliseconds(1);
    registration.cold_left = left;
    cold.OnRegistered(registration, 1, /*just_started=*/true,
                      world.clock.now());
  }

  PermitResult Acquire() {
    std::optional<PermitResult> result;
    permits.Acquire({Upstream()}, RequestPriority::kCaller, milliseconds(0),
                    [&result](const PermitResult& done) { result = done; });
    cr_assert(
        fakes::RunUntil(world.loop, [&result] { return result.has_value(); }));
    return *result;
  }
};

/// Starts all nodes and waits until they know the owner.
void Start(World* world, std::initializer_list<TestNode*> nodes) {
  for (TestNode* node : nodes) {
    node->permits.Start();
  }
  fakes::RunFor(world->loop, milliseconds(20));
}

Test(member_name, address_is_found_again) {
  const Endpoint address{"10.1.0.7", 8407};
  cr_assert(MemberAddress(MemberName("node/1-1", address)) == address);
  cr_assert(!MemberAddress(MemberName("node/1-1", std::nullopt)).has_value());
  cr_assert(MemberAddress(MemberName("spare:node/1-1", address)) == address);
}

Test(permit_exchange, nodes_share_the_limit_of_an_upstream) {
  World world;
  TestNode owner(world, "owner", true);
  TestNode first(world, "first", false);
  TestNode second(world, "second", false);
  Start(&world, {&owner, &first, &second});
  first.LearnLimit();
  second.LearnLimit();
  int granted = 0;
  std::optional<PermitDenied> denied;
  for (int i = 0; i < 10; ++i) {
    const PermitResult result = (i % 2 == 0 ? first : second).Acquire();
    granted += std::holds_alternative<PermitGranted>(result) ? 1 : 0;
    if (const auto* refused = std::get_if<PermitDenied>(&result)) {
      denied = *refused;
    }
  }
  cr_expect_leq(granted, static_cast<int>(serving::LimitAllocator::kBurst));
  cr_expect_geq(granted, 1);
  cr_assert(denied.has_value());
  cr_expect(denied->upstream == Upstream());
  cr_expect_eq(denied->requests_per_second, kLimit);
  cr_expect(denied->decided_by == ToString(owner.address), "%s",
            denied->decided_by.c_str());
  cr_expect_gt(denied->retry_after.count(), 0);
  cr_expect(owner.statements.limit(Upstream()) == kLimit,
            "the owner learns the limit with the request");
}

Test(permit_exchange, node_that_lost_the_partition_grants_permits) {
  World world;
  TestNode owner(world, "owner", true);
  TestNode other(world, "other", false);
  Start(&world, {&owner, &other});
  other.LearnLimit();
  owner.owner = false;
  const PermitResult result = other.Acquire();
  cr_assert(std::holds_alternative<PermitDenied>(result));
  cr_expect(std::get<PermitDenied>(result).upstream.empty(),
            "no allocator decided");
}

Test(permit_exchange, ended_limit_reaches_the_other_nodes) {
  World world;
  TestNode owner(world, "owner", true);
  TestNode first(world, "first", false);
  TestNode second(world, "second", false);
  Start(&world, {&owner, &first, &second});
  first.LearnLimit();
  second.LearnLimit();
  cr_assert(std::holds_alternative<PermitGranted>(first.Acquire()));
  fakes::RunFor(world.loop, milliseconds(10));
  first.statements.OnResponse(Upstream(), milliseconds(1), {.complete = true},
                              world.clock.now());
  fakes::RunFor(world.loop, milliseconds(50));
  cr_expect(std::holds_alternative<PermitGranted>(second.Acquire()));
  cr_expect(!second.statements.limit(Upstream()).has_value());
}

// Guards against an allocator that has not read that the upstream is cold and
// answers that it has no limit.
Test(permit_exchange, allocator_learns_of_a_cold_upstream_from_requests) {
  World world;
  TestNode owner(world, "owner", true);
  TestNode first(world, "first", false);
  Start(&world, {&owner, &first});
  first.LearnCold(milliseconds(5'000));
  int granted = 0;
  for (int i = 0; i < 20; ++i) {
    granted += std::holds_alternative<PermitGranted>(first.Acquire()) ? 1 : 0;
  }
  cr_expect_eq(granted, 0, "a new allocator assumes a used bucket");
  cr_expect(owner.statements.limit(Upstream(), world.clock.now()) == kLimit);
  cr_expect(!owner.statements.limit(Upstream()).has_value(),
            "the upstream itself stated none");
  cr_expect(owner.cold.find(Upstream(), world.clock.now())->source ==
            serving::ColdSource::kNode);
  for (int i = 0; i < 100 && granted == 0; ++i) {
    fakes::RunFor(world.loop, milliseconds(50));
    granted += std::holds_alternative<PermitGranted>(first.Acquire()) ? 1 : 0;
  }
  cr_expect_eq(granted, 1);
  cr_expect(first.statements.MaySend(Upstream(), world.clock.now()));
}

// Guards against a node that sends to a cold upstream although no allocator
// answers.
Test(permit_exchange, cold_upstream_without_allocator_gets_nothing) {
  World world;
  TestNode other(world, "other", false);
  Start(&world, {&other});
  other.LearnCold(milliseconds(5'000));
  const PermitResult result = other.Acquire();
  cr_assert(std::holds_alternative<PermitDenied>(result));
  cr_expect(std::get<PermitDenied>(result).upstream.empty());
  cr_expect(!other.statements.MaySend(Upstream(), world.clock.now()));
}

}  // namespace
}  // namespace mulberryroad::node
