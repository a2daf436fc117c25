// The live nodes as this node sees them.

#ifndef MULBERRYROAD_SRC_MEMBERSHIP_MEMBERS_H_
#define MULBERRYROAD_SRC_MEMBERSHIP_MEMBERS_H_

#include <sigc++/signal.h>

#include <optional>
#include <string_view>
#include <vector>

#include "mulberryroad/ids.h"
#include "mulberryroad/membership.pb.h"

namespace mulberryroad::membership {

class Members {
 public:
  virtual ~Members() = default;
  /// Returns this node.
  virtual const v1::Member& self() const = 0;
  /// Returns all known nodes, dead ones included while they are remembered.
  virtual std::vector<v1::Member> all() const = 0;
  /// Returns the nodes that may take work: alive or suspect and not leaving.
  /// Contains this node unless it is leaving.
  virtual std::vector<v1::Member> eligible() const = 0;
  /// Returns a node by its name.
  virtual std::optional<v1::Member> find(const NodeId& node) const = 0;
  /// Returns the eligible node that rendezvous hashing gives a key.
  virtual std::optional<v1::Member> Owner(std::string_view key) const = 0;
  /// Returns an eligible node, in another failure domain if there is one, to
  /// keep copies of this node's state under a key.
  virtual std::optional<v1::Member> Partner(std::string_view key) const = 0;
  /// Emitted when the eligible nodes changed.
  virtual sigc::signal<void()>& changed() = 0;
};

}  // namespace mulberryroad::membership

#endif  // MULBERRYROAD_SRC_MEMBERSHIP_MEMBERS_H_
