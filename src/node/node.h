// One node on the users' platform: puts the parts together.

#ifndef MULBERRYROAD_SRC_NODE_NODE_H_
#define MULBERRYROAD_SRC_NODE_NODE_H_

#include <memory>
#include <string>

#include "node/settings.h"

namespace mulberryroad::node {

/// Runs until it was told to stop by SIGTERM and its requests are answered.
class Node {
 public:
  explicit Node(Settings settings);
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
