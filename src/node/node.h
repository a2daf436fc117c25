// Composition root of a node: constructs its components and connects them.

#ifndef MULBERRYROAD_SRC_NODE_NODE_H_
#define MULBERRYROAD_SRC_NODE_NODE_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "node/settings.h"

namespace mulberryroad::node {

/// Settings read from the file, or the reason why reading failed.
using SettingsResult = std::variant<Settings, std::string>;

/// A node of the service. All work runs on the thread that calls Run().
class Node {
 public:
  /// @param reload_settings reads the settings file again, on SIGHUP and
  ///     periodically; only a changed list of seeds takes effect without a
  ///     restart
  Node(Settings settings, std::function<SettingsResult()> reload_settings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Binds the listening addresses and starts reading the store.
  /// @param reason set to the error message on failure
  /// @return false if an address cannot be bound
  bool Start(std::string* reason);
  /// Runs the event loop on the calling thread; returns after SIGTERM, once the
  /// drain has ended.
  void Run();

 private:
  class Impl;

  std::unique_ptr<Impl> impl_;
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_NODE_H_
