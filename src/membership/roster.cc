#include "membership/roster.h"

#include <algorithm>
#include <bit>
#include <unordered_set>
#include <utility>

#include "base/digest.h"

namespace mulberryroad::membership {

namespace {

constexpr std::size_t kTransmissionsPerDoubling = 3;
constexpr std::size_t kRecentProbes = 5;

int Rank(v1::MemberState state) {
  switch (state) {
    case v1::MEMBER_SUSPECT:
      return 1;
    case v1::MEMBER_LEAVING:
      return 2;
    case v1::MEMBER_DEAD:
      return 3;
    default:
      return 0;
  }
}

}  // namespace

bool Supersedes(const v1::Member& news, const v1::Member& known) {
  if (news.incarnation() != known.incarnation()) {
    return news.incarnation() > known.incarnation();
  }
  if (news.refutation() != known.refutation()) {
    return news.refutation() > known.refutation();
  }
  return Rank(news.state()) > Rank(known.state());
}

Roster::Roster(v1::Member self, std::uint64_t seed, MembershipOptions options)
    : self_(std::move(self)),
      self_hash_(base::StableHash(self_.node_id())),
      options_(options),
      random_(seed) {
  if (self_.state() == v1::MEMBER_STATE_UNSPECIFIED) {
    self_.set_state(v1::MEMBER_ALIVE);
  }
  Spread(self_.node_id());
}

std::vector<v1::Member> Roster::all() const {
  std::vector<v1::Member> members{self_};
  for (const auto& [name, entry] : others_) {
    members.push_back(entry.member);
  }
  return members;
}

bool Roster::Eligible(const v1::Member& member) {
  return member.state() == v1::MEMBER_ALIVE ||
         member.state() == v1::MEMBER_SUSPECT;
}

std::vector<v1::Member> Roster::eligible() const {
  std::vector<v1::Member> members = all();
  std::erase_if(members,
                [](const v1::Member& member) { return !Eligible(member); });
  return members;
}

std::optional<v1::Member> Roster::find(const NodeId& node) const {
  if (node.value() == self_.node_id()) {
    return self_;
  }
  const auto found = others_.find(node.value());
  if (found == others_.end()) {
    return std::nullopt;
  }
  return found->second.member;
}

std::optional<v1::Member> Roster::Highest(
    std::string_view key, const std::string& without,
    const std::string& other_domain) const {
  const v1::Member* best = nullptr;
  std::uint64_t best_score = 0;
  const auto consider = [&](const v1::Member& member, std::uint64_t hash) {
    if (!Eligible(member) || member.node_id() == without ||
        (!other_domain.empty() && member.failure_domain() == other_domain)) {
      return;
    }
    const std::uint64_t score = base::StableHash(key, hash);
    if (best == nullptr || score > best_score) {
      best = &member;
      best_score = score;
    }
  };
  consider(self_, self_hash_);
  for (const auto& [name, entry] : others_) {
    consider(entry.member, entry.hash);
  }
  return best == nullptr ? std::nullopt : std::optional<v1::Member>(*best);
}

std::optional<v1::Member> Roster::Owner(std::string_view key) const {
  return Highest(key, "", "");
}

std::optional<v1::Member> Roster::Partner(std::string_view key) const {
  const std::string& domain = self_.failure_domain();
  if (auto partner = Highest(key, self_.node_id(), domain)) {
    return partner;
  }
  return Highest(key, self_.node_id(), "");
}

RosterChange Roster::Merge(const v1::Member& news, Instant now) {
  if (news.node_id() == self_.node_id()) {
    return MergeSelf(news);
  }
  RosterChange change;
  const auto found = others_.find(news.node_id());
  if (found == others_.end()) {
    Entry& entry = others_[news.node_id()];
    entry.hash = base::StableHash(news.node_id());
    Set(&entry, news, now);
    change.eligible_changed = Eligible(news);
    return change;
  }
  Entry& entry = found->second;
  if (!Supersedes(news, entry.member)) {
    return change;
  }
  const bool before = Eligible(entry.member);
  const bool other_process = entry.member.incarnation() != news.incarnation();
  Set(&entry, news, now);
  change.eligible_changed = before != Eligible(news) || other_process;
  return change;
}

RosterChange Roster::MergeSelf(const v1::Member& news) {
  RosterChange change;
  if (news.incarnation() != self_.incarnation()) {
    return change;
  }
  if (news.state() == v1::MEMBER_LEAVING &&
      self_.state() != v1::MEMBER_LEAVING) {
    return Leave();
  }
  if (Supersedes(news, self_)) {
    self_.set_refutation(news.refutation() + 1);
    Spread(self_.node_id());
    change.self_changed = true;
  }
  return change;
}

void Roster::Set(Entry* entry, const v1::Member& member, Instant now) {
  const std::uint64_t revision =
      std::max(entry->member.config_revision(), member.config_revision());
  entry->member = member;
  entry->member.set_config_revision(revision);
  entry->deadline.reset();
  entry->left = member.state() == v1::MEMBER_LEAVING ||
                (entry->left && member.state() == v1::MEMBER_DEAD);
  if (member.state() == v1::MEMBER_SUSPECT) {
    entry->deadline = now + options_.suspicion;
  } else if (member.state() == v1::MEMBER_DEAD) {
    entry->deadline = now + options_.remember_dead;
  }
  Spread(member.node_id());
}

void Roster::Spread(const std::string& node) {
  const std::size_t doublings = std::bit_width(others_.size() + 1);
  news_[node].left = kTransmissionsPerDoubling * doublings;
}

RosterChange Roster::Heard(const v1::Member& sender, Instant now) {
  RosterChange change = Merge(sender, now);
  const auto found = others_.find(sender.node_id());
  if (found == others_.end()) {
    return change;
  }
  v1::Member& known = found->second.member;
  if (known.incarnation() == sender.incarnation()) {
    known.set_config_revision(
        std::max(known.config_revision(), sender.config_revision()));
  }
  if (known.state() == v1::MEMBER_LEAVING) {
    found->second.deadline.reset();
  }
  return change;
}

RosterChange Roster::ProbeFailed(const NodeId& node, Instant now) {
  const auto found = others_.find(node.value());
  if (found == others_.end() || found->second.deadline.has_value()) {
    return {};
  }
  v1::Member suspect = found->second.member;
  if (suspect.state() == v1::MEMBER_LEAVING) {
    found->second.deadline = now + options_.suspicion;
    return {};
  }
  suspect.set_state(v1::MEMBER_SUSPECT);
  return Merge(suspect, now);
}

RosterChange Roster::Tick(Instant now, bool keep_dead) {
  RosterChange change;
  std::vector<std::string> forgotten;
  for (auto& [name, entry] : others_) {
    if (!entry.deadline.has_value() || now < *entry.deadline) {
      continue;
    }
    if (entry.member.state() == v1::MEMBER_DEAD) {
      if (!keep_dead || entry.left) {
        forgotten.push_back(name);
      }
      continue;
    }
    v1::Member dead = entry.member;
    change.eligible_changed = change.eligible_changed || Eligible(dead);
    dead.set_state(v1::MEMBER_DEAD);
    Set(&entry, dead, now);
  }
  for (const std::string& name : forgotten) {
    others_.erase(name);
    news_.erase(name);
  }
  return change;
}

bool Roster::IsLeaving(const v1::Member& member, const v1::VmList& list) const {
  bool leaving = false;
  for (const v1::Vm& vm : list.vms()) {
    const bool same_endpoint = vm.endpoint() == member.peer_endpoint();
    if (same_endpoint && vm.state() == v1::VM_LIVE) {
      return false;
    }
    leaving = leaving || (vm.state() == v1::VM_LEAVING &&
                          (same_endpoint || vm.name() == member.node_id()));
  }
  return leaving;
}

RosterChange Roster::TakeVmList(const v1::VmList& list, Instant now) {
  RosterChange change;
  listed_endpoints_.clear();
  for (const v1::Vm& vm : list.vms()) {
    if (vm.state() == v1::VM_LIVE && vm.target().empty() &&
        vm.endpoint() != self_.peer_endpoint()) {
      listed_endpoints_.push_back(vm.endpoint());
    }
  }
  for (v1::Member& member : all()) {
    if (Eligible(member) && IsLeaving(member, list)) {
      member.set_state(v1::MEMBER_LEAVING);
      const RosterChange one = Merge(member, now);
      change.eligible_changed |= one.eligible_changed;
      change.self_changed |= one.self_changed;
    }
  }
  return change;
}

std::optional<v1::Member> Roster::NextTarget() {
  while (true) {
    if (round_.empty()) {
      for (const auto& [name, entry] : others_) {
        if (entry.member.state() != v1::MEMBER_DEAD) {
          round_.push_back(name);
        }
      }
      std::shuffle(round_.begin(), round_.end(), random_);
      if (round_.empty()) {
        return std::nullopt;
      }
    }
    const auto found = others_.find(round_.back());
    round_.pop_back();
    if (found != others_.end() &&
        found->second.member.state() != v1::MEMBER_DEAD) {
      return found->second.member;
    }
  }
}

std::vector<v1::Member> Roster::Helpers(const NodeId& other_than) {
  std::vector<v1::Member> candidates;
  for (const auto& [name, entry] : others_) {
    if (name != other_than.value() &&
        entry.member.state() == v1::MEMBER_ALIVE) {
      candidates.push_back(entry.member);
    }
  }
  std::shuffle(candidates.begin(), candidates.end(), random_);
  if (candidates.size() > options_.indirect_probes) {
    candidates.resize(options_.indirect_probes);
  }
  return candidates;
}

std::optional<std::string> Roster::NextUnknownEndpoint() {
  std::unordered_set<std::string_view> known;
  for (const auto& [name, entry] : others_) {
    if (entry.member.state() != v1::MEMBER_DEAD) {
      known.insert(entry.member.peer_endpoint());
    }
  }
  for (std::size_t i = 0; i < listed_endpoints_.size(); ++i) {
    const std::string& endpoint =
        listed_endpoints_[next_listed_++ % listed_endpoints_.size()];
    if (!known.contains(endpoint)) {
      return endpoint;
    }
  }
  return std::nullopt;
}

std::vector<v1::Member> Roster::TakeNews(const std::string& receiver) {
  std::vector<v1::Member> taken;
  const auto about_receiver = others_.find(receiver);
  if (about_receiver != others_.end() &&
      about_receiver->second.member.state() != v1::MEMBER_ALIVE) {
    taken.push_back(about_receiver->second.member);
  }
  std::vector<std::pair<std::size_t, std::string>> order;
  for (const auto& [name, news] : news_) {
    if (name != receiver) {
      order.emplace_back(news.left, name);
    }
  }
  std::sort(order.rbegin(), order.rend());
  for (const auto& [left, name] : order) {
    if (taken.size() >= options_.max_news) {
      break;
    }
    taken.push_back(*find(NodeId(name)));
    if (--news_[name].left == 0) {
      news_.erase(name);
    }
  }
  return taken;
}

void Roster::SetConfigRevision(std::uint64_t revision) {
  self_.set_config_revision(revision);
}

RosterChange Roster::Leave() {
  RosterChange change;
  if (self_.state() == v1::MEMBER_LEAVING) {
    return change;
  }
  self_.set_state(v1::MEMBER_LEAVING);
  self_.set_refutation(self_.refutation() + 1);
  Spread(self_.node_id());
  change.eligible_changed = true;
  change.self_changed = true;
  return change;
}

double Roster::reach() const {
  std::size_t alive = 0;
  std::size_t known = 0;
  for (const auto& [name, entry] : others_) {
    if (!entry.left) {
      ++known;
      alive += entry.member.state() == v1::MEMBER_ALIVE ? 1 : 0;
    }
  }
  const auto answered =
      std::count(recent_probes_.begin(), recent_probes_.end(), true);
  const auto share = [](std::size_t part, std::size_t whole) {
    return whole == 0 ? 1.0
                      : static_cast<double>(part) / static_cast<double>(whole);
  };
  return std::min(share(alive, known), share(answered, recent_probes_.size()));
}

void Roster::NoteProbe(bool answered) {
  recent_probes_.push_back(answered);
  if (recent_probes_.size() > kRecentProbes) {
    recent_probes_.erase(recent_probes_.begin());
  }
}

}  // namespace mulberryroad::membership
