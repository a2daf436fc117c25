// What the process tests share: a serving cluster with short terms, and checks
// over all upstreams.

#ifndef MULBERRYROAD_TEST_PROCESS_SCENARIO_H_
#define MULBERRYROAD_TEST_PROCESS_SCENARIO_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "mulberryroad/fakes.pb.h"
#include "process/cluster.h"
#include "process/load.h"

namespace mulberryroad::process {

inline constexpr std::chrono::milliseconds kShort{10'000};
inline constexpr std::chrono::milliseconds kLong{30'000};
inline constexpr const char* kBrestKey = "sample-brest-crews-6f1c";
inline constexpr const char* kVannesKey = "sample-vannes-crews-27d4";

/// Returns options with leases of a few seconds.
ClusterOptions FastOptions(std::size_t nodes = 3);

/// Starts a cluster, applies Armor's declaration and waits until each node
/// serves completions and reports.
/// @return false with the reason in *reason
bool StartServing(Cluster* cluster, std::string* reason);

/// Returns the caller endpoints of all nodes.
std::vector<Endpoint> CallerEndpoints(Cluster* cluster);

/// Returns the declaration without the named key.
std::string WithoutKey(const std::string& declaration, const std::string& key);

/// Sends a short completion and returns the status; 0 if there is no answer.
int CompletionStatus(Cluster* cluster, std::size_t node,
                     const std::string& secret);

/// Returns how often each report ran, over all intake upstreams that run.
std::map<std::string, std::uint32_t> ReportEffects(Cluster* cluster);

/// Returns true if an upstream that runs saw an Authorization header other than
/// the service's own.
bool AnyForeignAuthorization(Cluster* cluster);

/// Returns the first report that ran twice, or was answered and did not run;
/// empty if there is none.
std::string ReportFault(Cluster* cluster, const Load& load);

}  // namespace mulberryroad::process

#endif  // MULBERRYROAD_TEST_PROCESS_SCENARIO_H_
