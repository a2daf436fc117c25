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

// Contents of one load differ from those of another.
std::string NextName() {
  static int loads = 0;
  return "content " + std::to_string(++loads) + "-";
}

}  // namespace

Load::Load(base::EventLoop& loop, http::Client& client,
           std::vector<Endpoint> nodes, LoadOptions options)
    : loop_(loop),
      client_(client),
      nodes_(std::move(nodes)),
      options_(std::move(options)),
      name_(NextName()) {}

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
  if (!stopped_) {
    Send(name_ + std::to_string(next_content_++));
  }
}

http::ClientRequest Load::MakeRequest(const std::string& content) const {
  http::ClientRequest request;
  request.method = http::Method::kPost;
  request.headers = {{"Authorization", "Bearer " + options_.secret}};
  request.timeout = options_.timeout;
  if (options_.kind == LoadKind::kCompletions) {
    v1::CompletionRequest body;
    body.set_model(options_.model);
    body.set_prompt(content);
    body.set_max_tokens(options_.max_tokens);
    request.path = "/v1/completions";
    request.body = base::ToJson(body);
    return request;
  }
  request.path = "/intake/reports";
  request.body = content;
  if (options_.kind == LoadKind::kKeyedReports) {
    request.headers.push_back({"Idempotency-Key", content});
  }
  return request;
}

void Load::Send(const std::string& content) {
  if (nodes_.empty()) {
    return;
  }
  http::ClientRequest request = MakeRequest(content);
  request.endpoint = nodes_[next_node_++ % nodes_.size()];
  ++open_;
  client_.Send(std::move(request),
               [this, content, alive = alive_](const http::Result& result) {
                 if (*alive) {
                   Take(content, result);
                 }
               });
}

void Load::Take(const std::string& content, const http::Result& result) {
  --open_;
  if (const auto* failure = std::get_if<http::Failure>(&result)) {
    counts_.last_fault = failure->reason;
    ++(failure->verdict == Verdict::kNotRun ? counts_.not_run : counts_.cut);
    Later(content);
    return;
  }
  const auto& response = std::get<http::Response>(result);
  Count(content, response);
  if (response.status == kOk) {
    SendNext();
  } else {
    counts_.last_fault = response.body;
    Later(content);
  }
}

bool Load::IsWhole(const std::string& content, const std::string& body) const {
  if (options_.kind != LoadKind::kCompletions) {
    return body == content;
  }
  v1::CompletionChunk answer;
  return base::FromJson(body, &answer, nullptr) &&
         answer.text() ==
             fakes::FakeEngine::TextOf(content, 0, options_.max_tokens);
}

void Load::Count(const std::string& content, const http::Response& response) {
  if (response.status == kOk) {
    const bool whole = IsWhole(content, response.body);
    ++(whole ? counts_.whole : counts_.wrong);
    if (!whole) {
      counts_.last_fault = content + " got " + response.body;
    } else if (options_.kind != LoadKind::kCompletions) {
      answered_reports_.push_back(content);
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
void Load::Later(const std::string& content) {
  constexpr std::size_t kKeptTimers = 1'000;
  if (timers_.size() >= kKeptTimers) {
    timers_.erase(timers_.begin(), timers_.begin() + kKeptTimers / 2);
  }
  const bool again = options_.kind == LoadKind::kKeyedReports && !stopped_;
  timers_.push_back(loop_.After(kPauseAfterRefusal, [this, content, again] {
    if (again) {
      Send(content);
    } else {
      SendNext();
    }
  }));
}

}  // namespace mulberryroad::process
