// The manifest in force on this node: finds routes and checks keys.

#ifndef MULBERRYROAD_SRC_SERVING_CATALOG_H_
#define MULBERRYROAD_SRC_SERVING_CATALOG_H_

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "serving/manifest.h"

namespace mulberryroad::serving {

/// The request may run on this route, on behalf of this organisation (empty on
/// open routes).
struct Admitted {
  const Route* route = nullptr;
  OrganisationId organisation;
};
/// No manifest is known yet.
struct NoManifest {};
struct NoRoute {};
struct UnknownKey {};
using Admission = std::variant<Admitted, NoManifest, NoRoute, UnknownKey>;

class Catalog {
 public:
  /// Puts a manifest in force, unless a newer one is.
  /// @return false if the manifest is not newer than the one in force
  bool Apply(Manifest manifest);

  /// Decides whether a request may run.
  /// @param host as the caller sent it, without a port
  /// @param key the caller's key; empty if it sent none
  Admission Admit(const std::string& host, const std::string& path,
                  const std::string& key) const;

  /// Returns the organisation of a key, or nullopt.
  std::optional<OrganisationId> OrganisationOf(const std::string& key) const;
  /// Returns the route with the longest matching prefix, or null.
  const Route* Match(const std::string& host, const std::string& path) const;
  /// Returns the manifest in force, or null.
  const Manifest* manifest() const {
    return manifest_.has_value() ? &*manifest_ : nullptr;
  }
  /// Returns the version in force; 0 if there is none.
  std::uint64_t version() const {
    return manifest_.has_value() ? manifest_->version : 0;
  }

 private:
  std::optional<Manifest> manifest_;
  /// Routes of a host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
  std::unordered_map<std::string, OrganisationId> by_key_;
};

/// Picks a service of a route by the weights of its split.
/// @param draw from 0 inclusive to 1 exclusive
const TargetId* PickService(const Route& route, double draw);

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_CATALOG_H_
