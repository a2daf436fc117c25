#include "process/load.h"

#include <algorithm>
#include <utility>

#include "base/json.h"
#include "fakes/fake_engine.h"
#include "mulberryroad/api.pb.h"
#include "mulberryroad/platform.pb.h"

namespace mulberryroad::process {

namespace {

constexpr int kOk = 200;
constexpr std::chrono::milliseconds kPauseAfterRefusal{20};

}  // namespace

Load::Load(base::EventLoop& loop, http::Client& client,
           std::vector<Endpoint> nodes, LoadOptions options)
    : loop_(loop),
      client_(client),
      nodes_(std::move(nodes)),
      options_(std::move(options)) {}

Load::~Load() { *alive_ = false; }

void Load::Start() {
  stopped_ = false;
  for (std::size_t i = 0; i < options_.callers; ++i) {
    SendNext();
  }
}

void Load::Balance(const Endpoint& node, bool in_use) {
  std::erase(nodes_, node);
  if (in_use) {
    nodes_.push_back(node);
  }
}

void Load::SendNext() {
  if (stopped_ || nodes_.empty()) {
    return;
  }
  const std::string prompt = "prompt " + std::to_string(next_prompt_++);
  v1::CompletionRequest body;
  body.set_model(options_.model);
  body.set_prompt(prompt);
  body.set_max_tokens(options_.max_tokens);
  http::ClientRequest request;
  request.endpoint = nodes_[next_node_++ % nodes_.size()];
  request.method = http::Method::kPost;
  request.path = "/v1/completions";
  request.headers = {{"Authorization", "Bearer " + options_.secret}};
  request.body = base::ToJson(body);
  request.timeout = options_.timeout;
  ++open_;
  client_.Send(std::move(request),
               [this, prompt, alive = alive_](const http::Result& result) {
                 if (*alive) {
                   Take(prompt, result);
                 }
               });
}

void Load::Take(const std::string& prompt, const http::Result& result) {
  --open_;
  if (const auto* failure = std::get_if<http::Failure>(&result)) {
    counts_.last_fault = failure->reason;
    ++(failure->verdict == Verdict::kNotRun ? counts_.not_run : counts_.cut);
    Later();
    return;
  }
  const auto& response = std::get<http::Response>(result);
  Count(prompt, response);
  if (response.status == kOk) {
    SendNext();
  } else {
    counts_.last_fault = response.body;
    Later();
  }
}

void Load::Count(const std::string& prompt, const http::Response& response) {
  if (response.status == kOk) {
    v1::CompletionChunk answer;
    const bool whole = base::FromJson(response.body, &answer, nullptr) &&
                       answer.text() == fakes::FakeEngine::TextOf(
                                            prompt, 0, options_.max_tokens);
    ++(whole ? counts_.whole : counts_.wrong);
    if (!whole) {
      counts_.last_fault = prompt + " got " + response.body;
    }
    return;
  }
  v1::ApiError error;
  base::FromJson(response.body, &error, nullptr);
  if (error.verdict() == "not run") {
    ++counts_.not_run;
  } else if (error.verdict() == "may have run") {
    ++counts_.may_have_run;
  } else {
    ++counts_.others[response.status];
  }
}

// A caller comes back after a short pause.
void Load::Later() {
  constexpr std::size_t kKeptTimers = 1'000;
  if (timers_.size() >= kKeptTimers) {
    timers_.erase(timers_.begin(), timers_.begin() + kKeptTimers / 2);
  }
  timers_.push_back(loop_.After(kPauseAfterRefusal, [this] { SendNext(); }));
}

}  // namespace mulberryroad::process
