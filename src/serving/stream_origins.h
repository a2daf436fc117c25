// Interface for the origins of streams: the service and software version that
// generated the first event.

#ifndef MULBERRYROAD_SRC_SERVING_STREAM_ORIGINS_H_
#define MULBERRYROAD_SRC_SERVING_STREAM_ORIGINS_H_

#include <chrono>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "mulberryroad/ids.h"

namespace mulberryroad::serving {

/// A stream of a caller over all its attempts.
struct StreamId {
  OrganisationId organisation;
  /// Id of the request that brought the first event.
  RequestId request;
};

/// Outputs of different services or software versions do not fit together.
struct StreamOrigin {
  TargetId service;
  std::string software;

  friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

/// What the origin of a stream is known from.
enum class OriginSource {
  /// This node forwarded the first event.
  kMemory,
  /// A node recorded it in the store.
  kRecord,
  /// No other version of the service was in use since the stream began.
  kOnlyVersion,
};

struct OriginKnown {
  StreamOrigin origin;
  OriginSource source = OriginSource::kMemory;
  /// Node that recorded it; empty for kOnlyVersion.
  std::string node = {};
  /// Time since the first event; zero for kOnlyVersion.
  std::chrono::milliseconds age{0};
};
struct OriginUnknown {
  std::string reason;
};
using OriginResult = std::variant<OriginKnown, OriginUnknown>;

/// Returns the name of a source for logs.
inline const char* ToString(OriginSource source) {
  switch (source) {
    case OriginSource::kMemory:
      return "memory";
    case OriginSource::kRecord:
      return "record";
    case OriginSource::kOnlyVersion:
      return "only version";
  }
  return "unknown";
}

/// Used on the event loop's thread.
class StreamOrigins {
 public:
  virtual ~StreamOrigins() = default;
  /// Returns whether the store is known to list a software version. A node that
  /// reads the listed versions later knows that a stream may have begun there.
  virtual bool IsDeclared(const StreamOrigin& version) const = 0;
  /// Records the origin of a stream whose first event is about to be forwarded.
  /// @param services services to which the route may send the request
  virtual void Begin(const StreamId& stream, const StreamOrigin& origin,
                     const std::vector<TargetId>& services) = 0;
  /// Discards the origin of a stream that its caller received completely.
  virtual void Complete(const StreamId& stream) = 0;
  /// Finds the origin of a stream.
  /// @param services services to which the route may send the request
  /// @param max_wait longest time until on_result is called
  /// @param on_result called once, possibly before Find returns
  virtual void Find(const StreamId& stream,
                    const std::vector<TargetId>& services,
                    std::chrono::milliseconds max_wait,
                    std::function<void(OriginResult)> on_result) = 0;
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_STREAM_ORIGINS_H_
