// Members, configuration, leases, VM list and meter in memory, set by the test.

#ifndef MULBERRYROAD_TEST_FAKES_MEMORY_SEAMS_H_
#define MULBERRYROAD_TEST_FAKES_MEMORY_SEAMS_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "billing/meter.h"
#include "config/configuration.h"
#include "lease/leases.h"
#include "membership/members.h"
#include "platform/platform.h"

namespace mulberryroad::fakes {

/// The nodes of a test; every pool and partition belongs to one of them.
class MemoryMembers final : public membership::Members {
 public:
  explicit MemoryMembers(std::string self) { self_.set_node_id(self); }

  void Put(const std::string& node, const Endpoint& endpoint) {
    v1::Member& member = members_[node];
    member.set_node_id(node);
    member.set_state(v1::MEMBER_ALIVE);
    member.set_peer_endpoint(ToString(endpoint));
    if (node == self_.node_id()) {
      self_ = member;
    }
  }
  void SetState(const std::string& node, v1::MemberState state) {
    members_[node].set_state(state);
    changed_.emit();
  }
  void SetOwner(const std::string& node) {
    owner_ = node;
    changed_.emit();
  }

  const v1::Member& self() const override { return self_; }
  std::vector<v1::Member> all() const override {
    std::vector<v1::Member> members;
    for (const auto& [node, member] : members_) {
      members.push_back(member);
    }
    return members;
  }
  std::vector<v1::Member> eligible() const override { return all(); }
  std::optional<v1::Member> find(const NodeId& node) const override {
    const auto found = members_.find(node.value());
    return found == members_.end() ? std::nullopt
                                   : std::optional(found->second);
  }
  std::optional<v1::Member> Owner(std::string_view /*key*/) const override {
    return find(NodeId(owner_));
  }
  std::optional<v1::Member> Partner(std::string_view /*key*/) const override {
    return std::nullopt;
  }
  sigc::signal<void()>& changed() override { return changed_; }

 private:
  v1::Member self_;
  std::map<std::string, v1::Member> members_;
  std::string owner_;
  sigc::signal<void()> changed_;
};

class MemoryConfiguration final : public config::Configuration {
 public:
  v1::Declaration& edit() { return declaration_; }
  void Grant(const std::string& secret, const std::string& organisation) {
    keys_[secret] = organisation;
  }
  void Withdraw(const std::string& secret) {
    keys_.erase(secret);
    changed_.emit();
  }
  void SetIsolated(bool isolated) { isolated_ = isolated; }

  const v1::Declaration* declaration() const override { return &declaration_; }
  std::uint64_t revision() const override { return 1; }
  std::optional<OrganisationId> Authorise(
      std::string_view secret, config::KeyRefusal* refusal) const override {
    const auto found = keys_.find(std::string(secret));
    if (!isolated_ && found != keys_.end()) {
      return OrganisationId(found->second);
    }
    *refusal = isolated_ ? config::KeyRefusal::kIsolated
                         : config::KeyRefusal::kUnknown;
    return std::nullopt;
  }
  void Apply(const std::string& /*text*/, std::uint64_t /*base_revision*/,
             const std::string& /*operator_name*/,
             std::function<void(v1::ApplyReply)> on_applied) override {
    on_applied(v1::ApplyReply());
  }
  sigc::signal<void()>& changed() override { return changed_; }

 private:
  v1::Declaration declaration_;
  std::map<std::string, std::string> keys_;
  bool isolated_ = false;
  sigc::signal<void()> changed_;
};

/// Leases that the test hands out.
class MemoryLeases final : public lease::Leases {
 public:
  void Grant(const RoleId& role, std::uint64_t epoch) {
    terms_[role] = lease::Term{epoch, Instant::max()};
    gained_.emit(role, epoch);
  }
  /// Ends a term without a word to its holder, as when its process was paused.
  void Lapse(const RoleId& role) { terms_.erase(role); }
  void Revoke(const RoleId& role) {
    terms_.erase(role);
    lost_.emit(role);
  }

  void Want(const RoleId& /*role*/, bool /*wanted*/) override {}
  std::optional<lease::Term> term(const RoleId& role) const override {
    const auto found = terms_.find(role);
    return found == terms_.end() ? std::nullopt : std::optional(found->second);
  }
  std::vector<v1::LeaseState> states() const override { return {}; }
  sigc::signal<void(const RoleId&, std::uint64_t)>& gained() override {
    return gained_;
  }
  sigc::signal<void(const RoleId&)>& lost() override { return lost_; }

 private:
  std::map<RoleId, lease::Term> terms_;
  sigc::signal<void(const RoleId&, std::uint64_t)> gained_;
  sigc::signal<void(const RoleId&)> lost_;
};

class MemoryDirectory final : public platform::VmDirectory {
 public:
  v1::VmList& list() { return list_; }
  v1::Vm& Add(const std::string& name, const std::string& target,
              const std::string& failure_domain, const Endpoint& endpoint) {
    v1::Vm& vm = *list_.add_vms();
    vm.set_name(name);
    vm.set_state(v1::VM_LIVE);
    vm.set_endpoint(ToString(endpoint));
    vm.set_failure_domain(failure_domain);
    vm.set_target(target);
    vm.set_upstream_class("standard");
    return vm;
  }

  void ListNodes(platform::ResponseCallback<v1::VmList> on_response) override {
    on_response(v1::VmList());
  }
  void ListPool(const PoolId& pool,
                platform::ResponseCallback<v1::VmList> on_response) override {
    v1::VmList found;
    for (const v1::Vm& vm : list_.vms()) {
      if (vm.target() == pool.target.value() &&
          vm.failure_domain() == pool.failure_domain.value()) {
        *found.add_vms() = vm;
      }
    }
    on_response(found);
  }

 private:
  v1::VmList list_;
};

class MemoryMeter final : public billing::Meter {
 public:
  void Count(const OrganisationId& organisation,
             const billing::Usage& usage) override {
    counted[organisation.value()].push_back(usage);
  }

  std::map<std::string, std::vector<billing::Usage>> counted;
};

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_MEMORY_SEAMS_H_
