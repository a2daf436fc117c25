// One request of a caller, from its admission to its answer.

#ifndef MULBERRYROAD_SRC_SERVING_REQUEST_SESSION_H_
#define MULBERRYROAD_SRC_SERVING_REQUEST_SESSION_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "base/event_loop.h"
#include "base/metrics.h"
#include "base/structured_log.h"
#include "http/server.h"
#include "mulberryroad/clock.h"
#include "serving/attempt_policy.h"
#include "serving/catalog.h"
#include "serving/upstream_caller.h"
#include "serving/upstreams.h"

namespace mulberryroad::serving {

/// What sessions share.
struct ServingContext {
  base::EventLoop& loop;
  const Clock& clock;
  base::StructuredLog& log;
  base::Metrics& metrics;
  const Catalog& catalog;
  const UpstreamDirectory& directory;
  UpstreamLoads& loads;
  UpstreamCaller& caller;
  FailureDomainId own_domain;
  std::mt19937_64& random;
  /// Counts a request that an upstream began to run, for usage reports.
  std::function<void(const OrganisationId&)> count_usage;
  /// Makes the header that tells a caller when to come back.
  std::function<http::Header(std::chrono::milliseconds)> retry_after;
};

/// What is asked of a session.
struct SessionRequest {
  OutgoingRequest outgoing;
  TargetId service;
  RouteKind kind = RouteKind::kNonIdempotent;
  bool resumable = false;
  int max_attempts = 1;
  /// Until when the caller waits and the operator lets it.
  Instant deadline;
  std::chrono::milliseconds target_latency{0};
  std::string resume_after;
};

/// Keeps itself alive until the request is answered or its caller has left.
class RequestSession : public std::enable_shared_from_this<RequestSession> {
 public:
  RequestSession(ServingContext& context,
                 std::shared_ptr<http::Exchange> exchange,
                 SessionRequest request);

  void Start();

  /// A repeatable request without an answer goes to a second upstream after
  /// this share of its target latency: late enough that nearly all ordinary
  /// answers are in, early enough that the second one is in time.
  static constexpr double kHedgeShare = 0.5;
  /// When callers of a service without room may come back: about the time in
  /// which one of its requests ends.
  static constexpr std::chrono::milliseconds kRetryWhenFull{100};
  /// When callers of a service without upstreams may come back: registrations
  /// take about this long to spread.
  static constexpr std::chrono::milliseconds kRetryWhenAbsent{500};

 private:
  struct Try {
    UpstreamId upstream;
    Instant sent;
    std::shared_ptr<http::Call> call;
  };

  void SendNext();
  const Registration* Choose();
  CallOptions Options(int number);
  void OnDone(int number, UpstreamOutcome outcome);
  void Record(const Try& ended, const UpstreamOutcome& outcome);
  void ScheduleHedge();
  void OnStreamStart(int number, const StreamStart& start);
  void OnStreamEvent(int number, const StreamEvent& event);
  void DeliverAnswer(const Whole& answer);
  void Refuse(const std::string& reason, std::chrono::milliseconds retry);
  void Fail(int status, const std::string& reason);
  void OnDeadline();
  void Finish(const std::string& outcome, int status);
  void CancelTries();
  std::chrono::milliseconds left() const;
  bool streaming() const { return request_.kind == RouteKind::kStreaming; }

  ServingContext& context_;
  std::shared_ptr<http::Exchange> exchange_;
  SessionRequest request_;
  AttemptPolicy policy_;
  Instant started_;
  std::map<int, Try> tries_;
  int next_number_ = 0;
  std::set<UpstreamId> tried_;
  bool finished_ = false;
  bool counted_ = false;
  /// The try whose stream the caller gets; -1 before the first event.
  int streaming_try_ = -1;
  bool stream_started_ = false;
  std::string last_event_;
  base::Timer deadline_timer_;
  base::Timer hedge_timer_;
  std::shared_ptr<RequestSession> self_;
};

}  // namespace mulberryroad::serving

#endif  // MULBERRYROAD_SRC_SERVING_REQUEST_SESSION_H_
