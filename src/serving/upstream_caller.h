// One request at one upstream, and what is known of it afterwards.

#ifndef MULBERRYROAD_SRC_SERVING_UPSTREAM_CALLER_H_
#define MULBERRYROAD_SRC_SERVING_UPSTREAM_CALLER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "http/client.h"
#include "http/server_sent_events.h"
#include "mulberryroad/ids.h"
#include "serving/upstreams.h"

namespace mulberryroad::serving {

/// A request as the system passes it on. The caller's key is not part of it.
struct OutgoingRequest {
  RequestId id;
  http::Method method = http::Method::kPost;
  std::string host;
  /// Path with its query.
  std::string target;
  /// Headers of the caller that concern the request, not its connection.
  http::Headers headers;
  std::string body;
  /// Empty on open routes.
  OrganisationId organisation;
};

/// The upstream did not run the request and will not.
struct NotRun {
  std::string reason;
  /// It had no room, or a change of weights kept it from starting.
  bool full = false;
};
/// No whole answer came: the request may have run.
struct MayHaveRun {
  std::string reason;
};
/// The upstream's whole answer to this request.
struct Whole {
  int status = 0;
  http::Headers headers;
  /// Empty if the answer was streamed.
  std::string body;
};
using UpstreamOutcome = std::variant<NotRun, MayHaveRun, Whole>;

/// Start of a stream.
struct StreamStart {
  int status = 0;
  http::Headers headers;
  /// Weight version at the start; 0 if the upstream named none.
  std::uint64_t version = 0;
};
/// One whole event of a stream.
struct StreamEvent {
  /// Bytes as received.
  std::string bytes;
  std::string id;
  std::string data;
  /// Weight version from this event on; nullopt if it did not change.
  std::optional<std::uint64_t> version;
};

struct StreamHandler {
  std::function<void(const StreamStart&)> on_start;
  std::function<void(const StreamEvent&)> on_event;
};

/// What one call asks of an upstream beside the request itself.
struct CallOptions {
  /// Time that the caller still waits.
  std::chrono::milliseconds deadline{0};
  /// Goes on behind this event; empty from the start.
  std::string resume_after;
  /// Runs only under this weight version; 0 under any.
  std::uint64_t version = 0;
  /// Set if the answer is a stream.
  std::optional<StreamHandler> stream;
};

class UpstreamCaller {
 public:
  virtual ~UpstreamCaller() = default;
  /// Sends a request. Cancelling the returned call closes its connection, which
  /// makes the upstream drop the request. Never calls back inside Send.
  virtual std::shared_ptr<http::Call> Send(
      const Registration& upstream, const OutgoingRequest& request,
      CallOptions options, std::function<void(UpstreamOutcome)> on_done) = 0;
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_UPSTREAM_CALLER_H_
