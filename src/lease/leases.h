// Leases of roles: at most one node acts in a role at a time.

#ifndef MULBERRYROAD_SRC_LEASE_LEASES_H_
#define MULBERRYROAD_SRC_LEASE_LEASES_H_

#include <sigc++/signal.h>

#include <cstdint>
#include <optional>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"
#include "mulberryroad/lease.pb.h"

namespace mulberryroad::lease {

/// A term that this node holds.
struct Term {
  /// Offset of the claim; the fencing number of all orders given in the term.
  std::uint64_t epoch = 0;
  /// The holder stops acting at this instant unless the term is renewed before.
  Instant ends{};
};

class Leases {
 public:
  virtual ~Leases() = default;
  /// Starts or stops to strive for a role. A held role is released when no
  /// longer wanted.
  virtual void Want(const RoleId& role, bool wanted) = 0;
  /// Returns the term that this node holds at this very moment, checked against
  /// the clock.
  virtual std::optional<Term> term(const RoleId& role) const = 0;
  /// Returns the last known holders of all roles.
  virtual std::vector<v1::LeaseState> states() const = 0;
  /// Emitted with the role and the epoch when this node becomes its holder.
  virtual sigc::signal<void(const RoleId&, std::uint64_t)>& gained() = 0;
  /// Emitted when this node stops to hold a role.
  virtual sigc::signal<void(const RoleId&)>& lost() = 0;
};

}  // namespace mulberryroad::lease

#endif  // MULBERRYROAD_SRC_LEASE_LEASES_H_
