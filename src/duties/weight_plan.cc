#include "duties/weight_plan.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

#include "base/digest.h"

namespace mulberryroad::duties {

std::map<TargetId, std::vector<UpstreamId>> ShareUpstreams(
    const std::vector<const serving::Registration*>& upstreams) {
  std::set<TargetId> models;
  for (const serving::Registration* upstream : upstreams) {
    for (const auto& [model, version] : upstream->versions) {
      models.insert(model);
    }
  }
  std::map<TargetId, std::vector<UpstreamId>> shares;
  if (models.empty()) {
    return shares;
  }
  const std::size_t most =
      (upstreams.size() + models.size() - 1) / models.size();
  for (const serving::Registration* upstream : upstreams) {
    // Rendezvous hashing: each upstream ranks the models by a hash of its own.
    std::vector<std::pair<std::uint64_t, TargetId>> wishes;
    for (const auto& [model, version] : upstream->versions) {
      wishes.emplace_back(
          base::StableHash(upstream->id.value() + "/" + model.value()), model);
    }
    std::sort(wishes.begin(), wishes.end());
    for (const auto& [hash, model] : wishes) {
      if (shares[model].size() < most) {
        shares[model].push_back(upstream->id);
        break;
      }
    }
  }
  return shares;
}

void WeightPlan::Named(const TargetId& model, std::uint64_t version) {
  Naming& newest = newest_[model];
  if (version > newest.version) {
    newest = {version, ++namings_};
  }
}

WeightPlan::Naming WeightPlan::newest_naming(const TargetId& model) const {
  const auto found = newest_.find(model);
  return found == newest_.end() ? Naming() : found->second;
}

std::size_t WeightPlan::at_once(std::size_t upstreams) const {
  const auto share = static_cast<std::size_t>(
      std::llround(static_cast<double>(upstreams) * rules_.share_at_once));
  return std::max<std::size_t>(share, 1);
}

void WeightPlan::Settle(
    const std::map<UpstreamId, serving::Registration>& upstreams, Instant now) {
  for (auto load = under_way_.begin(); load != under_way_.end();) {
    const auto upstream = upstreams.find(load->first);
    bool over = upstream == upstreams.end() ||
                now >= load->second.since + rules_.patience;
    if (!over) {
      const auto version = upstream->second.versions.find(load->second.model);
      over = version != upstream->second.versions.end() &&
             version->second >= load->second.version;
    }
    load = over ? under_way_.erase(load) : std::next(load);
  }
}

void WeightPlan::AddLagging(
    const TargetId& model, const std::vector<UpstreamId>& share,
    const std::map<UpstreamId, serving::Registration>& upstreams,
    std::vector<Candidate>* candidates) const {
  const auto [newest_version, naming] = newest_naming(model);
  std::size_t usable = 0;
  std::size_t fresh = 0;
  std::vector<Candidate> lagging;
  for (const UpstreamId& id : share) {
    const auto load = under_way_.find(id);
    const bool loading = load != under_way_.end() &&
                         load->second.model == model &&
                         load->second.version == newest_version;
    const std::uint64_t version =
        loading ? newest_version : upstreams.at(id).versions.at(model);
    usable += version + kAllowedLag >= newest_version ? 1 : 0;
    fresh += version >= newest_version ? 1 : 0;
    if (version < newest_version && load == under_way_.end()) {
      lagging.push_back({0, 0, naming, newest_version - version, id, model});
    }
  }
  std::stable_sort(
      lagging.begin(), lagging.end(),
      [](const Candidate& a, const Candidate& b) { return a.lag > b.lag; });
  for (Candidate& candidate : lagging) {
    candidate.usable = usable;
    candidate.fresh = fresh++;
    usable += candidate.lag > kAllowedLag ? 1 : 0;
    candidates->push_back(std::move(candidate));
  }
}

std::vector<LoadWeights> WeightPlan::Next(
    const std::map<UpstreamId, serving::Registration>& upstreams, Instant now) {
  Settle(upstreams, now);
  std::map<TargetId, std::vector<const serving::Registration*>> services;
  for (const auto& [id, upstream] : upstreams) {
    if (!upstream.draining && !upstream.versions.empty()) {
      services[upstream.service].push_back(&upstream);
    }
  }
  std::vector<Candidate> lagging;
  for (const auto& [service, members] : services) {
    for (const auto& [model, share] : ShareUpstreams(members)) {
      AddLagging(model, share, upstreams, &lagging);
    }
  }
  // Models with the fewest usable upstreams come first.
  std::stable_sort(lagging.begin(), lagging.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return std::tie(a.usable, a.fresh, a.named, b.lag) <
                            std::tie(b.usable, b.fresh, b.named, a.lag);
                   });
  std::size_t engines = 0;
  for (const auto& [service, members] : services) {
    engines += members.size();
  }
  std::vector<LoadWeights> loads;
  for (const Candidate& candidate : lagging) {
    if (under_way_.size() >= at_once(engines)) {
      break;
    }
    const TargetId& model = candidate.model;
    under_way_[candidate.upstream] = {model, newest(model), now};
    loads.push_back({candidate.upstream, model, newest(model)});
  }
  return loads;
}

}  // namespace mulberryroad::duties
