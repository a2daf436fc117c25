// Resolves request paths to declared routes.

#ifndef MULBERRYROAD_SRC_ENTRY_ROUTE_TABLE_H_
#define MULBERRYROAD_SRC_ENTRY_ROUTE_TABLE_H_

#include <optional>
#include <string>

#include "mulberryroad/declaration.pb.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::entry {

/// Path of completions that name the model in the body.
inline constexpr const char* kCompletionsPath = "/v1/completions";

enum class TargetKind { kModel, kService };

struct ResolvedRoute {
  TargetKind kind = TargetKind::kModel;
  TargetId target;
  /// Requests need no key.
  bool open = false;
  bool idempotent = false;
};

/// Returns the declared route whose path is the longest prefix of `path` that
/// ends at a segment boundary, or nullopt.
std::optional<ResolvedRoute> ResolveRoute(const v1::Declaration& declaration,
                                          const std::string& path);

/// Returns true if a model is declared.
bool HasModel(const v1::Declaration& declaration, const std::string& model);

}  // namespace mulberryroad::entry

#endif  // MULBERRYROAD_SRC_ENTRY_ROUTE_TABLE_H_
