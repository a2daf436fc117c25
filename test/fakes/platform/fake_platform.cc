#include "fakes/platform/fake_platform.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace mulberryroad::fakes {

namespace {

using http::Method;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kNothingYet = 204;
constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr milliseconds kTick{50};
constexpr double kLostShare = 0.5;
constexpr char kRegistrations[] = "keyed.servers";
constexpr char kOperator[] = "keyed.op";

http::ServerLimits Limits() {
  http::ServerLimits limits;
  limits.max_body_bytes = std::size_t{64} << 20U;
  limits.client_timeout = std::chrono::minutes(10);
  return limits;
}

StoreTime Now() { return std::chrono::steady_clock::now(); }

std::uint64_t NumberOf(const http::Request& request, const char* name) {
  return std::strtoull(request.parameter(name).value_or("0").c_str(), nullptr,
                       10);
}

PartKey PartOf(const http::Request& request) {
  return {request.parameter("topic").value_or(""),
          static_cast<int>(NumberOf(request, "part"))};
}

}  // namespace

FakePlatform::FakePlatform(base::EventLoop& loop, std::uint64_t seed)
    : loop_(loop), random_(seed), server_(loop, Limits()) {
  ServeStore();
  ServeOperator();
  ServeDuties();
  tick_ = loop_.Every(kTick, [this] { Tick(); });
}

void FakePlatform::Serve(Method method, const std::string& path,
                         std::function<void(const Exchange&)> handler) {
  server_.Route(method, path,
                [this, handler = std::move(handler)](const Exchange& exchange) {
                  if (Now() < faults_.silent_until) {
                    unanswered_.push_back(exchange);
                  } else if (Now() < faults_.refuses_until) {
                    exchange->Reply(kUnavailable, "{}");
                  } else {
                    handler(exchange);
                  }
                });
}

void FakePlatform::Answer(const Exchange& exchange, StoreAnswer answer) {
  const milliseconds delay =
      Now() < faults_.slow_until ? kSlowAnswerTime : kAnswerTime;
  steps_.After(delay, [exchange, answer = std::move(answer)] {
    exchange->Reply(answer.status, answer.body);
  });
}

bool FakePlatform::Draw(double share) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

void FakePlatform::ServeStore() {
  Serve(Method::kPost, "/v1/log-append",
        [this](const Exchange& exchange) { Append(exchange); });
  Serve(Method::kGet, "/v1/log-read",
        [this](const Exchange& exchange) { Read(exchange); });
  Serve(Method::kGet, "/v1/log-newest", [this](const Exchange& exchange) {
    ++reads_;
    Answer(exchange,
           store_.Newest(PartOf(exchange->request()),
                         exchange->request().parameter("after").value_or("")));
  });
  Serve(Method::kPost, "/v1/log-join", [this](const Exchange& exchange) {
    const json body = json::parse(exchange->request().body, nullptr, false);
    if (!body.is_object()) {
      Answer(exchange, {kBadRequest, "{}"});
      return;
    }
    Answer(exchange,
           store_.Join(body.value("group", ""), body.value("member", ""),
                       body.value("topics", std::vector<std::string>()),
                       milliseconds(body.value("ttlMs", 1'000)),
                       body.value("generation", std::uint64_t{0}), Now()));
  });
  Serve(Method::kPost, "/v1/log-leave", [this](const Exchange& exchange) {
    const json body = json::parse(exchange->request().body, nullptr, false);
    if (body.is_object()) {
      store_.Leave(body.value("group", ""), body.value("member", ""));
    }
    Answer(exchange, {kOk, "{}"});
  });
  Serve(Method::kGet, "/v1/log-owners", [this](const Exchange& exchange) {
    ++reads_;
    Answer(exchange,
           store_.Owners(exchange->request().parameter("group").value_or("")));
  });
}

void FakePlatform::Append(const Exchange& exchange) {
  ++appends_;
  const http::Request& request = exchange->request();
  const PartKey part = PartOf(request);
  if (part.first == kRegistrations || part.first == kOperator) {
    Answer(exchange, {kForbidden, "{}"});
    return;
  }
  AppendQuery query;
  if (request.parameter("at").has_value()) {
    query.expected_end = NumberOf(request, "at");
  }
  query.producer = request.parameter("producer").value_or("");
  query.epoch = NumberOf(request, "epoch");
  query.sequence = NumberOf(request, "seq");
  if (Now() < faults_.late_until && Draw(kLostShare)) {
    unanswered_.push_back(exchange);
    steps_.After(kLateBy, [this, part, body = request.body, query] {
      store_.Append(part, body, query);
      WakeReaders();
    });
    return;
  }
  StoreAnswer answer = store_.Append(part, request.body, query);
  WakeReaders();
  if (Now() < faults_.loses_until && Draw(kLostShare)) {
    unanswered_.push_back(exchange);
    return;
  }
  Answer(exchange, std::move(answer));
}

void FakePlatform::Read(const Exchange& exchange) {
  ++reads_;
  const http::Request& request = exchange->request();
  waiting_.push_back({exchange, PartOf(request), NumberOf(request, "from"),
                      Now() + milliseconds(NumberOf(request, "waitMs"))});
  WakeReaders();
}

void FakePlatform::WakeReaders() {
  for (auto reader = waiting_.begin(); reader != waiting_.end();) {
    StoreAnswer answer = store_.Read(reader->part, reader->from);
    if (answer.status == kNothingYet && Now() < reader->until) {
      ++reader;
      continue;
    }
    answer.status = answer.status == kNothingYet ? kOk : answer.status;
    Answer(reader->exchange, std::move(answer));
    reader = waiting_.erase(reader);
  }
}

void FakePlatform::Tick() {
  const StoreTime now = Now();
  const bool away = now < std::max(faults_.silent_until, faults_.refuses_until);
  if (std::exchange(was_away_, away) && !away) {
    store_.ForgiveSilence(now);
    for (auto& [id, heard] : registered_) {
      heard = now;
    }
  }
  if (away) {
    return;
  }
  store_.Expire(now);
  for (auto entry = registered_.begin(); entry != registered_.end();) {
    if (now > entry->second + kRegistrationLifetime) {
      store_.Put({kRegistrations, 0}, entry->first, std::nullopt);
      entry = registered_.erase(entry);
    } else {
      ++entry;
    }
  }
  WakeReaders();
  unanswered_.remove_if(
      [](const Exchange& exchange) { return exchange->closed(); });
}

// The operator and trainers reach the store whatever its faults; upstreams do
// not.
void FakePlatform::ServeOperator() {
  server_.Route(
      Method::kPost, "/operator/put", [this](const Exchange& exchange) {
        const http::Request& request = exchange->request();
        // An empty value removes the key.
        store_.Put(
            {kOperator, 0}, request.parameter("key").value_or(""),
            request.body.empty() ? std::nullopt : std::optional(request.body));
        WakeReaders();
        exchange->Reply(kOk, "{}");
      });
  Serve(Method::kPost, "/upstream/register", [this](const Exchange& exchange) {
    const http::Request& request = exchange->request();
    const std::string id = request.parameter("id").value_or("");
    if (request.body.empty()) {
      registered_.erase(id);
      store_.Put({kRegistrations, 0}, id, std::nullopt);
    } else {
      registered_[id] = Now();
      store_.Put({kRegistrations, 0}, id, request.body);
    }
    WakeReaders();
    exchange->Reply(kOk, "{}");
  });
  server_.Route(Method::kPost, "/control", [this](const Exchange& exchange) {
    Control(json::parse(exchange->request().body, nullptr, false));
    exchange->Reply(kOk, "{}");
  });
  server_.Route(Method::kGet, "/stats", [this](const Exchange& exchange) {
    exchange->Reply(kOk, Stats());
  });
}

void FakePlatform::Control(const json& change) {
  if (change.value("heal", false)) {
    faults_ = {};
  }
  const auto until = [&change](const char* name) {
    return Now() + milliseconds(change.value(name, 0));
  };
  faults_.refuses_until = std::max(faults_.refuses_until, until("refuse_ms"));
  faults_.silent_until = std::max(faults_.silent_until, until("silent_ms"));
  faults_.loses_until = std::max(faults_.loses_until, until("lose_ms"));
  faults_.late_until = std::max(faults_.late_until, until("late_ms"));
  faults_.slow_until = std::max(faults_.slow_until, until("slow_ms"));
  if (change.value("drop_history", false)) {
    store_.DropHistory();
    WakeReaders();
  }
  if (change.value("rebalance", false)) {
    store_.Rebalance();
  }
}

void FakePlatform::ServeDuties() {
  server_.Route(Method::kPost, "/usage", [this](const Exchange& exchange) {
    const http::Request& request = exchange->request();
    const json body = json::parse(request.body, nullptr, false);
    const DutyCall call{
        request.header("duty-holder").value_or(""),
        std::strtoull(request.header("fence-token").value_or("0").c_str(),
                      nullptr, 10)};
    if (!body.is_object() || !body.contains("window") || call.holder.empty()) {
      exchange->Reply(kBadRequest, "{}");
    } else if (!duties_.Admit("usage", call)) {
      exchange->Reply(kConflict, "{}");
    } else {
      duties_.Report(body["window"].get<std::int64_t>(), body["counts"].dump());
      exchange->Reply(kOk, "{}");
    }
  });
}

std::string FakePlatform::Stats() const {
  json windows = json::object();
  for (const auto& [window, counts] : duties_.windows()) {
    windows[std::to_string(window)] = json::parse(counts);
  }
  return json{{"appends", appends_},
              {"reads", reads_},
              {"windows", windows},
              {"violations", duties_.violations()}}
      .dump();
}

}  // namespace mulberryroad::fakes
