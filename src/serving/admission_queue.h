// Order in which the requests that wait for a free slot of a service are sent.
// Pure: no I/O and no clock.
//
// Requests are ordered by the priority of their organisation, that of their
// route, the service time that the organisation has used, and their deadline.
// Service time is counted as virtual time: an organisation that was idle starts
// at the virtual time of those that were served meanwhile, and so has no
// credit.

#ifndef MULBERRYROAD_SRC_SERVING_ADMISSION_QUEUE_H_
#define MULBERRYROAD_SRC_SERVING_ADMISSION_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::serving {

/// Priority of organisations and routes for which the manifest names none; 0 is
/// the highest.
inline constexpr std::uint32_t kLowestPriority =
    std::numeric_limits<std::uint32_t>::max();

/// What determines the place of a request in the order.
struct RequestRank {
  OrganisationId organisation;
  std::uint32_t organisation_priority = kLowestPriority;
  std::uint32_t route_priority = kLowestPriority;
};

struct QueuedRequest {
  RequestRank rank;
  Instant deadline;
  /// Longest acceptable wait.
  std::chrono::milliseconds max_wait{0};
};

/// The request would not be served in time.
struct AdmissionRefusal {
  std::string reason;
  /// Time after which the waiting requests will have been served, with jitter.
  std::chrono::milliseconds retry_after{0};
  std::chrono::milliseconds expected_wait{0};
};

/// The waiting requests of one service. Used on the event loop's thread.
class AdmissionQueue {
 public:
  using Ticket = std::uint64_t;

  /// Adds a request, unless it cannot be served before its deadline or, while
  /// the service is overloaded, within its longest wait.
  /// @param draw random number in [0, 1)
  std::variant<Ticket, AdmissionRefusal> Add(const QueuedRequest& request,
                                             Instant now, double draw);
  /// Removes a request that waits no longer.
  void Remove(Ticket ticket, Instant now);
  /// Removes and returns the first request in the order that may be sent now.
  /// @param may_send returns whether an upstream has a free slot for the
  ///     request. Called for the first kMaxLookahead requests. If none of them
  ///     may be sent, called for the next kMaxLookahead that the previous calls
  ///     of TakeNext did not reach
  std::optional<Ticket> TakeNext(Instant now,
                                 const std::function<bool(Ticket)>& may_send);
  /// Returns the refusal of a request whose wait has ended.
  AdmissionRefusal Refuse(const std::string& reason, Instant now,
                          double draw) const;

  /// Records that a request was sent to an upstream, also one that did not
  /// wait.
  void OnStarted(const RequestRank& rank);
  /// Records the end of a request and the service time that it used.
  void OnEnded(const RequestRank& rank, std::chrono::microseconds used);

  /// Returns whether requests have waited too long for some time: the oldest
  /// one's wait has been above kOverloadWaitShare of its limit for a period as
  /// long as the limit.
  bool overloaded(Instant now);
  std::size_t size() const { return entries_.size(); }
  bool contains(Ticket ticket) const { return entries_.contains(ticket); }

  /// Requests may differ in the upstreams that fit them. A bound on the search
  /// keeps its cost constant.
  static constexpr int kMaxLookahead = 16;
  static constexpr double kOverloadWaitShare = 0.25;
  static constexpr std::chrono::milliseconds kRateMaxAge{2'000};
  static constexpr std::chrono::milliseconds kMinRetry{100};
  static constexpr std::chrono::milliseconds kMaxRetry{5'000};

 private:
  struct Entry {
    QueuedRequest request;
    Instant arrived;
  };
  struct Organisation {
    /// Virtual time: service time used, in microseconds.
    double virtual_time = 0;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    /// Service time charged for the running requests, in microseconds.
    double charged = 0;
  };
  /// Organisations of different priority do not share.
  using OrganisationKey = std::pair<std::uint32_t, OrganisationId>;
  using ClassKey = std::pair<std::uint32_t, std::uint32_t>;
  /// Requests of one organisation by deadline.
  using Waiting = std::set<std::pair<Instant, Ticket>>;

  static OrganisationKey KeyOf(const RequestRank& rank) {
    return {rank.organisation_priority, rank.organisation};
  }
  /// Returns the requests that would be sent before a new one.
  double CountAhead(const RequestRank& rank) const;
  /// Returns the expected time until a number of requests were sent, or nullopt
  /// if no rate was measured.
  std::optional<std::chrono::microseconds> TimeToSend(double requests,
                                                      Instant now) const;
  void Erase(std::map<Ticket, Entry>::iterator entry);
  /// Records that a waiting request was sent.
  void RecordDeparture(Instant now);

  std::map<Ticket, Entry> entries_;
  std::map<ClassKey, std::map<OrganisationId, Waiting>> classes_;
  std::map<OrganisationKey, Organisation> organisations_;
  /// Virtual time by priority: the highest one at which an organisation was
  /// served.
  std::map<std::uint32_t, double> virtual_times_;
  Ticket last_ticket_ = 0;
  /// Number of requests behind the first kMaxLookahead that TakeNext skips, as
  /// earlier calls found that they cannot be sent.
  int skipped_ = 0;
  /// Mean service time, charged when a request starts and corrected when it
  /// ends.
  double mean_service_us_ = 0;
  /// Mean time between departures while requests wait; forgotten kRateMaxAge
  /// after the last departure.
  std::optional<double> departure_interval_us_;
  Instant measured_at_{};
  /// Time of the last departure, or of the first arrival since the queue was
  /// empty; nullopt while it is empty.
  std::optional<Instant> last_departure_;
  /// Since when the oldest request has waited too long.
  std::optional<Instant> waits_long_since_;
  bool overloaded_ = false;
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_ADMISSION_QUEUE_H_
