// One node: all modules composed on one loop.

#ifndef MULBERRYROAD_SRC_DAEMON_NODE_H_
#define MULBERRYROAD_SRC_DAEMON_NODE_H_

#include <memory>
#include <optional>
#include <string>

#include "mulberryroad/settings.pb.h"

namespace mulberryroad::daemon {

class Node {
 public:
  /// @param settings checked settings
  explicit Node(const v1::NodeSettings& settings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Binds all ports and starts all roles.
  /// @param reason receives the cause of a failure
  bool Start(std::string* reason);
  /// Serves until a graceful shutdown, begun by SIGTERM or SIGINT, is complete.
  void Run();

 private:
  class Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace mulberryroad::daemon

#endif  // MULBERRYROAD_SRC_DAEMON_NODE_H_
