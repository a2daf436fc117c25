// Chooses the upstream of a request by one of the choice policies.

#ifndef MULBERRYROAD_SRC_DISPATCH_UPSTREAM_CHOICE_H_
#define MULBERRYROAD_SRC_DISPATCH_UPSTREAM_CHOICE_H_

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "dispatch/prefix_index.h"
#include "dispatch/scheduler_types.h"
#include "dispatch/upstream_table.h"

namespace mulberryroad::dispatch {

/// A chosen upstream and those that it was compared with.
struct Choice {
  UpstreamIndex upstream = 0;
  std::vector<v1::Candidate> candidates;
  std::string reason;
};

class UpstreamChooser {
 public:
  UpstreamChooser(ChoicePolicy policy, std::uint64_t seed);

  /// Returns nullopt if no upstream may take the request now.
  std::optional<Choice> Choose(const v1::GrantRequest& request,
                               const UpstreamTable& table,
                               const PrefixIndex& prefixes, Instant now);

 private:
  struct Context {
    const v1::GrantRequest& request;
    const UpstreamTable& table;
    const PrefixIndex& prefixes;
    Instant now;
    Requirement requirement;
  };

  std::optional<Choice> Apply(const AffinityChoice& policy, const Context& in);
  std::optional<Choice> Apply(const RoundRobinChoice& policy,
                              const Context& in);
  std::optional<Choice> Apply(const LeastInFlightChoice& policy,
                              const Context& in);
  std::optional<Choice> Apply(const TwoRandomChoice& policy, const Context& in);

  ChoicePolicy policy_;
  std::mt19937_64 random_;
  UpstreamIndex last_ = 0;
};

/// Returns what a request needs of its upstream.
Requirement RequirementOf(const v1::GrantRequest& request);

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_UPSTREAM_CHOICE_H_
