// Chooses the upstream for a request according to a ChoicePolicy.

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

/// The chosen upstream, the candidates that were scored and the reason.
struct Choice {
  UpstreamIndex upstream = 0;
  std::vector<v1::Candidate> candidates;
  std::string reason;
};

class UpstreamChooser {
 public:
  UpstreamChooser(ChoicePolicy policy, std::uint64_t seed);

  /// Returns the upstream to use, or nullopt if none can accept the request
  /// now.
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

  std::optional<Choice> Apply(const AffinityChoice& policy,
                              const Context& context);
  std::optional<Choice> Apply(const RoundRobinChoice& policy,
                              const Context& context);
  std::optional<Choice> Apply(const LeastInFlightChoice& policy,
                              const Context& context);
  std::optional<Choice> Apply(const TwoRandomChoice& policy,
                              const Context& context);

  ChoicePolicy policy_;
  std::mt19937_64 random_;
  UpstreamIndex last_chosen_ = 0;
};

/// Returns the requirement that an upstream must meet to run a request.
Requirement RequirementOf(const v1::GrantRequest& request);

}  // namespace mulberryroad::dispatch

#endif  // MULBERRYROAD_SRC_DISPATCH_UPSTREAM_CHOICE_H_
