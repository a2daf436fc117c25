#include "soak/faults.h"

#include <algorithm>
#include <random>

namespace mulberryroad::soak {

namespace {

using std::chrono::milliseconds;

// Half of the faults follow the one before within this time.
constexpr int kSeriesGapMillis = 600;
constexpr int kShortestMillis = 200;
// Longer than all time-outs of the system, so that each of them is reached.
constexpr int kLongestMillis = 4'000;

}  // namespace

const char* NameOf(FaultKind kind) {
  static constexpr const char* kNames[] = {"kill_node",
                                           "pause_node",
                                           "stop_node",
                                           "reload_node",
                                           "kill_all_nodes",
                                           "kill_upstream",
                                           "pause_upstream",
                                           "replace_upstream",
                                           "store_refuses",
                                           "store_silent",
                                           "store_loses_answers",
                                           "store_late",
                                           "store_slow",
                                           "store_drops_history",
                                           "store_rebalances",
                                           "store_link_silent",
                                           "store_link_reset",
                                           "store_link_one_way",
                                           "store_link_delayed",
                                           "upstream_link_silent",
                                           "upstream_link_reset",
                                           "upstream_link_one_way",
                                           "upstream_link_delayed"};
  return kNames[static_cast<std::size_t>(kind)];
}

std::vector<Fault> DrawFaults(std::uint64_t seed, const FaultLimits& limits) {
  std::mt19937_64 random(seed);
  const auto draw = [&random](int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(random);
  };
  std::vector<Fault> faults;
  milliseconds last{0};
  const int count =
      limits.faults == 0 ? 0 : draw(limits.faults / 2 + 1, limits.faults);
  for (int i = 0; i < count; ++i) {
    Fault fault;
    fault.kind = static_cast<FaultKind>(
        draw(0, static_cast<int>(FaultKind::kCount) - 1));
    const bool of_upstream = fault.kind == FaultKind::kKillUpstream ||
                             fault.kind == FaultKind::kPauseUpstream ||
                             fault.kind == FaultKind::kReplaceUpstream ||
                             fault.kind >= FaultKind::kUpstreamLinkSilent;
    const std::size_t targets = of_upstream ? limits.upstreams : limits.nodes;
    fault.target =
        static_cast<std::size_t>(draw(0, static_cast<int>(targets) - 1));
    fault.lasts = milliseconds(draw(kShortestMillis, kLongestMillis));
    const bool in_series = i > 0 && draw(0, 1) == 0;
    fault.at =
        in_series
            ? last + milliseconds(draw(0, kSeriesGapMillis))
            : milliseconds(draw(0, static_cast<int>(limits.traffic.count())));
    last = fault.at;
    faults.push_back(fault);
  }
  std::stable_sort(faults.begin(), faults.end(),
                   [](const Fault& a, const Fault& b) { return a.at < b.at; });
  return faults;
}

}  // namespace mulberryroad::soak
