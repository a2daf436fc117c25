#include "soak/trainer.h"

#include <algorithm>
#include <utility>

#include "fakes/platform/fake_replica.h"
#include "soak/traffic.h"

namespace mulberryroad::soak {

namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kNotFound = 404;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;
constexpr milliseconds kRetry{150};
constexpr milliseconds kTraining{300};
constexpr milliseconds kCallTimeout{2'500};
constexpr std::uint64_t kShortEvents = 8;
// Every eighth item is this much longer.
constexpr std::uint64_t kLongEvents = 40;
// Item of each step whose scorer call always fails.
constexpr int kUnscorableItem = 5;

}  // namespace

Trainer::Trainer(base::EventLoop& loop, http::Client& client,
                 Deployment& deployment, char letter, std::uint64_t seed)
    : loop_(loop),
      client_(client),
      deployment_(deployment),
      letter_(letter),
      random_(seed * 2 + static_cast<std::uint64_t>(letter)) {}

void Trainer::Start() { BeginStep(); }

void Trainer::After(milliseconds delay, void (Trainer::*next)()) {
  timer_ = loop_.After(delay, [this, next] { (this->*next)(); });
}

http::ClientRequest Trainer::Request(http::Method method, std::string path,
                                     const NodeUnderTest& node) const {
  http::ClientRequest request;
  request.endpoint = node.front;
  request.method = method;
  request.path = std::move(path);
  request.headers = {{"Host", kHost},
                     {"Credential", letter_ == 'a' ? kKeyOfA : kKeyOfB}};
  request.connect_timeout = milliseconds(1'000);
  request.timeout = kCallTimeout;
  return request;
}

void Trainer::Call(http::ClientRequest request, OnAnswer on_answer) {
  client_.Send(std::move(request),
               [on_answer = std::move(on_answer)](const http::Result& result) {
                 on_answer(std::get_if<http::Response>(&result));
               });
}

void Trainer::BeginStep() {
  if (finishing_) {
    idle_ = true;
    return;
  }
  Step next;
  next.id = std::string("step-") + letter_ + std::to_string(steps_.size());
  // Version k may be trained on what version k - 1 generated.
  next.min_version = std::max<std::uint64_t>(version_, 2) - 1;
  next.submitted = steady_clock::now();
  const std::string route = std::string("/steps-") + letter_ + "/";
  json items = json::array();
  for (int i = 0; i < kItems; ++i) {
    const std::string id = next.id + "-" + std::to_string(i);
    const std::uint64_t events = i % 8 == 7 ? kLongEvents : kShortEvents;
    next.events_by_item[id] = events;
    items.push_back(
        {{"id", id},
         {"path", route + id},
         {"headers",
          {{"Model", letter_ == 'a' ? "m0" : "m1"},
           {"Token-Count",
            "20," + std::to_string(events * fakes::FakeReplica::kStride)},
           {"Length-Hint", std::to_string(events)}}},
         {"body", "YWJj"},
         {"tokens", 20 + events},
         {"group", "g" + std::to_string(i / kGroupSize)}});
    if (letter_ == 'a') {
      const std::string call = id + "-score";
      next.scorer_calls[id] = call;
      if (i == kUnscorableItem) {
        next.unscorable.insert(id);
      }
      items.back()["scorerUrl"] = {
          {"id", call},
          {"host", kHost},
          {"path", i == kUnscorableItem ? fakes::kFailingScorerPath
                                        : "/scores/" + call},
          {"body", "ZGVm"}};
    }
  }
  body_ = json{
      {"step", steps_.size()},
      {"model", letter_ == 'a' ? "m0" : "m1"},
      {"minVersion", next.min_version},
      {"desired", kItems / kGroupSize},
      {"items",
       items}}.dump();
  steps_.push_back(std::move(next));
  Submit();
}

void Trainer::Submit() {
  if (steady_clock::now() > current().submitted + kStepPatience) {
    After(kTraining, &Trainer::BeginStep);
    return;
  }
  http::ClientRequest request =
      Request(http::Method::kPost,
              std::string("/steps-") + letter_ + "/" + current().id,
              deployment_.PickNode(random_));
  request.headers.push_back({"Request-Id", current().id});
  request.headers.push_back({"Deadline-Ms", "2000"});
  request.body = body_;
  Call(std::move(request), [this](const http::Response* response) {
    const bool refused =
        response != nullptr &&
        (response->status == kUnavailable || response->status == kTooMany);
    current().refused_throughout = current().refused_throughout && refused;
    if (response != nullptr && response->status == kAccepted) {
      current().accepted = true;
      current().accepted_at = steady_clock::now();
      Read();
    } else {
      After(kRetry, &Trainer::Submit);
    }
  });
}

void Trainer::Read() {
  if (current().results.size() == static_cast<std::size_t>(kItems) ||
      steady_clock::now() > current().submitted + kStepPatience) {
    End();
    return;
  }
  // At times from an earlier position, as a trainer that lost its place would.
  const std::size_t known = current().results.size();
  const std::size_t from =
      known > 0 && random_() % 4 == 0 ? random_() % known : known;
  http::ClientRequest request =
      Request(http::Method::kGet,
              "/v1/lots/" + current().id + "?after=" + std::to_string(from),
              deployment_.PickNode(random_));
  request.headers.push_back({"Wait-Ms", "500"});
  Call(std::move(request), [this, from](const http::Response* response) {
    if (response != nullptr && response->status == kOk) {
      Take(current(), from, json::parse(response->body, nullptr, false));
    } else if (response != nullptr && response->status == kNotFound &&
               steady_clock::now() >
                   current().accepted_at + milliseconds(1'000)) {
      violations_.push_back(current().id + " was accepted and is not found");
    }
    After(kReadInterval, &Trainer::Read);
  });
}

void Trainer::Take(Step& step, std::size_t position, const json& body) {
  if (!body.is_object() || !body.contains("results")) {
    violations_.push_back(step.id + ": the page of results is malformed");
    return;
  }
  if (body.value("total", 0) != kItems) {
    violations_.push_back(step.id + ": total is wrong");
  }
  for (const json& in : body["results"]) {
    ReadItem item;
    item.id = in.value("id", "");
    item.state = in.value("state", "");
    item.text = in.value("text", "");
    item.score = in.value("score", "");
    for (const json& version : in["versions"]) {
      item.versions.insert(version.get<std::uint64_t>());
    }
    if (position < step.results.size()) {
      if (!(step.results[position] == item)) {
        violations_.push_back(
            step.id + ": position " + std::to_string(position) + " held " +
            step.results[position].id + " and now holds " + item.id);
      }
    } else {
      step.results.push_back(std::move(item));
    }
    ++position;
  }
  if (step.results.size() == static_cast<std::size_t>(kItems) &&
      !step.whole_after.has_value()) {
    step.whole_after =
        duration_cast<milliseconds>(steady_clock::now() - step.submitted);
  }
}

void Trainer::End() {
  if (steady_clock::now() > current().submitted + 2 * kStepPatience) {
    NameVersion();
    return;
  }
  Call(Request(http::Method::kDelete, "/v1/lots/" + current().id,
               deployment_.PickNode(random_)),
       [this](const http::Response* response) {
         if (response != nullptr && response->status == kOk) {
           current().ended = true;
           current().ended_at = std::chrono::system_clock::now();
           NameVersion();
         } else {
           After(kRetry, &Trainer::End);
         }
       });
}

void Trainer::NameVersion() {
  ++version_;
  const char* model = letter_ == 'a' ? "m0" : "m1";
  deployment_.Put(std::string("version/") + model,
                  {{"model", model}, {"version", version_}});
  After(kTraining, &Trainer::BeginStep);
}

void Trainer::Compare(Step& step, NodeUnderTest& node,
                      std::function<void()> on_compared) {
  Call(Request(http::Method::kGet, "/v1/lots/" + step.id + "?after=0", node),
       [this, &step, name = node.name,
        on_compared = std::move(on_compared)](const http::Response* response) {
         if (response == nullptr || response->status != kOk) {
           violations_.push_back(
               step.id + " cannot be read at " + name + " after the faults: " +
               (response == nullptr ? "no answer"
                                    : std::to_string(response->status)));
         } else {
           const json body = json::parse(response->body, nullptr, false);
           Take(step, 0, body);
           if (body["results"].size() < step.results.size()) {
             violations_.push_back(step.id + ": " + name +
                                   " misses results that were read before");
           }
         }
         on_compared();
       });
}

}  // namespace mulberryroad::soak
