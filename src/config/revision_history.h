// The pure revision rule: which declaration is in force after the records read
// so far.

#ifndef MULBERRYROAD_SRC_CONFIG_REVISION_HISTORY_H_
#define MULBERRYROAD_SRC_CONFIG_REVISION_HISTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "mulberryroad/config.pb.h"
#include "platform/log_service.h"

namespace mulberryroad::config {

/// The record became this revision.
struct Accepted {
  std::uint64_t revision = 0;
};

/// The record changes nothing.
struct Rejected {
  std::string reason;
};

using ApplyOutcome = std::variant<Accepted, Rejected>;

/// An apply is valid only on the current revision; its own revision is its
/// offset plus one. The chain follows the log alone; what is in force may be
/// ahead of it through a peer, and never falls.
class RevisionHistory {
 public:
  /// Applies a record of the log; records must come in offset order.
  ApplyOutcome Apply(platform::Offset offset, const v1::ConfigApply& apply);
  /// Takes the state of a snapshot in place of the records that it covers.
  void Load(const v1::ConfigRevision& revision);
  /// Takes a revision from a peer.
  /// @return true if it came into force
  bool Learn(const v1::ConfigRevision& revision);

  /// The revision that an apply must name; 0 before the first.
  std::uint64_t chain_revision() const { return chain_.revision(); }
  /// The latest revision that the log gave.
  const v1::ConfigRevision& chain() const { return chain_; }
  /// The revision in force; its revision is 0 before the first.
  const v1::ConfigRevision& in_force() const { return in_force_; }

  /// Returns what became of the apply at an offset.
  std::optional<ApplyOutcome> outcome(platform::Offset offset) const;

 private:
  ApplyOutcome Decide(platform::Offset offset, const v1::ConfigApply& apply);
  bool Raise(const v1::ConfigRevision& revision);

  v1::ConfigRevision chain_;
  v1::ConfigRevision in_force_;
  std::map<platform::Offset, ApplyOutcome> outcomes_;
};

}  // namespace mulberryroad::config

#endif  // MULBERRYROAD_SRC_CONFIG_REVISION_HISTORY_H_
