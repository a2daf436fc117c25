// In-memory seams of several nodes in one process: log, leases, members,
// configuration, generator and meter. Faults are set by the tests.

#ifndef MULBERRYROAD_TEST_FAKES_MEMORY_CLUSTER_H_
#define MULBERRYROAD_TEST_FAKES_MEMORY_CLUSTER_H_

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/event_loop.h"
#include "billing/meter.h"
#include "config/configuration.h"
#include "dispatch/broker.h"
#include "lease/leases.h"
#include "log/journal.h"
#include "membership/members.h"

namespace mulberryroad::fakes {

class MemoryJournal;

/// What the nodes of one test share.
struct MemoryCluster {
  explicit MemoryCluster(base::EventLoop& event_loop) : loop(event_loop) {}

  base::EventLoop& loop;
  std::vector<v1::Member> members;
  std::map<std::string, v1::LeaseState> leases;
  std::map<std::string, std::set<class MemoryLeases*>> wanted;
  std::map<std::string, std::vector<v1::Record>> streams;
  std::vector<MemoryJournal*> journals;
  std::uint64_t next_epoch = 1;
  bool log_down = false;

  v1::Member* Find(const std::string& node) {
    for (v1::Member& member : members) {
      if (member.node_id() == node) {
        return &member;
      }
    }
    return nullptr;
  }
};

class MemoryJournal final : public log::Journal {
 public:
  explicit MemoryJournal(MemoryCluster& cluster) : cluster_(cluster) {
    cluster.journals.push_back(this);
  }
  ~MemoryJournal() override { std::erase(cluster_.journals, this); }

  void Append(const std::string& stream, v1::Record record,
              std::chrono::milliseconds, log::OnJournaled done) override {
    cluster_.loop.Post([cluster = &cluster_, stream, record, done] {
      if (cluster->log_down) {
        done(std::nullopt, "the log is down");
        return;
      }
      auto& records = cluster->streams[stream];
      records.push_back(record);
      for (MemoryJournal* journal : cluster->journals) {
        journal->Deliver(stream);
      }
      done(records.size() - 1, "");
    });
  }
  void Subscribe(const std::string& stream, log::OnRecord on) override {
    subscribers_[stream] = {0, std::move(on)};
    cluster_.loop.Post([this, stream] { Deliver(stream); });
  }
  void Unsubscribe(const std::string& stream) override {
    subscribers_.erase(stream);
  }
  bool caught_up(const std::string&) const override { return true; }
  std::chrono::milliseconds silence() const override {
    return std::chrono::milliseconds{0};
  }

 private:
  struct Subscriber {
    std::size_t next = 0;
    log::OnRecord on_record;
  };

  void Deliver(const std::string& stream) {
    const std::vector<v1::Record> records = cluster_.streams[stream];
    for (auto found = subscribers_.find(stream);
         found != subscribers_.end() && found->second.next < records.size();
         found = subscribers_.find(stream)) {
      const std::size_t offset = found->second.next++;
      const log::OnRecord on_record = found->second.on_record;
      on_record(offset, records[offset]);
    }
  }

  MemoryCluster& cluster_;
  std::map<std::string, Subscriber> subscribers_;
};

/// The first node that wants a role gets it; the next one after a release or a
/// death.
class MemoryLeases final : public lease::Leases {
 public:
  MemoryLeases(MemoryCluster& cluster, std::string node)
      : cluster_(cluster), node_(std::move(node)) {}
  ~MemoryLeases() override { Die(); }

  void Want(const RoleId& role, bool wanted) override {
    if (wanted) {
      cluster_.wanted[role.value()].insert(this);
      cluster_.loop.Post([cluster = &cluster_, name = role.value()] {
        Assign(cluster, name);
      });
      return;
    }
    cluster_.wanted[role.value()].erase(this);
    Release(role.value());
  }
  std::optional<lease::Term> term(const RoleId& role) const override {
    const auto found = cluster_.leases.find(role.value());
    if (found == cluster_.leases.end() || found->second.released() ||
        found->second.holder() != node_) {
      return std::nullopt;
    }
    return lease::Term{found->second.epoch(), Instant::max()};
  }
  std::vector<v1::LeaseState> states() const override {
    std::vector<v1::LeaseState> states;
    for (const auto& [role, state] : cluster_.leases) {
      states.push_back(state);
    }
    return states;
  }
  sigc::signal<void(const RoleId&, std::uint64_t)>& gained() override {
    return gained_;
  }
  sigc::signal<void(const RoleId&)>& lost() override { return lost_; }

  /// Loses a role without a word, as after a pause past its term.
  void Lapse(const std::string& role) {
    cluster_.wanted[role].erase(this);
    Release(role);
    lost_.emit(RoleId(role));
  }
  /// Stops to strive for anything and lets all roles go.
  void Die() {
    for (auto& [role, nodes] : cluster_.wanted) {
      if (nodes.erase(this) > 0) {
        Release(role);
      }
    }
  }

 private:
  void Release(const std::string& role) {
    const auto found = cluster_.leases.find(role);
    if (found != cluster_.leases.end() && found->second.holder() == node_) {
      found->second.set_released(true);
      cluster_.loop.Post(
          [cluster = &cluster_, role] { Assign(cluster, role); });
    }
  }
  static void Assign(MemoryCluster* cluster, const std::string& role) {
    const auto& nodes = cluster->wanted[role];
    const auto found = cluster->leases.find(role);
    const bool held =
        found != cluster->leases.end() && !found->second.released();
    if (held || nodes.empty()) {
      return;
    }
    MemoryLeases* next = *nodes.begin();
    v1::LeaseState& state = cluster->leases[role];
    state.set_role(role);
    state.set_holder(next->node_);
    state.set_epoch(cluster->next_epoch++);
    state.set_released(false);
    next->gained_.emit(RoleId(role), state.epoch());
  }

  MemoryCluster& cluster_;
  std::string node_;
  sigc::signal<void(const RoleId&, std::uint64_t)> gained_;
  sigc::signal<void(const RoleId&)> lost_;
};

class MemoryMembers final : public membership::Members {
 public:
  MemoryMembers(MemoryCluster& cluster, std::string node)
      : cluster_(cluster), node_(std::move(node)) {}

  const v1::Member& self() const override { return *cluster_.Find(node_); }
  std::vector<v1::Member> all() const override { return cluster_.members; }
  std::vector<v1::Member> eligible() const override {
    std::vector<v1::Member> found;
    for (const v1::Member& member : cluster_.members) {
      if (member.state() == v1::MEMBER_ALIVE) {
        found.push_back(member);
      }
    }
    return found;
  }
  std::optional<v1::Member> find(const NodeId& node) const override {
    const v1::Member* member = cluster_.Find(node.value());
    return member == nullptr ? std::nullopt : std::optional(*member);
  }
  std::optional<v1::Member> Owner(std::string_view) const override {
    return eligible().empty() ? std::nullopt : std::optional(eligible()[0]);
  }
  std::optional<v1::Member> Partner(std::string_view) const override {
    for (const v1::Member& member : eligible()) {
      if (member.failure_domain() != self().failure_domain()) {
        return member;
      }
    }
    return std::nullopt;
  }
  sigc::signal<void()>& changed() override { return changed_; }

 private:
  MemoryCluster& cluster_;
  std::string node_;
  sigc::signal<void()> changed_;
};

/// Knows one organisation per key: "key-NAME" speaks for NAME.
class MemoryConfiguration final : public config::Configuration {
 public:
  v1::Declaration* mutable_declaration() { return &declaration_; }
  const v1::Declaration* declaration() const override { return &declaration_; }
  std::uint64_t revision() const override { return 1; }
  std::optional<OrganisationId> Authorise(
      std::string_view secret, config::KeyRefusal* refusal) const override {
    constexpr std::string_view kPrefix = "key-";
    *refusal = config::KeyRefusal::kUnknown;
    if (!secret.starts_with(kPrefix)) {
      return std::nullopt;
    }
    return OrganisationId(std::string(secret.substr(kPrefix.size())));
  }
  void Apply(const std::string&, std::uint64_t, const std::string&,
             std::function<void(v1::ApplyReply)> done) override {
    done({});
  }
  sigc::signal<void()>& changed() override { return changed_; }

 private:
  v1::Declaration declaration_;
  sigc::signal<void()> changed_;
};

/// Keeps generations until the test ends them.
class MemoryGenerator final : public dispatch::Generator {
 public:
  struct Run final : public dispatch::GenerationCall {
    void Cancel() override { cancelled = true; }
    std::uint32_t tokens() const override { return 0; }

    dispatch::GenerationRequest request;
    dispatch::OnChunk on_chunk;
    dispatch::OnGenerationDone on_generated;
    bool cancelled = false;
  };

  std::shared_ptr<dispatch::GenerationCall> Start(
      dispatch::GenerationRequest request, dispatch::OnChunk on_chunk,
      dispatch::OnGenerationDone on_generated) override {
    auto run = std::make_shared<Run>();
    run->request = std::move(request);
    run->on_chunk = std::move(on_chunk);
    run->on_generated = std::move(on_generated);
    runs.push_back(run);
    return run;
  }
  /// Ends all that run with a number of tokens of one version.
  void FinishAll(std::uint32_t tokens, std::uint32_t version) {
    for (const auto& run : std::exchange(runs, {})) {
      dispatch::GenerationResult whole;
      whole.upstream = UpstreamId("e1");
      whole.text = std::string(tokens, 'x');
      whole.tokens = tokens;
      whole.prompt_tokens = 3;
      const std::uint32_t begin = run->request.resume_tokens;
      v1::VersionRange range;
      range.set_begin_token(begin);
      range.set_end_token(begin + tokens);
      range.set_version(version);
      whole.versions.push_back(range);
      if (!run->cancelled) {
        run->on_generated(whole);
      }
    }
  }

  std::vector<std::shared_ptr<Run>> runs;
};

class MemoryMeter final : public billing::Meter {
 public:
  void Count(const OrganisationId& organisation,
             const billing::Usage& usage) override {
    billing::Usage& sum = sums[organisation.value()];
    sum.requests += usage.requests;
    sum.prompt_tokens += usage.prompt_tokens;
    sum.generated_tokens += usage.generated_tokens;
  }

  std::map<std::string, billing::Usage> sums;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_MEMORY_CLUSTER_H_
