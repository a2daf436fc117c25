// Which window an instant belongs to, and which window is due to be closed.

#ifndef MULBERRYROAD_SRC_BILLING_WINDOW_RULES_H_
#define MULBERRYROAD_SRC_BILLING_WINDOW_RULES_H_

#include <chrono>
#include <optional>

#include "billing/window_book.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/declaration.pb.h"

namespace mulberryroad::billing {

/// Length of windows and how long they wait for late usage.
struct WindowRules {
  std::chrono::seconds length{3'600};
  std::chrono::seconds grace{60};
};

/// Returns the rules of a declaration; the defaults if it is null.
WindowRules RulesOf(const v1::Declaration* declaration);

/// Returns the start of the window that an instant belongs to.
WindowStart WindowAt(WallTime time, const WindowRules& rules);

/// Returns the next window to close if its end and grace have passed: the
/// oldest one with usage, or the one after the last closed one.
std::optional<WindowStart> WindowToClose(const WindowBook& book, WallTime now,
                                         const WindowRules& rules);

}  // namespace mulberryroad::billing

#endif  // MULBERRYROAD_SRC_BILLING_WINDOW_RULES_H_
