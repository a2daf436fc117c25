#include "serving/manifest_check.h"

#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace mulberryroad::serving {

namespace {

using Findings = std::vector<Finding>;

std::string SubjectOf(const Route& route) { return "route " + route.name; }
std::string SubjectOf(const Service& service) {
  return "service " + service.name.value();
}
std::string SubjectOf(const Organisation& organisation) {
  return "organisation " + organisation.id.value();
}

template <typename Entry>
void CheckNames(const std::vector<Entry>& entries, Findings* findings) {
  std::set<std::string> names;
  for (const Entry& entry : entries) {
    if (!names.insert(SubjectOf(entry)).second) {
      findings->push_back(
          {Severity::kError, SubjectOf(entry), "the name is used twice"});
    }
  }
}

void CheckShares(const Route& route, const std::set<TargetId>& services,
                 Findings* findings) {
  const auto error = [&](std::string message) {
    findings->push_back(
        {Severity::kError, SubjectOf(route), std::move(message)});
  };
  double total = 0;
  for (const ServiceShare& share : route.services) {
    if (!services.contains(share.service)) {
      error("leads to service " + share.service.value() +
            ", which is not declared");
    }
    if (share.weight < 0) {
      error("the weight of service " + share.service.value() + " is negative");
    } else {
      total += share.weight;
    }
  }
  if (route.services.empty()) {
    error("leads to no service");
  } else if (total <= 0) {
    error("the weights of its services sum to 0");
  }
}

void CheckRouteLimits(const Route& route, Findings* findings) {
  const auto warn = [&](const char* message) {
    findings->push_back({Severity::kWarning, SubjectOf(route), message});
  };
  // A batch route's results are due by its deadline, not by its target.
  if (route.kind != RouteKind::kBatch && route.timeout < route.target_latency) {
    warn("the timeout is shorter than the target latency");
  }
  if (route.kind == RouteKind::kBatch && route.retention.count() > 0 &&
      route.retention < route.result_deadline) {
    warn("the retention is shorter than the result deadline");
  }
  if (route.max_attempts < 1) {
    warn("allows no attempt");
  }
}

void CheckRoutes(const Manifest& manifest, Findings* findings) {
  std::set<TargetId> declared;
  for (const Service& service : manifest.services) {
    declared.insert(service.name);
  }
  std::map<std::pair<std::string, std::string>, std::string> matched;
  std::set<TargetId> used;
  for (const Route& route : manifest.routes) {
    CheckShares(route, declared, findings);
    CheckRouteLimits(route, findings);
    for (const ServiceShare& share : route.services) {
      used.insert(share.service);
    }
    const auto [first, added] =
        matched.try_emplace({route.host, route.path_prefix}, route.name);
    if (!added) {
      findings->push_back({Severity::kWarning, SubjectOf(route),
                           "never matches: route " + first->second +
                               " has the same host and prefix"});
    }
    if (!route.path_prefix.starts_with('/') ||
        !route.path_prefix.ends_with('/')) {
      findings->push_back({Severity::kWarning, SubjectOf(route),
                           "the prefix " + route.path_prefix +
                               " does not begin and end with a slash"});
    }
  }
  for (const Service& service : manifest.services) {
    if (!used.contains(service.name)) {
      findings->push_back(
          {Severity::kError, SubjectOf(service), "no route leads to it"});
    }
  }
}

void CheckOrganisations(const std::vector<Organisation>& organisations,
                        Findings* findings) {
  CheckNames(organisations, findings);
  std::map<std::string, OrganisationId> owners;
  for (const Organisation& organisation : organisations) {
    if (organisation.keys.empty()) {
      findings->push_back(
          {Severity::kWarning, SubjectOf(organisation), "has no key"});
    }
    for (const std::string& key : organisation.keys) {
      const auto [owner, added] = owners.try_emplace(key, organisation.id);
      if (!added && owner->second != organisation.id) {
        findings->push_back({Severity::kWarning, SubjectOf(organisation),
                             "holds a key that organisation " +
                                 owner->second.value() + " holds as well"});
      }
    }
  }
}

// Names the parts of an entry in which two versions differ.
class Changes {
 public:
  void Add(const char* name, bool equal) {
    if (!equal) {
      text_ += (text_.empty() ? "changed: " : ", ") + std::string(name);
    }
  }
  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

std::map<TargetId, double> Weights(const Route& route) {
  std::map<TargetId, double> weights;
  for (const ServiceShare& share : route.services) {
    weights[share.service] += share.weight;
  }
  return weights;
}

std::string ChangesOf(const Route& a, const Route& b) {
  Changes changes;
  changes.Add("host", a.host == b.host);
  changes.Add("prefix", a.path_prefix == b.path_prefix);
  changes.Add("kind", a.kind == b.kind);
  changes.Add("resumption", a.resumable == b.resumable);
  changes.Add("authentication", a.open == b.open);
  changes.Add("single version", a.single_version == b.single_version);
  changes.Add("services", Weights(a) == Weights(b));
  changes.Add("attempts", a.max_attempts == b.max_attempts);
  changes.Add("timeout", a.timeout == b.timeout);
  changes.Add("target latency", a.target_latency == b.target_latency);
  changes.Add("result deadline", a.result_deadline == b.result_deadline);
  changes.Add("retention", a.retention == b.retention);
  return changes.text();
}

std::string ChangesOf(const Service& a, const Service& b) {
  const auto bounds = [](const Service& service) {
    const Scaling scaling = service.scaling.value_or(Scaling{});
    return std::tuple(service.scaling.has_value(), scaling.min, scaling.max,
                      scaling.start_up);
  };
  Changes changes;
  changes.Add("models", a.models == b.models);
  changes.Add("scaling", bounds(a) == bounds(b));
  return changes.text();
}

std::string ChangesOf(const Organisation& a, const Organisation& b) {
  Changes changes;
  changes.Add("keys", std::set(a.keys.begin(), a.keys.end()) ==
                          std::set(b.keys.begin(), b.keys.end()));
  return changes.text();
}

template <typename Entry>
void Compare(const std::vector<Entry>& in_force,
             const std::vector<Entry>& proposed, Findings* findings) {
  std::map<std::string, const Entry*> before;
  for (const Entry& entry : in_force) {
    before.try_emplace(SubjectOf(entry), &entry);
  }
  std::set<std::string> seen;
  for (const Entry& entry : proposed) {
    const std::string subject = SubjectOf(entry);
    seen.insert(subject);
    const auto old = before.find(subject);
    const std::string message =
        old == before.end() ? "added" : ChangesOf(*old->second, entry);
    if (!message.empty()) {
      findings->push_back({Severity::kDifference, subject, message});
    }
  }
  for (const auto& [subject, entry] : before) {
    if (!seen.contains(subject)) {
      findings->push_back({Severity::kDifference, subject, "removed"});
    }
  }
}

}  // namespace

std::string_view SeverityName(Severity severity) {
  switch (severity) {
    case Severity::kError:
      return "error";
    case Severity::kWarning:
      return "warning";
    case Severity::kDifference:
      return "difference";
  }
  return "";
}

Findings CheckManifest(const Manifest& manifest) {
  Findings findings;
  CheckNames(manifest.routes, &findings);
  CheckNames(manifest.services, &findings);
  CheckRoutes(manifest, &findings);
  for (const Service& service : manifest.services) {
    if (service.scaling.has_value() &&
        service.scaling->min > service.scaling->max) {
      findings.push_back({Severity::kWarning, SubjectOf(service),
                          "the scaling minimum is above the maximum"});
    }
  }
  if (manifest.organisations.has_value()) {
    CheckOrganisations(*manifest.organisations, &findings);
  }
  // A request with a body that is smaller than its headers may be is unusual
  // enough to suggest that the two values were exchanged.
  if (manifest.limits.max_header_bytes > manifest.limits.max_body_bytes) {
    findings.push_back({Severity::kWarning, "limits",
                        "the header limit is above the body limit"});
  }
  return findings;
}

Findings CompareManifests(const Manifest& in_force, const Manifest& proposed) {
  Findings findings;
  if (proposed.version <= in_force.version) {
    findings.push_back({Severity::kError, "version",
                        std::to_string(proposed.version) + " is not above " +
                            std::to_string(in_force.version) +
                            ", which is in force: nodes would ignore it"});
  }
  Compare(in_force.routes, proposed.routes, &findings);
  Compare(in_force.services, proposed.services, &findings);
  const std::vector<Organisation> none;
  Compare(in_force.organisations.value_or(none),
          proposed.organisations.value_or(none), &findings);
  if (in_force.organisations.has_value() !=
      proposed.organisations.has_value()) {
    findings.push_back({Severity::kDifference, "organisations",
                        proposed.organisations.has_value()
                            ? "routes need a key from now on"
                            : "no route needs a key any more"});
  }
  Changes limits;
  limits.Add("header limit", in_force.limits.max_header_bytes ==
                                 proposed.limits.max_header_bytes);
  limits.Add("body limit",
             in_force.limits.max_body_bytes == proposed.limits.max_body_bytes);
  limits.Add("idle timeout",
             in_force.limits.idle_timeout == proposed.limits.idle_timeout);
  if (!limits.text().empty()) {
    findings.push_back({Severity::kDifference, "limits", limits.text()});
  }
  return findings;
}

}  // namespace mulberryroad::serving
