// One seed of the soak: starts a deployment, plays traffic and faults, lets it
// recover and judges what callers and upstreams saw.

#ifndef MULBERRYROAD_TEST_SOAK_SOAK_RUN_H_
#define MULBERRYROAD_TEST_SOAK_SOAK_RUN_H_

#include <chrono>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "soak/deployment.h"
#include "soak/faults.h"

namespace mulberryroad::soak {

struct SoakOptions {
  DeploymentOptions deployment;
  FaultLimits limits;
};

/// Returns the manifest of a run: the operator's routes, services and keys.
/// @param with_withdrawn_key whether it has the key that is withdrawn in the
///     middle of a run
nlohmann::json MakeManifest(int version, bool with_withdrawn_key);

/// Plays one seed.
/// @return a report: seed, faults, checks, figures and violations
nlohmann::json PlaySeed(const SoakOptions& options);

/// Draws the latency of answered requests over time, with the faults, as SVG.
std::string DrawLatency(const nlohmann::json& report);

/// After the faults the system must serve again within this time.
inline constexpr std::chrono::milliseconds kRecoveryTime{12'000};

}  // namespace mulberryroad::soak

#endif  // MULBERRYROAD_TEST_SOAK_SOAK_RUN_H_
