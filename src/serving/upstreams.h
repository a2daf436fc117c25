// The upstreams that registered themselves, and which of them to use.

#ifndef MULBERRYROAD_SRC_SERVING_UPSTREAMS_H_
#define MULBERRYROAD_SRC_SERVING_UPSTREAMS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/endpoint.h"
#include "mulberryroad/ids.h"
#include "serving/upstream_health.h"

namespace mulberryroad::serving {

/// What an upstream says of itself.
struct Registration {
  UpstreamId id;
  TargetId service;
  Endpoint endpoint;
  FailureDomainId failure_domain;
  /// Requests that it runs at once.
  std::uint32_t slots = 1;
  /// It takes no new work.
  bool draining = false;
  /// Start of its process; a new start knows nothing of the one before.
  std::chrono::milliseconds started{0};
  /// Weight version by model.
  std::map<TargetId, std::uint64_t> versions;
  /// Runs on capacity that may be reclaimed.
  bool spot = false;
};

/// How long entries that were removed while the store was away, or just after,
/// are still used: live upstreams register again within about two seconds of
/// its return.
inline constexpr std::chrono::milliseconds kLapseGrace{1'500};
/// A latency is forgotten after this time without work, so that an upstream
/// that was slow is tried again.
inline constexpr std::chrono::milliseconds kLatencyAge{4'000};

/// The current registrations.
class UpstreamDirectory {
 public:
  /// Takes in one entry.
  void Put(Registration registration);
  /// Takes in the removal of an entry.
  /// @param store_unstable the store was away a moment ago, so that the entry
  ///     may have lapsed with it
  void Remove(const UpstreamId& id, bool store_unstable, Instant now);
  /// Takes in the full list of entries; all others are removed.
  void Replace(std::vector<Registration> all, bool store_unstable, Instant now);
  /// Drops the entries whose grace is over.
  void Expire(Instant now);

  /// Returns an entry, or null.
  const Registration* find(const UpstreamId& id) const;
  /// Returns the upstreams of a service that take new work.
  std::vector<const Registration*> Ready(const TargetId& service) const;
  const std::map<UpstreamId, Registration>& all() const { return entries_; }

 private:
  std::map<UpstreamId, Registration> entries_;
  std::map<UpstreamId, Instant> lapsing_;
};

/// What this node knows of the load and the failures of upstreams from its own
/// requests.
class UpstreamLoads {
 public:
  void Started(const UpstreamId& id, Instant now);
  /// @param answered whether it accepted or refused the request before
  void Ended(const UpstreamId& id, bool answered);
  /// It refused a request as full. It is taken to be full for some time, which
  /// doubles with each refusal in a row, and then gets one request to see.
  void Refused(const UpstreamId& id, Instant now);
  /// It took a request, whatever became of it.
  void Accepted(const UpstreamId& id, Instant now);
  /// It did a unit of work, such as a request or an event, in this time.
  void Worked(const UpstreamId& id, std::chrono::microseconds latency,
              Instant now);

  /// It started anew: nothing of the past counts but what still runs there.
  void Forget(const UpstreamId& id);

  std::uint32_t running(const UpstreamId& id) const;
  /// True for some time after a refusal, and while a request is under way that
  /// was sent there to see.
  bool full(const UpstreamId& id, Instant now) const;
  /// True if one more of many waiting requests is to be sent there: it has a
  /// place, is not full, and few enough of those sent are unanswered. A burst
  /// begins with few and doubles with the answers, since an upstream that
  /// changes its weights refuses all of it.
  bool TakesMore(const UpstreamId& id, std::uint32_t slots, Instant now) const;
  /// Smoothed time of a unit of work; nullopt if there was none lately.
  std::optional<std::chrono::microseconds> latency(const UpstreamId& id,
                                                   Instant now) const;
  /// What its answers say of it.
  UpstreamHealth& health() { return health_; }
  const UpstreamHealth& health() const { return health_; }

 private:
  struct Load {
    std::uint32_t running = 0;
    /// Refusals in a row. Those of requests that were sent before the first
    /// was known count as one.
    std::uint32_t refusals = 0;
    bool probing = false;
    /// Sent, and neither accepted nor refused yet.
    std::uint32_t unanswered = 0;
    /// How many may be unanswered while it accepts.
    std::uint32_t window = 0;
    std::optional<Instant> accepted;
    Instant full_until{};
    std::optional<double> latency_us;
    Instant worked{};
  };

  std::map<UpstreamId, Load> loads_;
  UpstreamHealth health_;
};

/// Returns the upstreams of a service that get work now: all but those that
/// their health keeps out of use.
std::vector<const Registration*> InUse(
    const std::vector<const Registration*>& service, const UpstreamLoads& loads,
    Instant now);

/// Chooses the upstream for a request: of those that did not fail lately the
/// one with the lowest share of its slots in use, weighted by its latency, in
/// this failure domain if all else is equal. One that is out of use is chosen
/// only if no other is left.
/// @param tried upstreams that must not be used again
/// @param draw a random number from 0 to 1 that decides between equals
/// @return null if none is left
const Registration* ChooseUpstream(
    const std::vector<const Registration*>& ready, const UpstreamLoads& loads,
    const std::set<UpstreamId>& tried, const FailureDomainId& own_domain,
    Instant now, double draw);

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_UPSTREAMS_H_
