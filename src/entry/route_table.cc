#include "entry/route_table.h"

#include <algorithm>
#include <string_view>

namespace mulberryroad::entry {

namespace {

bool IsSegmentPrefix(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return path.size() == prefix.size() || prefix.ends_with('/') ||
         path[prefix.size()] == '/';
}

}  // namespace

std::optional<ResolvedRoute> ResolveRoute(const v1::Declaration& declaration,
                                          const std::string& path) {
  const v1::Route* longest = nullptr;
  for (const v1::Route& route : declaration.routes()) {
    const bool longer =
        longest == nullptr || route.path().size() > longest->path().size();
    if (longer && !route.path().empty() &&
        IsSegmentPrefix(route.path(), path)) {
      longest = &route;
    }
  }
  if (longest == nullptr) {
    return std::nullopt;
  }
  ResolvedRoute resolved;
  resolved.kind =
      longest->has_model() ? TargetKind::kModel : TargetKind::kService;
  resolved.target =
      TargetId(longest->has_model() ? longest->model() : longest->service());
  resolved.open = longest->open();
  resolved.idempotent = longest->idempotent();
  return resolved;
}

bool HasModel(const v1::Declaration& declaration, const std::string& model) {
  return std::any_of(
      declaration.models().begin(), declaration.models().end(),
      [&](const v1::Model& declared) { return declared.name() == model; });
}

}  // namespace mulberryroad::entry
