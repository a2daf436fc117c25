// Serves one request of a caller, from its admission to its response: retries,
// hedging and streaming.

#ifndef MULBERRYROAD_SRC_SERVING_REQUEST_SESSION_H_
#define MULBERRYROAD_SRC_SERVING_REQUEST_SESSION_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "base/metrics.h"
#include "base/structured_log.h"
#include "http/server.h"
#include "mulberryroad/clock.h"
#include "serving/admission_queues.h"
#include "serving/attempt_policy.h"
#include "serving/catalog.h"
#include "serving/crash_evidence.h"
#include "serving/crash_reporter.h"
#include "serving/permit_source.h"
#include "serving/stream_origins.h"
#include "serving/upstream_caller.h"
#include "serving/upstreams.h"

namespace mulberryroad::serving {

/// Dependencies that all sessions of a node share. They must outlive the
/// sessions.
struct ServingContext {
  base::EventLoop& loop;
  const Clock& clock;
  base::StructuredLog& log;
  base::Metrics& metrics;
  const Catalog& catalog;
  const UpstreamDirectory& directory;
  UpstreamLoads& loads;
  PermitSource& permits;
  CrashEvidence& crashes;
  CrashReporter& crash_reporter;
  StreamOrigins& origins;
  UpstreamCaller& caller;
  std::string node;
  FailureDomainId own_domain;
  std::mt19937_64& random;
  /// Counts a request that an upstream began to run, for usage reports. Called
  /// at most once per session.
  std::function<void(const OrganisationId&)> count_usage;
  /// Returns a Retry-After header for the given delay.
  std::function<http::Header(std::chrono::milliseconds)> retry_after;
  /// Order of the requests that have a rank; null if none has one.
  AdmissionQueues* admission = nullptr;
};

/// An admitted request and the rules of its route.
struct SessionRequest {
  OutgoingRequest outgoing;
  TargetId service;
  /// All services to which the route leads.
  std::vector<TargetId> services;
  RouteKind kind = RouteKind::kNonIdempotent;
  bool resumable = false;
  int max_attempts = 1;
  /// Deadline of the response: the earlier of the caller's and the route's.
  Instant deadline;
  std::chrono::milliseconds target_latency{0};
  /// Id of the last event that the caller received; empty to start from the
  /// beginning.
  std::string resume_after;
  /// Id of the request that brought the first of these events; empty if the
  /// caller did not name it.
  RequestId resumes;
  /// Place in the order of requests that find no free slot; nullopt to send
  /// them to an upstream in any case.
  std::optional<RequestRank> rank = std::nullopt;
};

/// Session of one request. It holds a reference to itself from Start until the
/// response is sent or the caller disconnects. Runs on the event loop's thread.
class RequestSession : public std::enable_shared_from_this<RequestSession> {
 public:
  RequestSession(ServingContext& context,
                 std::shared_ptr<http::Exchange> exchange,
                 SessionRequest request);

  /// Sends the first attempt. Called once.
  void Start();

  /// Share of the target latency after which an unanswered repeatable request
  /// is hedged at a second upstream: late enough that nearly all ordinary
  /// responses have arrived, early enough that the second one arrives in time.
  static constexpr double kHedgeDelayShare = 0.5;
  /// Retry-After delay when all upstreams of a service are full: about the time
  /// in which one of its requests completes.
  static constexpr std::chrono::milliseconds kRetryAfterFull{100};
  /// Retry-After delay when a service has no upstreams: registrations take
  /// about this long to reach all nodes.
  static constexpr std::chrono::milliseconds kRetryAfterNoUpstream{500};
  /// Retry-After delay when no connection to an upstream can be established,
  /// directly or through a peer: lost links are tried about this often.
  static constexpr std::chrono::milliseconds kRetryAfterUnreachable{250};
  /// Longest wait for a rate limit, as a share of the target latency. A caller
  /// that would wait longer does better to return later.
  static constexpr double kPermitWaitShare = 0.5;
  /// Longest wait for the origin of a stream to resume.
  static constexpr std::chrono::milliseconds kMaxOriginWait{1'000};
  /// Longest wait for a free slot in all attempts, as a share of the target
  /// latency.
  static constexpr double kQueueWaitShare = 0.25;

 private:
  /// An attempt in flight.
  struct Attempt {
    UpstreamId upstream;
    /// Start time of the upstream's process.
    std::chrono::milliseconds upstream_started{0};
    /// Software version of the upstream.
    std::string software;
    Instant sent;
    std::shared_ptr<http::Call> call;
  };

  /// Finds out at which service and software version the stream to resume
  /// began, then sends the first attempt there.
  void FindOrigin();
  void OnOrigin(const OriginResult& result);
  /// Returns whether no registered upstream can resume the stream, though the
  /// service has others.
  bool OriginIsGone() const;
  /// Returns the ready upstreams whose output fits what the caller has.
  std::vector<const Registration*> FittingUpstreams() const;
  /// Returns the stream to which the events of this request belong.
  StreamId stream_id() const;
  /// Sends an attempt to the next upstream, once a permit is granted if those
  /// without a rate limit are busy or there are none. Without one it ends the
  /// request, unless another attempt is in flight.
  void SendAttempt();
  /// Ends the request, unless another attempt is in flight.
  /// @param retry Retry-After delay if the request was not run
  void EndWithoutUpstream(const std::string& reason,
                          std::chrono::milliseconds retry);
  /// Returns whether a request would have to wait at the upstream.
  bool IsBusy(const Registration& upstream) const;
  /// Lets the next attempt wait for its turn if no untried upstream has a free
  /// slot, or other requests wait.
  /// @return whether the request waits, or was refused
  bool WaitForTurn();
  /// Returns whether an untried upstream has a free slot.
  bool HasFreeSlot() const;
  void OnTurn();
  void OnQueueWaitEnd();
  /// Logs and counts a refusal, and ends the request.
  void RefuseQueued(const AdmissionRefusal& refusal);
  /// Leaves the queue.
  /// @param result label of the wait in the metrics
  void EndQueueWait(const std::string& result);
  /// Records the end of an attempt and the service time that it used.
  void RecordServiceTime(std::chrono::microseconds used);
  /// Asks for a permit to send the next attempt to one of these upstreams.
  /// @param may_wait whether the attempt may wait for the permit
  void AcquirePermit(std::vector<UpstreamId> upstreams, bool may_wait);
  void OnPermitDenied(const PermitDenied& denied);
  /// Returns the upstreams of the service that were not tried yet.
  std::vector<const Registration*> UntriedUpstreams() const;
  /// Returns the best upstream that was not tried yet and may get a request
  /// now, or null.
  const Registration* ChooseUntried();
  CallOptions MakeCallOptions(int number);
  void OnAttemptDone(int number, UpstreamOutcome outcome);
  /// Updates load, health and usage with the outcome of an attempt.
  void RecordOutcome(const Attempt& ended, const UpstreamOutcome& outcome);
  /// Records that the upstream may have crashed under the request.
  void RecordConnectionLost(const Attempt& ended);
  /// Ends the request if its content has crashed too many upstreams.
  /// @return true if it ended
  bool FailIfCrashing();
  /// Returns the digest of the request's content.
  const std::string& content();
  void ScheduleHedge();
  /// Keeps the head of a response until its first event, so that an attempt
  /// that ends before has sent nothing to the caller.
  void OnStreamStart(int number, const StreamStart& start);
  void OnStreamEvent(int number, const StreamEvent& event);
  /// Sends the head of the response, if it was not sent yet.
  void ForwardHead();
  /// Forwards the complete response of an attempt.
  void DeliverResponse(int number, const CompleteResponse& response);
  /// Replies 503 "not run".
  /// @param retry value of the Retry-After header; nullopt if a later attempt
  ///     cannot succeed
  void ReplyNotRun(const std::string& reason,
                   std::optional<std::chrono::milliseconds> retry);
  /// Replies with an error that says "may have run", or aborts the stream.
  void FailRequest(int status, const std::string& reason);
  void OnDeadline();
  /// Cancels the timers, records metrics and the log line, and releases the
  /// session's reference to itself.
  /// @param status status of the response; 0 if the caller disconnected
  void Finish(const std::string& outcome, int status);
  void CancelAttempts();
  /// Returns the time left until the deadline.
  std::chrono::milliseconds time_left() const;
  bool streaming() const { return request_.kind == RouteKind::kStreaming; }

  ServingContext& context_;
  std::shared_ptr<http::Exchange> exchange_;
  SessionRequest request_;
  AttemptPolicy policy_;
  Instant started_;
  std::map<int, Attempt> attempts_;
  int next_attempt_number_ = 0;
  std::set<UpstreamId> tried_upstreams_;
  /// Digest of the request's content; empty until it is needed.
  std::string content_;
  bool connection_lost_ = false;
  /// Upstream of the latest attempt; empty before the first.
  UpstreamId last_upstream_;
  bool finished_ = false;
  /// Whether a permit for the next attempt is being asked for.
  bool awaiting_permit_ = false;
  /// Whether a permit was denied to this request.
  bool permit_denied_ = false;
  /// Whether the request was counted for usage.
  bool usage_counted_ = false;
  /// Number of the attempt whose events are forwarded to the caller; -1 before
  /// the first stream starts.
  int streaming_attempt_ = -1;
  /// Head of the response of `streaming_attempt_`.
  StreamStart head_;
  /// Whether the head was sent to the caller.
  bool stream_started_ = false;
  /// Whether an event without an id was forwarded; later ones cannot follow it.
  bool has_unnumbered_events_ = false;
  /// Software version that generated the events that the caller has; nullopt
  /// before the first.
  std::optional<std::string> software_;
  /// Id of the last event forwarded; the next attempt resumes after it.
  std::string last_event_id_;
  /// Set while the request waits for its turn.
  std::optional<AdmissionQueue::Ticket> ticket_;
  Instant queued_at_{};
  /// Time that the request may still wait in the queue.
  std::chrono::milliseconds queue_wait_left_;
  /// Whether the next attempt is sent without waiting.
  bool turn_ = false;
  base::Timer queue_timer_;
  base::Timer deadline_timer_;
  base::Timer hedge_timer_;
  std::shared_ptr<RequestSession> self_;
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_REQUEST_SESSION_H_
