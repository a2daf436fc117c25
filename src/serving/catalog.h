// Request admission by the active manifest: matches routes and authenticates
// API keys.

#ifndef MULBERRYROAD_SRC_SERVING_CATALOG_H_
#define MULBERRYROAD_SRC_SERVING_CATALOG_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "serving/admission_queue.h"
#include "serving/manifest.h"

namespace mulberryroad::serving {

/// The request is admitted on this route, on behalf of this organisation (empty
/// on open routes). The route is valid until the next Catalog::Apply.
struct Admitted {
  const Route* route = nullptr;
  OrganisationId organisation;
};
/// This node has not received a manifest yet.
struct NoManifest {};
/// No route matches the host and path.
struct NoRoute {};
/// The key is missing or belongs to no organisation.
struct InvalidKey {};
using Admission = std::variant<Admitted, NoManifest, NoRoute, InvalidKey>;

/// Indexes the active manifest by host and by key. Used on the event loop's
/// thread.
class Catalog {
 public:
  /// Activates a manifest if it is newer than the active one.
  /// @return false if the manifest is not newer; the active one is kept
  bool Apply(Manifest manifest);

  /// Matches the route of a request and checks the key.
  /// @param host Host header of the request, without a port
  /// @param key API key of the caller; empty if none was sent
  Admission Admit(const std::string& host, const std::string& path,
                  const std::string& key) const;

  /// Returns the organisation that owns a key, or nullopt.
  std::optional<OrganisationId> FindOrganisation(const std::string& key) const;
  /// Returns the rank of a request, or nullopt if the manifest names no
  /// priorities.
  std::optional<RequestRank> RankOf(const Route& route,
                                    const OrganisationId& organisation) const;
  /// Returns the route with the longest matching path prefix, or null.
  const Route* FindRoute(const std::string& host,
                         const std::string& path) const;
  /// Returns the active manifest, or null before the first one.
  const Manifest* manifest() const {
    return manifest_.has_value() ? &*manifest_ : nullptr;
  }
  /// Returns the version of the active manifest; 0 before the first one.
  std::uint64_t version() const {
    return manifest_.has_value() ? manifest_->version : 0;
  }

 private:
  std::optional<Manifest> manifest_;
  /// Routes by host, longest prefix first. They point into `manifest_`.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
  std::unordered_map<std::string, OrganisationId> by_key_;
  /// Priorities of the organisations that have one.
  std::map<OrganisationId, std::uint32_t> priorities_;
};

/// Returns the services to which a streaming route leads in one manifest and no
/// longer in the next.
std::set<TargetId> ServicesLeftByStreams(const Manifest& before,
                                         const Manifest& after);

/// Chooses a service of a route at random, weighted by the route's traffic
/// split.
/// @param draw random number in [0, 1)
/// @return null if no service of the route has a positive weight
const TargetId* ChooseService(const Route& route, double draw);

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_CATALOG_H_
