// Draws the faults of a soak run from its seed. Pure.

#ifndef MULBERRYROAD_TEST_SOAK_FAULTS_H_
#define MULBERRYROAD_TEST_SOAK_FAULTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace mulberryroad::soak {

enum class FaultKind {
  kKillNode,
  kPauseNode,
  kStopNode,
  kReloadNode,
  kKillAllNodes,
  kKillUpstream,
  kPauseUpstream,
  kReplaceUpstream,
  kStoreRefuses,
  kStoreSilent,
  kStoreLosesAnswers,
  kStoreLate,
  kStoreSlow,
  kStoreDropsHistory,
  kStoreRebalances,
  kStoreLinkSilent,
  kStoreLinkReset,
  kStoreLinkOneWay,
  kStoreLinkDelayed,
  kUpstreamLinkSilent,
  kUpstreamLinkReset,
  kUpstreamLinkOneWay,
  kUpstreamLinkDelayed,
  kCount,
};

const char* NameOf(FaultKind kind);

struct Fault {
  /// Since the start of traffic.
  std::chrono::milliseconds at{0};
  FaultKind kind = FaultKind::kKillNode;
  /// Node or upstream that it strikes.
  std::size_t target = 0;
  /// How long it lasts, or how long a killed process stays away.
  std::chrono::milliseconds lasts{0};
};

struct FaultLimits {
  std::chrono::milliseconds traffic{20'000};
  std::size_t nodes = 4;
  std::size_t upstreams = 5;
  /// Faults of a run at most; 0 for a calm one.
  int faults = 10;
};

/// Returns the faults of a seed by time. They come in series and overlap.
std::vector<Fault> DrawFaults(std::uint64_t seed, const FaultLimits& limits);

}  // namespace mulberryroad::soak

#endif  // MULBERRYROAD_TEST_SOAK_FAULTS_H_
