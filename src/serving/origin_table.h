// Decides which origins of streams have to be stored, and what the origin of a
// stream without a record must be. Pure: no I/O and no clock.
//
// Designed for services that run a single software version nearly always: then
// nothing is stored for a stream. Software versions are declared in the store
// before or as they are first used; a stream gets a record of its own only
// while its service has more than one declared version.

#ifndef MULBERRYROAD_SRC_SERVING_ORIGIN_TABLE_H_
#define MULBERRYROAD_SRC_SERVING_ORIGIN_TABLE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mulberryroad/clock.h"
#include "mulberryroad/ids.h"
#include "serving/stream_origins.h"

namespace mulberryroad::serving {

/// Software versions by service.
using SoftwareVersions = std::map<TargetId, std::set<std::string>>;

enum class OriginRecord {
  kNone,
  /// This node wrote it, or is about to.
  kOwn,
  /// Another node wrote it.
  kOther,
};

/// Origin of a stream that this node forwards or has forwarded.
struct KnownOrigin {
  StreamOrigin origin;
  Instant begun{};
  OriginRecord record = OriginRecord::kNone;
  bool complete = false;
};

/// Used on the event loop's thread.
class OriginTable {
 public:
  /// Adds a stream under its key.
  /// @param record kOther if the store has its record, else kNone
  /// @param several_services whether the route leads to other services as well
  /// @return whether a record must be written
  bool Add(const std::string& key, const StreamOrigin& origin,
           OriginRecord record, bool several_services, Instant now);
  /// Records that the response to the caller is complete. The stream stays
  /// known, since the end of the response may be lost on the way.
  /// @return whether this node must delete its record
  bool Complete(const std::string& key);
  /// Returns the origin of a stream, or null.
  const KnownOrigin* find(const std::string& key) const;

  /// Returns whether the version still has to be declared.
  bool NeedsDeclaration(const StreamOrigin& origin) const;
  /// Records that the store has the declaration of a version.
  /// @return keys of the streams whose records must be written now
  std::vector<std::string> OnDeclared(const StreamOrigin& origin);
  /// Records that a route no longer leads to a service.
  /// @return keys of the streams whose records must be written now
  std::vector<std::string> OnRouteLeft(const TargetId& service);
  /// Records that the declaration of a version was deleted.
  void OnWithdrawn(const StreamOrigin& origin);
  /// Returns whether a stream of the service was ever added.
  bool HasStreams(const TargetId& service) const {
    return services_.contains(service);
  }

  /// Removes the streams that began longer than kMaxAge ago.
  void Expire(Instant now);
  std::size_t size() const { return streams_.size(); }

  /// Longest time from the first event of a stream to the end of its last
  /// attempt: far above the deadlines of callers.
  static constexpr std::chrono::minutes kMaxAge{10};
  /// Maximum number of streams; the ones that began first are removed.
  static constexpr std::size_t kMaxStreams = 50'000;

 private:
  void Remove(const std::string& key);
  /// Marks the streams of a service that have no record as recorded.
  /// @return their keys
  std::vector<std::string> RecordAll(const TargetId& service);

  std::map<std::string, KnownOrigin> streams_;
  /// Keys by the time at which the streams began.
  std::multimap<Instant, std::string> by_age_;
  SoftwareVersions declared_;
  std::set<TargetId> services_;
};

/// Returns the origin of a stream that has no record.
/// @param services services to which its route leads
/// @param declared versions that the store lists, read after it was seen that
///     there is no record
/// @param listed versions of the upstreams that are registered
/// @return nullopt if the stream can have begun at more than one version
std::optional<StreamOrigin> OnlyOrigin(const std::vector<TargetId>& services,
                                       const SoftwareVersions& declared,
                                       const SoftwareVersions& listed);

/// Limits how often a node appends records: the interval adapts to the time
/// that the store takes, so that the nodes share its capacity without knowing
/// their number. Doubles on overload and shrinks by a constant otherwise: with
/// a factor, some nodes would get all of the capacity. Pure.
class AppendPacer {
 public:
  /// Records an append that the store executed.
  void OnAppended(std::chrono::milliseconds took);
  /// Records an append that failed or was refused.
  void OnFailed();
  /// Returns the time between the start of two appends.
  std::chrono::milliseconds interval() const { return interval_; }

  static constexpr std::chrono::milliseconds kMinInterval{20};
  static constexpr std::chrono::milliseconds kMaxInterval{1'000};
  /// Duration above which the store is overloaded: ten times the usual one.
  static constexpr std::chrono::milliseconds kSlowAppend{50};

 private:
  std::chrono::milliseconds interval_{kMinInterval};
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_ORIGIN_TABLE_H_
