#include "duties/weight_plan.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

#include "base/digest.h"

namespace mulberryroad::duties {

std::map<TargetId, std::vector<UpstreamId>> AssignUpstreams(
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
  const std::size_t max_share =
      (upstreams.size() + models.size() - 1) / models.size();
  for (const serving::Registration* upstream : upstreams) {
    // Rendezvous hashing: the models are ranked by a hash of upstream and
    // model.
    std::vector<std::pair<std::uint64_t, TargetId>> ranking;
    for (const auto& [model, version] : upstream->versions) {
      ranking.emplace_back(
          base::StableHash(upstream->id.value() + "/" + model.value()), model);
    }
    std::sort(ranking.begin(), ranking.end());
    for (const auto& [hash, model] : ranking) {
      if (shares[model].size() < max_share) {
        shares[model].push_back(upstream->id);
        break;
      }
    }
  }
  return shares;
}

void WeightPlan::OnVersionPublished(const TargetId& model,
                                    std::uint64_t version) {
  PublishedVersion& newest = newest_[model];
  if (version > newest.version) {
    newest = {version, ++publications_};
  }
}

WeightPlan::PublishedVersion WeightPlan::newest_published(
    const TargetId& model) const {
  const auto found = newest_.find(model);
  return found == newest_.end() ? PublishedVersion() : found->second;
}

std::size_t WeightPlan::max_concurrent_loads(std::size_t upstreams) const {
  const auto share = static_cast<std::size_t>(
      std::llround(static_cast<double>(upstreams) * rules_.max_loading_share));
  return std::max<std::size_t>(share, 1);
}

void WeightPlan::RemoveEndedLoads(
    const std::map<UpstreamId, serving::Registration>& upstreams, Instant now) {
  for (auto load = loads_in_progress_.begin();
       load != loads_in_progress_.end();) {
    const auto upstream = upstreams.find(load->first);
    bool ended = upstream == upstreams.end() ||
                 now >= load->second.since + rules_.load_timeout;
    if (!ended) {
      const auto version = upstream->second.versions.find(load->second.model);
      ended = version != upstream->second.versions.end() &&
              version->second >= load->second.version;
    }
    load = ended ? loads_in_progress_.erase(load) : std::next(load);
  }
}

void WeightPlan::AddCandidates(
    const TargetId& model, const std::vector<UpstreamId>& share,
    const std::map<UpstreamId, serving::Registration>& upstreams,
    std::vector<Candidate>* candidates) const {
  const auto [newest_version, publication] = newest_published(model);
  std::size_t usable = 0;
  std::size_t up_to_date = 0;
  std::vector<Candidate> lagging;
  for (const UpstreamId& id : share) {
    const auto load = loads_in_progress_.find(id);
    const bool loading = load != loads_in_progress_.end() &&
                         load->second.model == model &&
                         load->second.version == newest_version;
    const std::uint64_t version =
        loading ? newest_version : upstreams.at(id).versions.at(model);
    usable += version + kMaxVersionsBehind >= newest_version ? 1 : 0;
    up_to_date += version >= newest_version ? 1 : 0;
    if (version < newest_version && load == loads_in_progress_.end()) {
      lagging.push_back(
          {0, 0, publication, newest_version - version, id, model});
    }
  }
  std::stable_sort(lagging.begin(), lagging.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return a.versions_behind > b.versions_behind;
                   });
  for (Candidate& candidate : lagging) {
    candidate.usable = usable;
    candidate.up_to_date = up_to_date++;
    usable += candidate.versions_behind > kMaxVersionsBehind ? 1 : 0;
    candidates->push_back(std::move(candidate));
  }
}

std::vector<LoadWeights> WeightPlan::Next(
    const std::map<UpstreamId, serving::Registration>& upstreams, Instant now) {
  RemoveEndedLoads(upstreams, now);
  std::map<TargetId, std::vector<const serving::Registration*>> services;
  for (const auto& [id, upstream] : upstreams) {
    if (!upstream.draining && !upstream.versions.empty()) {
      services[upstream.service].push_back(&upstream);
    }
  }
  std::vector<Candidate> lagging;
  for (const auto& [service, members] : services) {
    for (const auto& [model, share] : AssignUpstreams(members)) {
      AddCandidates(model, share, upstreams, &lagging);
    }
  }
  // Models with the fewest usable upstreams come first.
  std::stable_sort(lagging.begin(), lagging.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return std::tie(a.usable, a.up_to_date,
                                     a.publication_order, b.versions_behind) <
                            std::tie(b.usable, b.up_to_date,
                                     b.publication_order, a.versions_behind);
                   });
  std::size_t engines = 0;
  for (const auto& [service, members] : services) {
    engines += members.size();
  }
  std::vector<LoadWeights> loads;
  for (const Candidate& candidate : lagging) {
    if (loads_in_progress_.size() >= max_concurrent_loads(engines)) {
      break;
    }
    const TargetId& model = candidate.model;
    loads_in_progress_[candidate.upstream] = {model, newest(model), now};
    loads.push_back({candidate.upstream, model, newest(model)});
  }
  return loads;
}

}  // namespace mulberryroad::duties
