#include "dispatch/upstream_choice.h"

#include <algorithm>
#include <map>
#include <utility>
#include <variant>

namespace mulberryroad::dispatch {

namespace {

// Number of least loaded upstreams per bucket of the table that are scored in
// addition to the prefix holders.
constexpr std::size_t kScoredPerBucket = 3;
constexpr int kRandomCandidates = 2;
constexpr int kMaxDrawAttempts = 8;

bool Excluded(const v1::GrantRequest& request, const UpstreamState& state) {
  const auto& names = request.excluded_upstreams();
  return std::find(names.begin(), names.end(), state.spec.id.value()) !=
         names.end();
}

v1::Candidate ToCandidate(const UpstreamState& state, double score) {
  v1::Candidate candidate;
  candidate.set_name(state.spec.id.value());
  candidate.set_score(score);
  return candidate;
}

// Returns the upstreams that hold the longest cached prefix of a request,
// mapped to the fraction of the request's blocks that this prefix covers.
std::map<UpstreamIndex, double> CachedShares(const v1::GrantRequest& request,
                                             const PrefixIndex& prefixes,
                                             Instant now) {
  std::map<UpstreamIndex, double> shares;
  const int blocks = request.prefix_hashes_size();
  for (int block = blocks - 1; block >= 0 && shares.empty(); --block) {
    for (const UpstreamIndex holder :
         prefixes.Holders(request.prefix_hashes(block), now)) {
      shares[holder] =
          static_cast<double>(block + 1) / static_cast<double>(blocks);
    }
  }
  return shares;
}

double Score(const AffinityChoice& policy, const UpstreamState& state,
             double cached_share, double highest_price) {
  const double price =
      highest_price > 0 ? state.spec.price_per_hour / highest_price : 0;
  const double risk = state.spec.reclaimable ? 1 : 0;
  return policy.affinity_weight * cached_share -
         policy.load_weight * state.load() - policy.price_weight * price -
         policy.reclaim_weight * risk;
}

}  // namespace

Requirement RequirementOf(const v1::GrantRequest& request) {
  return {request.min_version(), request.repeatable()};
}

UpstreamChooser::UpstreamChooser(ChoicePolicy policy, std::uint64_t seed)
    : policy_(policy), random_(seed) {}

std::optional<Choice> UpstreamChooser::Choose(const v1::GrantRequest& request,
                                              const UpstreamTable& table,
                                              const PrefixIndex& prefixes,
                                              Instant now) {
  const Context context{request, table, prefixes, now, RequirementOf(request)};
  return std::visit(
      [&](const auto& policy) { return this->Apply(policy, context); },
      policy_);
}

std::optional<Choice> UpstreamChooser::Apply(const AffinityChoice& policy,
                                             const Context& context) {
  std::map<UpstreamIndex, double> shares =
      CachedShares(context.request, context.prefixes, context.now);
  const std::size_t limit_per_bucket =
      kScoredPerBucket +
      static_cast<std::size_t>(context.request.excluded_upstreams_size());
  for (const UpstreamIndex index :
       context.table.LeastLoaded(context.requirement, limit_per_bucket)) {
    shares.try_emplace(index, 0);
  }
  std::optional<Choice> choice;
  double best = 0;
  std::vector<v1::Candidate> candidates;
  for (const auto& [index, share] : shares) {
    const UpstreamState& state = context.table.at(index);
    const double score =
        Score(policy, state, share, context.table.highest_price());
    candidates.push_back(ToCandidate(state, score));
    if (Excluded(context.request, state)) {
      candidates.back().set_excluded("tried before");
    } else if (!context.table.Eligible(index, context.requirement)) {
      candidates.back().set_excluded("not available");
    } else if (!choice.has_value() || score > best) {
      best = score;
      choice = Choice{index, {}, share > 0 ? "prefix and load" : "load"};
    }
  }
  if (choice.has_value()) {
    choice->candidates = std::move(candidates);
  }
  return choice;
}

std::optional<Choice> UpstreamChooser::Apply(const RoundRobinChoice& /*policy*/,
                                             const Context& context) {
  const std::size_t attempts =
      1 + static_cast<std::size_t>(context.request.excluded_upstreams_size());
  UpstreamIndex last = last_chosen_;
  for (std::size_t attempt = 0; attempt < attempts; ++attempt) {
    const std::optional<UpstreamIndex> next =
        context.table.NextEligible(last, context.requirement);
    if (!next.has_value()) {
      return std::nullopt;
    }
    last = *next;
    if (!Excluded(context.request, context.table.at(*next))) {
      last_chosen_ = *next;
      return Choice{*next, {}, "next in turn"};
    }
  }
  return std::nullopt;
}

std::optional<Choice> UpstreamChooser::Apply(
    const LeastInFlightChoice& /*policy*/, const Context& context) {
  const std::size_t limit_per_bucket =
      1 + static_cast<std::size_t>(context.request.excluded_upstreams_size());
  std::optional<Choice> choice;
  for (const UpstreamIndex index :
       context.table.LeastLoaded(context.requirement, limit_per_bucket)) {
    const UpstreamState& state = context.table.at(index);
    if (Excluded(context.request, state)) {
      continue;
    }
    if (!choice.has_value() ||
        state.load() < context.table.at(choice->upstream).load()) {
      choice = Choice{index, {}, "least in flight"};
    }
  }
  return choice;
}

std::optional<Choice> UpstreamChooser::Apply(const TwoRandomChoice& /*policy*/,
                                             const Context& context) {
  std::optional<Choice> choice;
  int drawn = 0;
  for (int attempt = 0; attempt < kMaxDrawAttempts && drawn < kRandomCandidates;
       ++attempt) {
    const std::optional<UpstreamIndex> index =
        context.table.ChooseRandom(context.requirement, random_);
    if (!index.has_value()) {
      return std::nullopt;
    }
    const UpstreamState& state = context.table.at(*index);
    if (Excluded(context.request, state)) {
      continue;
    }
    ++drawn;
    if (!choice.has_value() ||
        state.load() < context.table.at(choice->upstream).load()) {
      choice = Choice{*index, {}, "less busy of two drawn"};
    }
  }
  return choice;
}

}  // namespace mulberryroad::dispatch
