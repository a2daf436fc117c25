// Tests the shell that counts, copies and appends usage.

#include "billing/usage_meter.h"

#include <criterion/criterion.h>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fakes/memory_services.h"

namespace {

using namespace mulberryroad;           // NOLINT(google-build-using-namespace)
using namespace mulberryroad::billing;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

const OrganisationId kBallons("ballons");

/// One end of two nodes, each the other's partner; calls arrive at once.
class NodeEnd final : public peer::Transport, public membership::Members {
 public:
  explicit NodeEnd(const std::string& name) {
    self_.set_node_id(name);
    self_.set_incarnation(1);
    self_.set_state(v1::MEMBER_ALIVE);
    self_.set_peer_endpoint("127.0.0.1:1");
  }
  void Join(NodeEnd& other) { other_ = &other; }
  void Die() { self_.set_state(v1::MEMBER_DEAD); }

  void Call(const Endpoint& /*node*/, v1::PeerRequest request,
            std::chrono::milliseconds /*timeout*/,
            peer::OnReply on_reply) override {
    other_->handlers_[request.kind_case()](
        request, [&on_reply](v1::PeerReply reply) { on_reply(reply, ""); });
  }
  void Handle(v1::PeerRequest::KindCase kind,
              peer::CallHandler handler) override {
    handlers_[kind] = std::move(handler);
  }

  const v1::Member& self() const override { return self_; }
  std::vector<v1::Member> all() const override {
    return {self_, other_->self_};
  }
  std::vector<v1::Member> eligible() const override { return all(); }
  std::optional<v1::Member> find(const NodeId& node) const override {
    return node.value() == self_.node_id() ? self_ : other_->self_;
  }
  std::optional<v1::Member> Owner(std::string_view /*key*/) const override {
    return self_;
  }
  std::optional<v1::Member> Partner(std::string_view /*key*/) const override {
    return other_->self_;
  }
  sigc::signal<void()>& changed() override { return changed_; }

 private:
  v1::Member self_;
  NodeEnd* other_ = nullptr;
  std::map<v1::PeerRequest::KindCase, peer::CallHandler> handlers_;
  sigc::signal<void()> changed_;
};

struct Node {
  Node(const std::string& name, fakes::MemoryStreams& streams)
      : end(name),
        journal(streams),
        meter(loop, clock, journal, end, end, configuration, NodeId(name), 1) {}

  void Turn(seconds span) {
    clock.Advance(span);
    meter.Tick();
    journal.Deliver();
  }

  base::EventLoop loop;
  ManualClock clock;
  NodeEnd end;
  fakes::MemoryJournal journal;
  fakes::MemoryConfiguration configuration;
  UsageMeter meter;
};

struct Bench {
  Bench() {
    a.end.Join(b.end);
    b.end.Join(a.end);
  }
  /// Returns what a reader of the stream counts.
  std::uint64_t Requests() const {
    WindowBook book;
    platform::Offset offset = 0;
    const auto stream = streams.find(kUsageStream);
    if (stream == streams.end()) {
      return 0;
    }
    for (const v1::Record& record : stream->second) {
      book.OnRecord(offset++, record);
    }
    const auto usage = book.open_usage();
    const auto found = usage.find(kBallons.value());
    return found == usage.end() ? 0 : found->second.requests;
  }

  fakes::MemoryStreams streams;
  Node a{"a", streams};
  Node b{"b", streams};
};

void ExpectRequests(const Bench& bench, std::uint64_t expected,
                    const char* what) {
  cr_assert_eq(bench.Requests(), expected, "%s: expected %lu, got %lu", what,
               expected, bench.Requests());
}

}  // namespace

Test(usage_meter, appends_growth_at_its_interval_and_not_more) {
  Bench bench;
  bench.a.meter.Count(kBallons, {2, 10, 20});
  bench.a.Turn(seconds(0));
  ExpectRequests(bench, 0, "before the interval");
  bench.a.Turn(seconds(1));
  ExpectRequests(bench, 2, "after the interval");
  cr_assert(bench.a.meter.settled());
  bench.a.Turn(seconds(10));
  cr_assert_eq(bench.streams[kUsageStream].size(), 1, "nothing grew");
}

Test(usage_meter, partner_appends_the_usage_of_a_killed_node) {
  Bench bench;
  bench.a.journal.SetDown(true);
  bench.a.meter.Count(kBallons, {3, 0, 0});
  bench.a.Turn(seconds(0));
  bench.b.Turn(seconds(2));
  ExpectRequests(bench, 0, "the node lives, it appends itself");
  bench.a.end.Die();
  bench.b.Turn(seconds(2));
  ExpectRequests(bench, 3, "the partner appends");
  bench.b.Turn(seconds(2));
  cr_assert_eq(bench.streams[kUsageStream].size(), 1, "once is enough");
}

Test(usage_meter, counts_once_if_both_append) {
  Bench bench;
  bench.a.meter.Count(kBallons, {3, 0, 0});
  bench.a.Turn(seconds(2));
  bench.a.end.Die();
  // The partner has not read the node's own append yet.
  bench.b.meter.Tick();
  bench.b.clock.Advance(seconds(2));
  bench.b.meter.Tick();
  ExpectRequests(bench, 3, "cumulative counters");
}

Test(usage_meter, keeps_usage_through_a_log_outage) {
  Bench bench;
  bench.a.journal.SetDown(true);
  bench.a.meter.Count(kBallons, {1, 0, 0});
  bench.a.Turn(seconds(5));
  bench.a.meter.Count(kBallons, {1, 0, 0});
  bench.a.Turn(seconds(5));
  cr_assert_not(bench.a.meter.settled());
  bench.a.journal.SetDown(false);
  bench.a.Turn(seconds(5));
  ExpectRequests(bench, 2, "after the outage");
}

Test(usage_meter, flushes_for_a_graceful_stop) {
  Bench bench;
  bench.a.meter.Count(kBallons, {1, 0, 0});
  bench.a.meter.Flush();
  bench.a.journal.Deliver();
  cr_assert(bench.a.meter.settled());
  ExpectRequests(bench, 1, "at once");
}

Test(usage_meter, bills_nobody_for_open_routes) {
  Bench bench;
  bench.a.meter.Count(OrganisationId(), {1, 0, 0});
  cr_assert(bench.a.meter.counters().empty());
}
