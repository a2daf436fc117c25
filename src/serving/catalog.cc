#include "serving/catalog.h"

#include <algorithm>
#include <utility>

namespace mulberryroad::serving {

bool Catalog::Apply(Manifest manifest) {
  if (manifest_.has_value() && manifest.version <= manifest_->version) {
    return false;
  }
  by_host_.clear();
  by_key_.clear();
  priorities_.clear();
  manifest_ = std::move(manifest);
  for (const Route& route : manifest_->routes) {
    by_host_[route.host].push_back(&route);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* a, const Route* b) {
                       return a->path_prefix.size() > b->path_prefix.size();
                     });
  }
  if (manifest_->organisations.has_value()) {
    for (const Organisation& organisation : *manifest_->organisations) {
      for (const std::string& key : organisation.keys) {
        by_key_[key] = organisation.id;
      }
      if (organisation.priority.has_value()) {
        priorities_[organisation.id] = *organisation.priority;
      }
    }
  }
  return true;
}

Admission Catalog::Admit(const std::string& host, const std::string& path,
                         const std::string& key) const {
  if (!manifest_.has_value()) {
    return NoManifest{};
  }
  const Route* route = FindRoute(host, path);
  if (route == nullptr) {
    return NoRoute{};
  }
  if (route->open || !manifest_->organisations.has_value()) {
    return Admitted{route, {}};
  }
  const std::optional<OrganisationId> organisation = FindOrganisation(key);
  if (!organisation.has_value()) {
    return InvalidKey{};
  }
  return Admitted{route, *organisation};
}

std::optional<OrganisationId> Catalog::FindOrganisation(
    const std::string& key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<RequestRank> Catalog::RankOf(
    const Route& route, const OrganisationId& organisation) const {
  if (!manifest_.has_value() || !manifest_->uses_priorities) {
    return std::nullopt;
  }
  const auto found = priorities_.find(organisation);
  return RequestRank{
      organisation,
      found == priorities_.end() ? kLowestPriority : found->second,
      route.priority.value_or(kLowestPriority)};
}

const Route* Catalog::FindRoute(const std::string& host,
                                const std::string& path) const {
  const auto routes = by_host_.find(host);
  if (routes == by_host_.end()) {
    return nullptr;
  }
  const auto found = std::find_if(routes->second.begin(), routes->second.end(),
                                  [&path](const Route* route) {
                                    return path.starts_with(route->path_prefix);
                                  });
  return found == routes->second.end() ? nullptr : *found;
}

std::set<TargetId> ServicesLeftByStreams(const Manifest& before,
                                         const Manifest& after) {
  std::set<TargetId> left;
  for (const Route& route : before.routes) {
    if (route.kind != RouteKind::kStreaming) {
      continue;
    }
    const auto same = std::find_if(
        after.routes.begin(), after.routes.end(), [&route](const Route& other) {
          return other.host == route.host &&
                 other.path_prefix == route.path_prefix;
        });
    for (const ServiceShare& share : route.services) {
      const bool stays =
          same != after.routes.end() &&
          std::any_of(same->services.begin(), same->services.end(),
                      [&share](const ServiceShare& other) {
                        return other.service == share.service;
                      });
      if (!stays) {
        left.insert(share.service);
      }
    }
  }
  return left;
}

const TargetId* ChooseService(const Route& route, double draw) {
  double total = 0;
  for (const ServiceShare& share : route.services) {
    total += share.weight;
  }
  double remaining = draw * total;
  const TargetId* last = nullptr;
  for (const ServiceShare& share : route.services) {
    if (share.weight <= 0) {
      continue;
    }
    last = &share.service;
    remaining -= share.weight;
    if (remaining < 0) {
      break;
    }
  }
  return last;
}

}  // namespace mulberryroad::serving
