#include "soak/stream_callers.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <numeric>
#include <utility>

#include "fakes/platform/fake_replica.h"
#include "soak/traffic.h"

namespace mulberryroad::soak {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kOk = 200;
constexpr int kFirstServerError = 500;

}  // namespace

StreamCallers::StreamCallers(base::EventLoop& loop, http::Client& client,
                             Deployment& deployment, std::uint64_t seed)
    : loop_(loop), client_(client), deployment_(deployment), random_(seed) {}

void StreamCallers::Start() {
  CalledStream& stream = streams_.emplace_back();
  stream.id = "stream" + std::to_string(streams_.size());
  ++open_;
  Send(stream);
}

void StreamCallers::Send(CalledStream& stream) {
  const std::string id = stream.id + "-" + std::to_string(++stream.attempts);
  http::ClientRequest request;
  request.endpoint = deployment_.PickNode(random_).front;
  request.method = http::Method::kPost;
  request.path = "/streams/" + stream.id;
  request.headers = {
      {"Host", kHost},
      {"Request-Id", id},
      {"Deadline-Ms", std::to_string(kDeadline.count())},
      {"Credential", kKeyOfA},
      {"Model", "m0"},
      {"Token-Count",
       "100," + std::to_string(kEvents * fakes::FakeReplica::kStride)}};
  const bool resumption = stream.last_event > 0;
  if (resumption) {
    request.headers.push_back(
        {"Last-Event-Id", std::to_string(stream.last_event)});
    request.headers.push_back({"Resumes", stream.first_attempt});
  }
  request.body = "{}";
  request.connect_timeout = milliseconds(1'000);
  request.timeout = kDeadline;
  const auto splitter = std::make_shared<http::EventSplitter>();
  const auto brought_event = std::make_shared<bool>(false);
  client_.Send(
      std::move(request),
      [this, &stream, brought_event, resumption,
       sent = steady_clock::now()](const http::Result& result) {
        OnEnd(stream, *brought_event, resumption, sent, result);
      },
      [this, &stream, splitter, brought_event, id](int status,
                                                   std::string_view bytes) {
        if (status == kOk) {
          for (const http::RawEvent& event : splitter->Feed(bytes)) {
            *brought_event = true;
            OnEvent(stream, id, event);
          }
        }
        return true;
      });
}

void StreamCallers::OnEvent(CalledStream& stream, const std::string& request,
                            const http::RawEvent& event) {
  const std::uint64_t id = std::strtoull(event.id.c_str(), nullptr, 10);
  stream.out_of_order = stream.out_of_order || id != stream.last_event + 1;
  if (stream.first_attempt.empty()) {
    stream.first_attempt = request;
  }
  stream.last_event = id;
  stream.software.insert(fakes::SoftwareOf(event.data));
}

void StreamCallers::OnEnd(CalledStream& stream, bool brought_event,
                          bool resumption, steady_clock::time_point sent,
                          const http::Result& result) {
  const auto* response = std::get_if<http::Response>(&result);
  const auto* failure = std::get_if<http::Failure>(&result);
  const bool reached =
      failure == nullptr || failure->verdict != Verdict::kNotRun;
  stream.resumptions += resumption && reached ? 1 : 0;
  stream.resumed += resumption && brought_event ? 1 : 0;
  if (response != nullptr && response->status == kOk) {
    stream.complete = true;
    stream.out_of_order = stream.out_of_order || stream.last_event != kEvents;
  } else if (!brought_event) {
    stream.refusals.push_back(response == nullptr ? 0 : response->status);
    stream.longest_refusal =
        std::max(stream.longest_refusal,
                 duration_cast<milliseconds>(steady_clock::now() - sent));
  }
  const bool retries =
      response == nullptr || response->status >= kFirstServerError;
  if (stream.complete || !retries || stream.attempts >= kMaxAttempts) {
    --open_;
    return;
  }
  timers_.push_back(
      loop_.After(kRetryDelay, [this, &stream] { Send(stream); }));
}

std::set<std::string> StreamCallers::AttemptIds() const {
  std::set<std::string> ids;
  for (const CalledStream& stream : streams_) {
    for (int attempt = 1; attempt <= stream.attempts; ++attempt) {
      ids.insert(stream.id + "-" + std::to_string(attempt));
    }
  }
  return ids;
}

int StreamCallers::joined() const {
  return static_cast<int>(std::count_if(
      streams_.begin(), streams_.end(),
      [](const CalledStream& stream) { return stream.software.size() > 1; }));
}

int StreamCallers::resumptions() const {
  return std::accumulate(streams_.begin(), streams_.end(), 0,
                         [](int sum, const CalledStream& stream) {
                           return sum + stream.resumptions;
                         });
}

int StreamCallers::resumed() const {
  return std::accumulate(
      streams_.begin(), streams_.end(), 0,
      [](int sum, const CalledStream& stream) { return sum + stream.resumed; });
}

}  // namespace mulberryroad::soak
