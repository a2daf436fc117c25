#include "soak/traffic.h"

#include <algorithm>
#include <utility>

#include "fakes/platform/fake_replica.h"

namespace mulberryroad::soak {

namespace {

using std::chrono::steady_clock;

constexpr int kPromises[] = {408, 421, 429, 503};

const char* PathOf(RequestKind kind) {
  switch (kind) {
    case RequestKind::kNonIdempotent:
      return "/orders/";
    case RequestKind::kOpen:
      return "/open/";
    default:
      return "/reports/";
  }
}

}  // namespace

Traffic::Traffic(base::EventLoop& loop, http::Client& client,
                 Deployment& deployment, std::uint64_t seed)
    : loop_(loop), client_(client), deployment_(deployment), random_(seed) {}

void Traffic::Start() {
  timer_ = loop_.Every(kInterval, [this] { SendNext(); });
}

void Traffic::SendNext() {
  static constexpr RequestKind kMix[] = {
      RequestKind::kIdempotent,    RequestKind::kIdempotent,
      RequestKind::kIdempotent,    RequestKind::kNonIdempotent,
      RequestKind::kNonIdempotent, RequestKind::kOpen,
      RequestKind::kWithdrawn};
  Send(kMix[random_() % std::size(kMix)], deployment_.PickNode(random_),
       /*repeated=*/false);
}

void Traffic::Send(RequestKind kind, NodeUnderTest& node, bool repeated,
                   std::function<void(const Attempt&)> on_end) {
  Attempt attempt;
  attempt.id = "r" + std::to_string(next_++);
  attempt.kind = kind;
  attempt.node = node.name;
  attempt.repeated = repeated;
  attempt.sent = steady_clock::now();
  attempt.in_planned_stop =
      node.stopping &&
      attempt.sent > std::max(node.disturbed, deployment_.disturbed()) + kCalm;
  const bool of_b = kind == RequestKind::kIdempotent && random_() % 2 == 0;
  http::ClientRequest request;
  request.endpoint = node.front;
  request.method = http::Method::kPost;
  request.path = PathOf(kind) + attempt.id;
  request.headers = {{"Host", kHost},
                     {"Request-Id", attempt.id},
                     {"Deadline-Ms", std::to_string(kPatience.count())}};
  if (kind != RequestKind::kOpen) {
    attempt.organisation = of_b ? "org-b" : "org-a";
    request.headers.push_back({"Credential", kind == RequestKind::kWithdrawn
                                                 ? kWithdrawnKey
                                             : of_b ? kKeyOfB
                                                    : kKeyOfA});
  }
  request.body = "body of " + attempt.id;
  request.connect_timeout = std::chrono::milliseconds(1'000);
  request.timeout = kPatience + std::chrono::milliseconds(500);
  ++open_;
  client_.Send(
      std::move(request),
      [this, attempt = std::move(attempt), on_end = std::move(on_end)](
          const http::Result& result) { OnEnd(attempt, result, on_end); });
}

bool Traffic::Retries(const Attempt& attempt) const {
  const bool promised = std::find(std::begin(kPromises), std::end(kPromises),
                                  attempt.status) != std::end(kPromises);
  const bool failed = attempt.status == 0 || attempt.status >= 500 || promised;
  return !attempt.repeated && failed &&
         (promised || attempt.kind != RequestKind::kNonIdempotent);
}

void Traffic::OnEnd(Attempt attempt, const http::Result& result,
                    const std::function<void(const Attempt&)>& on_end) {
  --open_;
  attempt.ended = steady_clock::now();
  if (const auto* response = std::get_if<http::Response>(&result)) {
    attempt.status = response->status;
    const auto seal = response->headers.find("server-seal");
    attempt.signed_answer = seal != response->headers.end() &&
                            seal->second.ends_with("." + attempt.id);
    attempt.own_body = response->body == fakes::AnswerText(attempt.id);
  }
  attempts_.push_back(attempt);
  if (on_end) {
    on_end(attempt);
  } else if (Retries(attempt)) {
    Send(attempt.kind, deployment_.PickNode(random_), /*repeated=*/true);
  }
}

}  // namespace mulberryroad::soak
