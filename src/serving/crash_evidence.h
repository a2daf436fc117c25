// Which requests crash the upstreams that run them. Pure: no I/O and no clock.
//
// Designed for two loads that look alike to a single attempt: one content that
// comes again and again and ends each upstream that runs it, and hundreds of
// sound requests that run as a failure domain or a whole service ends. A crash
// does not count against a content if kCommonCauseUpstreams other upstreams
// lost connections at about the same time, and a response to the content clears
// it.

#ifndef MULBERRYROAD_SRC_SERVING_CRASH_EVIDENCE_H_
#define MULBERRYROAD_SRC_SERVING_CRASH_EVIDENCE_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"

namespace mulberryroad::serving {

/// A process of an upstream.
struct UpstreamProcess {
  UpstreamId id;
  /// Start time that the process reports.
  std::chrono::milliseconds started{0};

  friend auto operator<=>(const UpstreamProcess&,
                          const UpstreamProcess&) = default;
};

/// A crash of an upstream that ran a content.
struct Crash {
  UpstreamProcess upstream;
  /// Node that lost the connection.
  std::string node;
  /// Time at which this node learned of it.
  Instant at{};
};

/// Crashes by the content of the request, as ContentDigest returns it. Used on
/// the event loop's thread.
class CrashEvidence {
 public:
  /// Records that this node lost the connection to an upstream that ran the
  /// content.
  void OnConnectionLost(const std::string& content, const Crash& crash);
  /// Records a crash that this or another node reported.
  void OnReported(const std::string& content, const Crash& crash);
  /// Clears a content to which an upstream responded.
  /// @return the reported crashes, to be withdrawn
  std::vector<UpstreamProcess> OnAnswered(const std::string& content);
  /// Removes the report of a crash.
  void OnWithdrawn(const std::string& content, const UpstreamProcess& upstream);
  /// Discards contents without a crash for kMaxAge.
  void Expire(Instant now);

  /// Returns whether the content crashed kMaxCrashes upstreams, so that it is
  /// not sent any more.
  bool IsCrashing(const std::string& content) const;
  /// Returns the crashes that count against a content.
  std::vector<Crash> crashes(const std::string& content) const;
  /// Returns those that this node saw and that are not reported.
  std::vector<Crash> unreported(const std::string& content) const;
  /// Returns the contents of which the newest crash was learned before a time.
  std::vector<std::string> ContentsBefore(Instant time) const;
  /// Returns whether no crash is known.
  bool empty() const { return contents_.empty(); }
  std::size_t size() const { return contents_.size(); }

  /// Number of crashed upstreams after which a content is not sent any more.
  static constexpr std::size_t kMaxCrashes = 3;
  /// Lost connections within this time have a common cause if they are to
  /// several upstreams.
  static constexpr std::chrono::milliseconds kCommonCauseTime{250};
  /// Number of other upstreams that must lose connections in that time. A
  /// single other crash may be due to another content.
  static constexpr std::size_t kCommonCauseUpstreams = 2;
  static constexpr std::chrono::minutes kMaxAge{10};
  /// Maximum number of contents; the oldest ones are discarded.
  static constexpr std::size_t kMaxContents = 4'096;

 private:
  struct Entry {
    /// Crashes seen by this node that are not known to have another cause.
    std::map<UpstreamProcess, Crash> seen;
    std::map<UpstreamProcess, Crash> reported;
    Instant newest{};
  };
  struct Loss {
    std::string content;
    Crash crash;
  };

  Entry& EntryFor(const std::string& content, Instant now);
  /// Removes the recent crashes that have a common cause.
  void DiscountCommonCauses();

  std::map<std::string, Entry> contents_;
  /// Connections that this node lost within kCommonCauseTime.
  std::deque<Loss> recent_;
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_CRASH_EVIDENCE_H_
