#include "lease/lease_agent.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/digest.h"

namespace mulberryroad::lease {

namespace {

// Attempts whose time is remembered; an older one that is read back late does
// not extend the term.
constexpr std::size_t kMaxSentAttempts = 64;
// Challengers spread their claims over this time, so that not all of them
// append at once.
constexpr std::chrono::milliseconds kClaimSpread{400};

std::chrono::milliseconds Stagger(const NodeId& node, const RoleId& role,
                                  std::uint64_t previous_offset) {
  const std::uint64_t hash =
      base::StableHash(node.value() + "/" + role.value(), previous_offset);
  return std::chrono::milliseconds(hash % kClaimSpread.count());
}

void Append(LeaseDecisions* to, LeaseDecisions from) {
  std::move(from.begin(), from.end(), std::back_inserter(*to));
}

}  // namespace

LeaseAgent::LeaseAgent(NodeId node, std::uint64_t incarnation,
                       LeaseTiming timing, AgentRules rules)
    : node_(std::move(node)),
      incarnation_(incarnation),
      timing_(timing),
      rules_(rules),
      table_(rules.table) {}

LeaseDecisions LeaseAgent::Want(const RoleId& role, bool wanted, Instant now) {
  LeaseDecisions decisions;
  Role& entry = roles_[role];
  if (entry.wanted == wanted) {
    return decisions;
  }
  entry.wanted = wanted;
  entry.wanted_since = now;
  if (!wanted) {
    Drop(&entry, role, "the role is no longer wanted", &decisions);
  }
  return decisions;
}

LeaseDecisions LeaseAgent::OnRecord(platform::Offset offset,
                                    const v1::Record& record, Instant now) {
  if (record.has_snapshot()) {
    if (record.snapshot().covered_offset() != offset) {
      return {};
    }
    table_.Load(record.snapshot());
    for (const auto& [role, state] : table_.states()) {
      roles_[role].last_read = now;
    }
    return {};
  }
  return std::visit(
      [this, now](const auto& event) { return Handle(event, now); },
      table_.Apply(offset, record));
}

LeaseDecisions LeaseAgent::Handle(const Claimed& event, Instant now) {
  LeaseDecisions decisions;
  const RoleId name(event.state.role());
  Role& role = roles_[name];
  role.last_read = now;
  role.release_sent = false;
  if (!IsHolder(event.state)) {
    Drop(&role, name, "another node claimed the role", &decisions);
    return decisions;
  }
  role.own.reset();
  Extend(&role, event.state.epoch(), event.attempt, now);
  if (role.own.has_value() && now < role.own->ends && role.wanted) {
    role.announced = true;
    decisions.emplace_back(Gained{name, event.state.epoch()});
  }
  return decisions;
}

LeaseDecisions LeaseAgent::Handle(const Renewed& event, Instant now) {
  LeaseDecisions decisions;
  const RoleId name(event.state.role());
  Role& role = roles_[name];
  role.last_read = now;
  if (!IsHolder(event.state) || role.release_sent || !role.wanted) {
    return decisions;
  }
  Extend(&role, event.state.epoch(), event.attempt, now);
  if (!role.announced && role.own.has_value() && now < role.own->ends) {
    role.announced = true;
    decisions.emplace_back(Gained{name, event.state.epoch()});
  }
  return decisions;
}

LeaseDecisions LeaseAgent::Handle(const Released& event, Instant now) {
  LeaseDecisions decisions;
  const RoleId name(event.state.role());
  Role& role = roles_[name];
  role.last_read = now;
  if (IsHolder(event.state)) {
    Drop(&role, name, "the role was released", &decisions);
  }
  return decisions;
}

LeaseDecisions LeaseAgent::Handle(const Void& /*event*/, Instant /*now*/) {
  return {};
}

LeaseDecisions LeaseAgent::Handle(const NotLease& /*event*/, Instant /*now*/) {
  return {};
}

void LeaseAgent::OnSettled(const RoleId& role, std::uint64_t attempt) {
  Role& entry = roles_[role];
  if (entry.open_attempt == attempt) {
    entry.open_attempt.reset();
  }
}

LeaseDecisions LeaseAgent::Tick(Instant now, bool caught_up) {
  LeaseDecisions decisions;
  for (auto& [name, role] : roles_) {
    if (role.announced && role.own.has_value() && now >= role.own->ends) {
      role.announced = false;
      decisions.emplace_back(Lost{name, "the term ended without a renewal"});
    }
    if (caught_up && !role.open_attempt.has_value()) {
      Append(&decisions, TickRole(name, &role, now));
    }
  }
  return decisions;
}

LeaseDecisions LeaseAgent::TickRole(const RoleId& name, Role* role,
                                    Instant now) {
  LeaseDecisions decisions;
  const v1::LeaseState* state = table_.find(name);
  const bool holder = state != nullptr && IsHolder(*state) &&
                      !state->released() && !role->release_sent;
  if (holder && !role->wanted) {
    decisions.push_back(Release(name, role));
    return decisions;
  }
  if (!role->wanted) {
    return decisions;
  }
  if (holder) {
    const auto term_length = timing_.ttl - timing_.margin;
    const bool due =
        !role->own.has_value() || role->own->ends - now < term_length * 2 / 3;
    if (due) {
      decisions.push_back(Renew(name, role, now));
    }
  } else if (MayClaim(name, *role, now)) {
    decisions.push_back(Claim(name, role, now));
  }
  return decisions;
}

bool LeaseAgent::MayClaim(const RoleId& name, const Role& role,
                          Instant now) const {
  const v1::LeaseState* state = table_.find(name);
  const auto stagger = Stagger(node_, name, table_.previous_offset(name));
  if (state == nullptr || state->released()) {
    const Instant since =
        std::max(role.wanted_since, role.last_read.value_or(Instant{}));
    return now >= since + stagger;
  }
  const std::chrono::milliseconds ttl(state->ttl_ms());
  return now >= role.last_read.value_or(now) + ttl + timing_.margin + stagger;
}

LeaseDecision LeaseAgent::Claim(const RoleId& name, Role* role, Instant now) {
  AppendLease append{name, {}, role->next_attempt++};
  v1::LeaseClaim* claim = append.record.mutable_lease_claim();
  claim->set_role(name.value());
  claim->set_holder(node_.value());
  claim->set_incarnation(incarnation_);
  claim->set_previous_offset(table_.previous_offset(name));
  claim->set_ttl_ms(static_cast<std::uint32_t>(timing_.ttl.count()));
  claim->set_attempt(append.attempt);
  role->sent[append.attempt] = now;
  role->open_attempt = append.attempt;
  return append;
}

LeaseDecision LeaseAgent::Renew(const RoleId& name, Role* role, Instant now) {
  AppendLease append{name, {}, role->next_attempt++};
  v1::LeaseRenewal* renewal = append.record.mutable_lease_renewal();
  renewal->set_role(name.value());
  renewal->set_holder(node_.value());
  renewal->set_epoch(table_.find(name)->epoch());
  renewal->set_attempt(append.attempt);
  role->sent[append.attempt] = now;
  role->open_attempt = append.attempt;
  return append;
}

LeaseDecision LeaseAgent::Release(const RoleId& name, Role* role) {
  AppendLease append{name, {}, role->next_attempt++};
  v1::LeaseRelease* release = append.record.mutable_lease_release();
  release->set_role(name.value());
  release->set_holder(node_.value());
  release->set_epoch(table_.find(name)->epoch());
  role->release_sent = true;
  role->open_attempt = append.attempt;
  return append;
}

void LeaseAgent::Extend(Role* role, std::uint64_t epoch, std::uint64_t attempt,
                        Instant now) {
  const auto sent = role->sent.find(attempt);
  if (sent == role->sent.end()) {
    return;
  }
  const Instant from = rules_.term_from_append ? sent->second : now;
  const Instant ends = from + timing_.ttl - timing_.margin;
  if (!role->own.has_value() || role->own->epoch != epoch) {
    role->own = Term{epoch, ends};
  }
  role->own->ends = std::max(role->own->ends, ends);
  role->sent.erase(sent);
  while (role->sent.size() > kMaxSentAttempts) {
    role->sent.erase(role->sent.begin());
  }
}

bool LeaseAgent::IsHolder(const v1::LeaseState& state) const {
  return state.holder() == node_.value() && state.incarnation() == incarnation_;
}

void LeaseAgent::Drop(Role* role, const RoleId& name, const std::string& reason,
                      LeaseDecisions* decisions) {
  role->own.reset();
  if (role->announced) {
    role->announced = false;
    decisions->emplace_back(Lost{name, reason});
  }
}

std::optional<Term> LeaseAgent::term(const RoleId& role, Instant now) const {
  const auto found = roles_.find(role);
  if (found == roles_.end() || !found->second.own.has_value() ||
      !found->second.wanted || now >= found->second.own->ends) {
    return std::nullopt;
  }
  return found->second.own;
}

}  // namespace mulberryroad::lease
