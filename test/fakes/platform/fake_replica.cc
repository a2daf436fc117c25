#include "fakes/platform/fake_replica.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace mulberryroad::fakes {

namespace {

using http::Method;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kFenced = 412;
constexpr int kMisdirected = 421;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;
constexpr std::uint64_t kDefaultEvents = 8;

std::int64_t WallMillis() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

http::ServerLimits Limits() {
  http::ServerLimits limits;
  limits.max_body_bytes = std::size_t{64} << 20U;
  limits.client_timeout = std::chrono::minutes(10);
  return limits;
}

std::uint64_t NumberOf(const http::Request& request, const char* header) {
  return std::strtoull(request.header(header).value_or("0").c_str(), nullptr,
                       10);
}

// "IN,OUT" names the tokens of the prompt and the most of the output.
std::uint64_t EventsOf(const http::Request& request) {
  const std::string tokens = request.header("token-count").value_or("");
  const std::size_t comma = tokens.find(',');
  if (comma == std::string::npos) {
    return kDefaultEvents;
  }
  const std::uint64_t out =
      std::strtoull(tokens.c_str() + comma + 1, nullptr, 10);
  return std::max<std::uint64_t>(1, out / FakeReplica::kStride);
}

}  // namespace

std::string EventText(const std::string& item, std::uint64_t event,
                      const std::string& software) {
  const std::string text = item + "-" + std::to_string(event);
  return software == kDefaultSoftware ? text : text + "@" + software;
}

std::string SoftwareOf(const std::string& event_text) {
  const std::size_t at = event_text.rfind('@');
  return at == std::string::npos ? kDefaultSoftware : event_text.substr(at + 1);
}

std::string AnswerText(const std::string& request) {
  return "answer to " + request;
}

FakeReplica::FakeReplica(base::EventLoop& loop, ReplicaOptions options)
    : loop_(loop),
      options_(std::move(options)),
      random_(std::hash<std::string>()(options_.id)),
      server_(loop, Limits()),
      client_(loop),
      started_ms_(WallMillis()) {
  for (const std::string& model : options_.models) {
    versions_[model] = 1;
  }
  server_.SetFallbackHandler(
      [this](const Exchange& exchange) { Serve(exchange); });
  server_.Route(Method::kGet, "/v1/report",
                [this](const Exchange& exchange) { Report(exchange); });
  server_.Route(Method::kPost, "/v1/order",
                [this](const Exchange& exchange) { Order(exchange); });
}

bool FakeReplica::Listen() {
  if (!server_.Listen(options_.listen)) {
    return false;
  }
  Register();
  heartbeat_ = loop_.Every(kHeartbeat, [this] { Register(); });
  return true;
}

bool FakeReplica::Draw(double share) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

void FakeReplica::Note(const json& line) const {
  std::printf("%s\n", line.dump().c_str());
  std::fflush(stdout);
}

json FakeReplica::Models() const {
  json models = json::array();
  for (const auto& [name, version] : versions_) {
    models.push_back(
        {{"name", name}, {"version", version}, {"adapters", json::array()}});
  }
  return models;
}

void FakeReplica::Register() {
  json entry = {{"service", options_.service},
                {"addr", ToString(options_.advertised)},
                {"zone", options_.failure_domain},
                {"version", options_.software},
                {"slots", options_.slots},
                {"state", draining_ ? "draining" : "ready"},
                {"coldLeftMs", 0},
                {"seq", orders_},
                {"born", started_ms_}};
  if (!options_.models.empty()) {
    entry["models"] = Models();
  }
  http::ClientRequest request;
  request.endpoint = options_.platform;
  request.method = Method::kPost;
  request.path = "/upstream/register?id=" + options_.id;
  request.body = entry.dump();
  request.timeout = kHeartbeat;
  // A heartbeat without an answer is followed by the next.
  client_.Send(std::move(request), [](const http::Result&) {});
}

void FakeReplica::Drain() {
  if (std::exchange(draining_, true)) {
    return;
  }
  Register();
  steps_.After(kDrainTime, [this] {
    http::ClientRequest request;
    request.endpoint = options_.platform;
    request.method = Method::kPost;
    request.path = "/upstream/register?id=" + options_.id;
    request.timeout = kHeartbeat;
    client_.Send(std::move(request),
                 [this](const http::Result&) { loop_.Stop(); });
  });
}

void FakeReplica::Refuse(const Exchange& exchange, int status) {
  Reply(
      exchange, status, "{}",
      {{"Not-Executed", "1"},
       {"Request-Id", exchange->request().header("request-id").value_or("")}});
}

void FakeReplica::Reply(const Exchange& exchange, int status,
                        const std::string& body, http::Headers headers) const {
  exchange->Reply(status, body, WithStatements(std::move(headers)));
}

http::Headers FakeReplica::WithStatements(http::Headers headers) const {
  if (options_.requests_per_second > 0) {
    headers.push_back(
        {"Server-Limit", std::to_string(options_.requests_per_second)});
  }
  if (options_.leaving_after.count() > 0 &&
      WallMillis() >= started_ms_ + options_.leaving_after.count()) {
    headers.push_back({"Server-Leaving", "1"});
  }
  return headers;
}

void FakeReplica::Serve(const Exchange& exchange) {
  const http::Request& request = exchange->request();
  const std::string id = request.header("request-id").value_or("");
  if (request.header("expect-instance").value_or(options_.id) != options_.id) {
    Refuse(exchange, kMisdirected);
    return;
  }
  const std::string model = request.header("model").value_or("");
  const bool engine = !options_.models.empty();
  const std::uint64_t expected = NumberOf(request, "expect-version");
  if (engine && expected != 0 && versions_[model] != expected) {
    Refuse(exchange, kMisdirected);
    return;
  }
  if (id.empty()) {
    Refuse(exchange, kBadRequest);
    return;
  }
  if (running_ >= options_.slots || (engine && busy_)) {
    Refuse(exchange, kUnavailable);
    return;
  }
  ++running_;
  Note({{"run", id},
        {"at_ms", WallMillis()},
        {"path", request.path},
        {"organisation", request.header("tenant").value_or("")},
        {"key_seen", request.header("credential").has_value()},
        {"resume_after", NumberOf(request, "last-event-id")}});
  if (engine) {
    RunStream(exchange, id);
  } else {
    RunPlain(exchange, id);
  }
}

void FakeReplica::RunPlain(const Exchange& exchange, const std::string& id) {
  const milliseconds work{NumberOf(exchange->request(), kWorkMillisHeader)};
  steps_.After(std::max(kWorkTime, work), [this, exchange, id] {
    --running_;
    if (exchange->request().body.starts_with(kCrashingBody)) {
      std::_Exit(EXIT_FAILURE);
    }
    if (Draw(options_.fault_share)) {
      exchange->Abort();
      return;
    }
    if (exchange->request().path == kFailingScorerPath) {
      Reply(exchange, kServerError, "{}", {{"Request-Id", id}});
      return;
    }
    std::string answer = AnswerText(id);
    answer.resize(std::max<std::size_t>(
        answer.size(), NumberOf(exchange->request(), kAnswerBytesHeader)));
    Reply(exchange, kOk, answer,
          {{"Request-Id", id},
           {"Server-Seal", options_.id + "." + id},
           {"Content-Type", "text/plain"}});
  });
}

void FakeReplica::RunStream(const Exchange& exchange, const std::string& id) {
  const auto stream = std::make_shared<Stream>();
  stream->exchange = exchange;
  stream->item = id;
  stream->model = exchange->request().header("model").value_or("");
  stream->next = NumberOf(exchange->request(), "last-event-id") + 1;
  stream->last = EventsOf(exchange->request());
  stream->version = versions_[stream->model];
  exchange->StartStream(
      kOk,
      WithStatements({{"Request-Id", id},
                      {"Server-Seal", options_.id + "." + id},
                      {"Content-Type", "text/event-stream"},
                      {"Weight-Versions", std::to_string(stream->version)}}));
  stream->timer =
      loop_.Every(kEventTime, [this, stream] { NextEvent(stream); });
}

// Holds the stream, which its own timer calls from here.
void FakeReplica::NextEvent(std::shared_ptr<Stream> stream) {
  if (stream->exchange->closed() || stream->next > stream->last) {
    --running_;
    stream->exchange->Finish();
    stream->timer.Cancel();
    return;
  }
  std::string event;
  if (const std::uint64_t version = versions_[stream->model];
      version != stream->version) {
    stream->version = version;
    event = "weight-versions: " + std::to_string(version) + "\n";
  }
  event += "id: " + std::to_string(stream->next) + "\ndata: " +
           EventText(stream->item, stream->next, options_.software) + "\n\n";
  Note({{"event", stream->item},
        {"at_ms", WallMillis()},
        {"number", stream->next},
        {"version", stream->version}});
  stream->exchange->Write(event);
  ++stream->next;
}

void FakeReplica::Order(const Exchange& exchange) {
  const json body = json::parse(exchange->request().body, nullptr, false);
  if (exchange->request().header("expect-instance").value_or(options_.id) !=
      options_.id) {
    exchange->Reply(kMisdirected, "{}");
    return;
  }
  if (!body.is_object() || !body.contains("holder") ||
      !body.contains("fenceToken")) {
    exchange->Reply(kBadRequest, "{}");
    return;
  }
  const auto fence = body["fenceToken"].get<std::uint64_t>();
  Note({{"order", options_.id},
        {"at_ms", WallMillis()},
        {"holder", body["holder"]},
        {"fence", fence},
        {"version", body.value("version", 0)}});
  const std::string model = body.value("model", "");
  const auto version = body.value("version", std::uint64_t{0});
  if (fence < newest_fence_) {
    exchange->Reply(kFenced, "{}");
    return;
  }
  newest_fence_ = fence;
  if (!versions_.contains(model)) {
    exchange->Reply(kBadRequest, "{}");
  } else if (versions_[model] >= version) {
    exchange->Reply(kOk, "{}");
  } else if (busy_ || body.value("expect", orders_) != orders_) {
    exchange->Reply(kConflict, "{}");
  } else {
    ++orders_;
    busy_ = true;
    exchange->Reply(kAccepted, "{}");
    steps_.After(kLoadTime, [this, model, version] {
      busy_ = false;
      versions_[model] = version;
      Register();
    });
  }
}

void FakeReplica::Report(const Exchange& exchange) const {
  exchange->Reply(kOk, json{{"stage", "both"},
                            {"models", Models()},
                            {"busy", busy_},
                            {"seq", orders_},
                            {"numWaiting", 0},
                            {"numRunning", running_}}
                           .dump());
}

}  // namespace mulberryroad::fakes
