// Waits until a revision is in force on every live node.

#ifndef MULBERRYROAD_SRC_CTL_IN_FORCE_H_
#define MULBERRYROAD_SRC_CTL_IN_FORCE_H_

#include <chrono>
#include <cstdint>
#include <ostream>

#include "ctl/admin_client.h"
#include "mulberryroad/api.pb.h"

namespace mulberryroad::ctl {

/// How far a revision has come.
struct Spread {
  std::size_t in_force = 0;
  std::size_t live = 0;

  bool complete() const { return live > 0 && in_force == live; }
};

/// Counts the live nodes that have a revision or a later one in force.
Spread CountInForce(const v1::NodeStatus& status, std::uint64_t revision);

/// Polls a node until the revision is in force on every live node, and prints
/// each step.
/// @return false if the timeout ran out first
bool WaitInForce(AdminClient& client, std::uint64_t revision,
                 std::chrono::milliseconds timeout, std::ostream& out,
                 std::ostream& err);

}  // namespace mulberryroad::ctl

#endif  // MULBERRYROAD_SRC_CTL_IN_FORCE_H_
