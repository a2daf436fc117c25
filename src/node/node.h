// One node on the users' platform: puts the parts together.

#ifndef MULBERRYROAD_SRC_NODE_NODE_H_
#define MULBERRYROAD_SRC_NODE_NODE_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "node/settings.h"

namespace mulberryroad::node {

/// Settings as they stand in their file now, or why they cannot be read.
using SettingsRead = std::variant<Settings, std::string>;

/// Runs until it was told to stop by SIGTERM and its requests are answered.
class Node {
 public:
  /// @param read_again reads the settings that are in their file now: of what
  ///     changes there while the node runs, the seeds are taken over
  Node(Settings settings, std::function<SettingsRead()> read_again);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Binds the node's addresses and begins to read the store.
  /// @param reason set if an address cannot be bound
  bool Start(std::string* reason);
  void Run();

 private:
  class Parts;

  std::unique_ptr<Parts> parts_;
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_NODE_H_
