// Which upstreams have just started and how many requests they tolerate. Pure:
// no I/O and no clock.

#ifndef MULBERRYROAD_SRC_SERVING_COLD_UPSTREAMS_H_
#define MULBERRYROAD_SRC_SERVING_COLD_UPSTREAMS_H_

#include <sigc++/signal.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"
#include "serving/manifest.h"
#include "serving/upstreams.h"

namespace mulberryroad::serving {

/// Number of requests that may reach a cold upstream within a second: its rate
/// times `factor`, plus `requests`.
struct ColdBounds {
  double factor = 1.5;
  double requests = 5;
};

/// Rate and burst at which an allocator grants requests.
struct ColdGrant {
  double requests_per_second = 0;
  double burst = 1;
};

/// Time between the decision of an allocator and the use of the permit that it
/// granted, without the delay that the allocator set itself.
inline constexpr std::chrono::milliseconds kMaxPermitAge{300};

/// Returns the grant with which the requests of any second stay under the
/// bound although permits are used up to kMaxPermitAge late.
/// @param requests_per_second rate that the cold upstream tolerates
ColdGrant GrantForCold(double requests_per_second, const ColdBounds& bounds);

enum class ColdSource {
  /// The registration states the remaining cold time.
  kRegistration,
  /// The process is new and its registration states no cold time.
  kRestart,
  /// Another node reported it in a permit message.
  kNode,
};
/// Returns the name of a source for the log.
const char* ToString(ColdSource source);

/// A process of an upstream that is cold.
struct ColdUpstream {
  /// Start time of the process.
  std::chrono::milliseconds started{0};
  Instant until{};
  ColdSource source = ColdSource::kRegistration;
  /// Time at which this node learned it.
  Instant learned{};
  /// nullopt if the service has no limit for cold upstreams.
  std::optional<ColdGrant> grant;
};

/// The beginning of a cold period, for the log.
struct ColdPeriod {
  UpstreamId upstream;
  std::chrono::milliseconds left{0};
  ColdSource source = ColdSource::kRegistration;
};

/// The cold time of each upstream's newest process. Used on the event loop's
/// thread.
class ColdUpstreams {
 public:
  explicit ColdUpstreams(ColdBounds bounds = {}) : bounds_(bounds) {}

  /// Replaces the limits of the services. Values out of bounds are clamped.
  /// @return the services with such values
  std::vector<TargetId> SetServices(const std::vector<Service>& services,
                                    Instant now);
  /// Records a registration. Ignored if a newer one of the same upstream was
  /// recorded: a peer's copy must not restart the cold time.
  /// @param offset position of the registration in the store, or of the end of
  ///     the records from which it was copied
  /// @param just_started whether a process that was not known before has just
  ///     started
  /// @return false if the stated cold time is out of bounds and was not so
  ///     before. A negative one counts as not stated, one above kMaxColdTime as
  ///     kMaxColdTime.
  bool OnRegistered(const Registration& registration, std::uint64_t offset,
                    bool just_started, Instant now);
  /// Records what another node reported. Ignored if it is of an earlier
  /// process.
  /// @param requests_per_second granted rate that the other node knows; used if
  ///     this node does not know the service
  void OnReported(const UpstreamId& id, std::chrono::milliseconds started,
                  std::chrono::milliseconds left, double requests_per_second,
                  Instant now);
  /// Discards the upstreams about which nothing was learned for kMaxAge.
  void Expire(Instant now);

  /// Returns the cold process of an upstream, or nullopt.
  std::optional<ColdUpstream> find(const UpstreamId& id, Instant now) const;
  /// Returns the grant of a cold upstream, or nullopt if it is not cold or has
  /// no limit.
  std::optional<ColdGrant> grant(const UpstreamId& id, Instant now) const;
  /// Returns the remaining cold time to report to another node, or 0. What this
  /// node knows from a report is shortened by kReportMargin, so that nodes do
  /// not extend it by reporting it to each other.
  std::chrono::milliseconds ReportedTime(const UpstreamId& id,
                                         Instant now) const;
  /// Returns the number of cold upstreams.
  std::size_t count(Instant now) const;

  /// Emitted once per cold period.
  sigc::signal<void(const ColdPeriod&)>& on_cold() { return on_cold_; }

  static constexpr std::chrono::seconds kMaxColdTime{60};
  /// Longest time that a permit message of a completed exchange takes.
  static constexpr std::chrono::milliseconds kReportMargin{100};
  static constexpr std::chrono::minutes kMaxAge{10};
  /// Upper bound of a rate, in requests per second.
  static constexpr double kMaxRate = 1e6;

 private:
  struct Report {
    Instant until{};
    Instant learned{};
    double requests_per_second = 0;
  };
  struct Entry {
    /// Empty if only reports are known.
    TargetId service;
    std::chrono::milliseconds started{0};
    /// Start time in the last registration; nullopt if only reports are known.
    std::optional<std::chrono::milliseconds> registered_started;
    std::uint64_t offset = 0;
    /// Cold time in the last registration.
    std::optional<std::chrono::milliseconds> cold_left;
    /// End of the cold time that the registration states.
    std::optional<Instant> stated_until;
    Instant stated_at{};
    /// Time at which this node learned of a restart without a stated time.
    std::optional<Instant> restarted_at;
    std::optional<Report> report;
    /// Time of the last change.
    Instant learned{};
    bool announced = false;
    bool invalid = false;
  };

  Entry& EntryFor(const UpstreamId& id, std::chrono::milliseconds started);
  std::optional<ColdUpstream> Evaluate(const Entry& entry, Instant now) const;
  /// Emits on_cold if a cold period has begun.
  void Announce(const UpstreamId& id, Entry* entry, bool was_cold, Instant now);

  ColdBounds bounds_;
  std::map<TargetId, ColdStart> services_;
  std::map<UpstreamId, Entry> entries_;
  sigc::signal<void(const ColdPeriod&)> on_cold_;
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_COLD_UPSTREAMS_H_
