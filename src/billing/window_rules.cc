#include "billing/window_rules.h"

#include <algorithm>

namespace mulberryroad::billing {

namespace {

std::optional<WindowStart> NextWindow(const WindowBook& book,
                                      const WindowRules& rules) {
  const std::optional<WindowStart> last = book.last_closed();
  const std::optional<WindowStart> oldest = book.oldest_open();
  if (!last) {
    return oldest;
  }
  const auto length = static_cast<WindowStart>(rules.length.count());
  const WindowStart following = (*last / length + 1) * length;
  if (oldest && *oldest > *last) {
    return std::min(*oldest, following);
  }
  return following;
}

}  // namespace

WindowRules RulesOf(const v1::Declaration* declaration) {
  WindowRules rules;
  if (declaration == nullptr) {
    return rules;
  }
  const v1::Billing& billing = declaration->billing();
  if (billing.window_seconds() > 0) {
    rules.length = std::chrono::seconds(billing.window_seconds());
  }
  if (billing.grace_seconds() > 0) {
    rules.grace = std::chrono::seconds(billing.grace_seconds());
  }
  return rules;
}

WindowStart WindowAt(WallTime time, const WindowRules& rules) {
  const auto seconds =
      std::chrono::floor<std::chrono::seconds>(time.time_since_epoch());
  return static_cast<WindowStart>((seconds / rules.length) *
                                  rules.length.count());
}

std::optional<WindowStart> WindowToClose(const WindowBook& book, WallTime now,
                                         const WindowRules& rules) {
  const std::optional<WindowStart> window = NextWindow(book, rules);
  if (!window) {
    return std::nullopt;
  }
  const auto start = std::chrono::seconds(*window);
  if (start + rules.length + rules.grace > now.time_since_epoch()) {
    return std::nullopt;
  }
  return window;
}

}  // namespace mulberryroad::billing
