#include "entry/route_table.h"

#include <algorithm>
#include <string_view>

namespace mulberryroad::entry {

namespace {

bool Covers(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return path.size() == prefix.size() || prefix.ends_with('/') ||
         path[prefix.size()] == '/';
}

}  // namespace

std::optional<ResolvedRoute> ResolveRoute(const v1::Declaration& declaration,
                                          const std::string& path) {
  const v1::Route* best = nullptr;
  for (const v1::Route& route : declaration.routes()) {
    const bool longer =
        best == nullptr || route.path().size() > best->path().size();
    if (longer && !route.path().empty() && Covers(route.path(), path)) {
      best = &route;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  ResolvedRoute resolved;
  resolved.kind = best->has_model() ? TargetKind::kModel : TargetKind::kService;
  resolved.target =
      TargetId(best->has_model() ? best->model() : best->service());
  resolved.open = best->open();
  resolved.idempotent = best->idempotent();
  return resolved;
}

bool HasModel(const v1::Declaration& declaration, const std::string& model) {
  return std::any_of(
      declaration.models().begin(), declaration.models().end(),
      [&](const v1::Model& declared) { return declared.name() == model; });
}

}  // namespace mulberryroad::entry
