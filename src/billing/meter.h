// Counts what callers received, by organisation.

#ifndef MULBERRYROAD_SRC_BILLING_METER_H_
#define MULBERRYROAD_SRC_BILLING_METER_H_

#include <cstdint>

#include "mulberryroad/ids.h"

namespace mulberryroad::billing {

/// What one answered request used.
struct Usage {
  std::uint64_t requests = 1;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t generated_tokens = 0;
};

class Meter {
 public:
  virtual ~Meter() = default;
  /// Adds usage to the organisation's current window.
  virtual void Count(const OrganisationId& organisation,
                     const Usage& usage) = 0;
};

}  // namespace mulberryroad::billing

#endif  // MULBERRYROAD_SRC_BILLING_METER_H_
