// Failure domains that the operator has evacuated: nothing is sent to their
// upstreams. Pure: no I/O and no clock.

#ifndef MULBERRYROAD_SRC_SERVING_EVACUATIONS_H_
#define MULBERRYROAD_SRC_SERVING_EVACUATIONS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "mulberryroad/ids.h"

namespace mulberryroad::serving {

/// A domain that was evacuated or returned.
struct EvacuationChange {
  FailureDomainId domain;
  bool evacuated = false;
};

/// The evacuated domains, each with the position of the newest record that
/// names it. Records of the store and copies from peers arrive in any order; an
/// older one never undoes a newer one. Used on the event loop's thread.
class Evacuations {
 public:
  /// Applies one record.
  /// @param offset offset of the record in its topic
  /// @param evacuated false if the record was removed
  /// @return the change, or nullopt if the record is outdated or changes
  ///     nothing
  std::optional<EvacuationChange> Apply(const FailureDomainId& domain,
                                        std::uint64_t offset, bool evacuated);
  /// Applies a listing of all evacuated domains. Domains that are not listed
  /// are returned.
  /// @param listed the evacuated domains with the offsets of their records
  /// @param position offset up to which the listing is complete, exclusive;
  ///     newer records stay in force
  std::vector<EvacuationChange> Replace(
      const std::map<FailureDomainId, std::uint64_t>& listed,
      std::uint64_t position);

  bool contains(const FailureDomainId& domain) const;
  /// Returns the number of evacuated domains.
  std::size_t size() const;

 private:
  struct Entry {
    /// Offset after the newest record of the domain.
    std::uint64_t known_up_to = 0;
    bool evacuated = false;
  };

  /// Domains that are evacuated, and those that returned by a record newer than
  /// the last listing.
  std::map<FailureDomainId, Entry> entries_;
  /// Position of the newest listing.
  std::uint64_t listed_up_to_ = 0;
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_EVACUATIONS_H_
