// Stand-in of an upstream that answers with scripted bytes, perhaps without
// end, for process tests.

#ifndef MULBERRYROAD_TEST_PROCESS_HOSTILE_UPSTREAM_H_
#define MULBERRYROAD_TEST_PROCESS_HOSTILE_UPSTREAM_H_

#include <atomic>
#include <functional>
#include <list>
#include <optional>
#include <thread>

#include "process/hostile_clients.h"

namespace mulberryroad::process {

/// What follows an answer.
enum class AnswerEnd {
  kKeepOpen,
  /// Closes the connection.
  kClose,
  /// Ends the sending side in order and keeps the other one open.
  kShutdown,
  kReset,
};

/// Answer to one request.
struct ScriptedAnswer {
  std::string bytes;
  /// Sent over and over again behind `bytes`, until the client closes.
  std::string repeated = {};
  AnswerEnd end = AnswerEnd::kKeepOpen;
  /// Time between `bytes` and the end.
  milliseconds pause{0};
};

/// When an upstream answers a request.
enum class AnswerTime {
  kWholeRequest,
  /// After the head of the request. The body is read meanwhile.
  kHead,
  /// After the head of the request. Its body is not read.
  kHeadOnly,
};

/// Listens on a port of its own and keeps itself registered. Runs in a thread.
class HostileUpstream {
 public:
  /// @param request_head the request without its body
  using Answerer =
      std::function<ScriptedAnswer(const std::string& request_head)>;

  HostileUpstream(Endpoint platform, const std::string& id,
                  const std::string& service, Answerer answerer,
                  AnswerTime answer_time = AnswerTime::kWholeRequest)
      : platform_(std::move(platform)),
        id_(id),
        answerer_(std::move(answerer)),
        answer_time_(answer_time) {
    entry_ = {
        {"service", service},
        {"addr", ToString(endpoint_)},
        {"zone", "d1"},
        {"version", "v1"},
        {"slots", kSlots},
        {"state", "ready"},
        {"coldLeftMs", 0},
        {"seq", 0},
        {"born", kStartedUnixMillis},
        {"models",
         {{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}}}}};
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint_.port);
    inet_pton(AF_INET, endpoint_.address.c_str(), &address.sin_addr);
    cr_assert_eq(bind(listener_, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)),
                 0);
    listen(listener_, kBacklog);
    server_ = std::thread([this] { Serve(); });
    heartbeat_ = std::thread([this] { Register(); });
  }
  ~HostileUpstream() {
    stopped_ = true;
    server_.join();
    heartbeat_.join();
    for (const Connection& connection : connections_) {
      close(connection.fd);
    }
    close(listener_);
  }
  HostileUpstream(const HostileUpstream&) = delete;
  HostileUpstream& operator=(const HostileUpstream&) = delete;

  /// Number of requests that were answered, or whose answers began.
  int requests() const { return requests_; }

  /// Returns the value of a header of a request; empty if it has none.
  /// @param name in the form in which a node writes it
  static std::string HeaderOf(const std::string& request_head,
                              const std::string& name) {
    const std::string field = "\r\n" + name + ": ";
    const std::size_t at = request_head.find(field);
    if (at == std::string::npos) {
      return {};
    }
    const std::size_t begin = at + field.size();
    return request_head.substr(begin, request_head.find("\r\n", begin) - begin);
  }

 private:
  static constexpr int kBacklog = 512;
  // More than the requests that a test sends at once.
  static constexpr int kSlots = 64;
  // Any time in the past.
  static constexpr std::int64_t kStartedUnixMillis = 1'700'000'000'000;
  static constexpr milliseconds kHeartbeat{400};
  static constexpr milliseconds kIdleWait{1};

  struct Connection {
    int fd;
    std::string received;
    /// What is left to send of the answer, if there is one.
    std::string unsent;
    ScriptedAnswer answer;
    bool answering = false;
    std::size_t repeated_at = 0;
    /// When the last byte of the answer was sent.
    std::optional<steady_clock::time_point> sent_at = {};
    bool shut_down = false;
  };

  void Register() {
    while (!stopped_) {
      const std::string body = entry_.dump();
      NodeRun::Request(
          platform_,
          "POST /upstream/register?id=" + id_ + " HTTP/1.1\r\nHost: p",
          body.size(), body);
      std::this_thread::sleep_for(kHeartbeat);
    }
  }

  void Serve() {
    while (!stopped_) {
      bool busy = false;
      for (int fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
           fd >= 0; fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK)) {
        connections_.push_back({fd, {}, {}, {}});
        busy = true;
      }
      for (auto it = connections_.begin(); it != connections_.end();) {
        const Step step = Advance(&*it);
        busy = busy || step == Step::kMoved;
        if (step == Step::kEnded) {
          close(it->fd);
          it = connections_.erase(it);
        } else {
          ++it;
        }
      }
      if (!busy) {
        std::this_thread::sleep_for(kIdleWait);
      }
    }
  }

  enum class Step { kIdle, kMoved, kEnded };

  Step Advance(Connection* connection) {
    char buffer[16U << 10U];
    const bool reads =
        answer_time_ != AnswerTime::kHeadOnly || !connection->answering;
    if (!reads) {
      return SendAnswer(connection);
    }
    const ssize_t got =
        recv(connection->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (got == 0 || (got < 0 && errno != EAGAIN)) {
      return Step::kEnded;
    }
    if (got > 0) {
      connection->received.append(buffer, static_cast<std::size_t>(got));
    }
    if (!connection->answering && !BeginAnswer(connection)) {
      return got > 0 ? Step::kMoved : Step::kIdle;
    }
    return SendAnswer(connection);
  }

  // Returns whether a request is complete.
  bool BeginAnswer(Connection* connection) {
    const std::size_t end = connection->received.find("\r\n\r\n");
    if (end == std::string::npos) {
      return false;
    }
    const std::string head = connection->received.substr(0, end + 4);
    const std::size_t body_size =
        answer_time_ == AnswerTime::kWholeRequest
            ? std::strtoull(HeaderOf(head, "Content-Length").c_str(), nullptr,
                            10)
            : 0;
    const std::size_t size = head.size() + body_size;
    if (connection->received.size() < size) {
      return false;
    }
    connection->received.erase(0, size);
    connection->answer = answerer_(head);
    connection->unsent = connection->answer.bytes;
    connection->answering = true;
    ++requests_;
    return true;
  }

  Step SendAnswer(Connection* connection) {
    const ScriptedAnswer& answer = connection->answer;
    const bool repeats = connection->unsent.empty();
    if (repeats && answer.repeated.empty()) {
      return EndAnswer(connection);
    }
    const std::string_view bytes =
        repeats
            ? std::string_view(answer.repeated).substr(connection->repeated_at)
            : std::string_view(connection->unsent);
    const ssize_t sent = send(connection->fd, bytes.data(), bytes.size(),
                              MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) {
      return errno == EAGAIN ? Step::kIdle : Step::kEnded;
    }
    if (repeats) {
      connection->repeated_at =
          (connection->repeated_at + static_cast<std::size_t>(sent)) %
          answer.repeated.size();
    } else {
      connection->unsent.erase(0, static_cast<std::size_t>(sent));
    }
    return Step::kMoved;
  }

  Step EndAnswer(Connection* connection) {
    const ScriptedAnswer& answer = connection->answer;
    if (!connection->sent_at.has_value()) {
      connection->sent_at = steady_clock::now();
    }
    if (steady_clock::now() < *connection->sent_at + answer.pause ||
        connection->shut_down) {
      return Step::kIdle;
    }
    switch (answer.end) {
      case AnswerEnd::kKeepOpen:
        connection->answering = answer_time_ != AnswerTime::kWholeRequest;
        connection->sent_at.reset();
        return Step::kMoved;
      case AnswerEnd::kShutdown:
        shutdown(connection->fd, SHUT_WR);
        connection->shut_down = true;
        return Step::kMoved;
      case AnswerEnd::kReset: {
        const linger discard{.l_onoff = 1, .l_linger = 0};
        setsockopt(connection->fd, SOL_SOCKET, SO_LINGER, &discard,
                   sizeof(discard));
        return Step::kEnded;
      }
      case AnswerEnd::kClose:
        return Step::kEnded;
    }
    return Step::kEnded;
  }

  Endpoint platform_;
  Endpoint endpoint_{"127.0.0.1", fakes::FreePort()};
  std::string id_;
  json entry_;
  Answerer answerer_;
  AnswerTime answer_time_;
  int listener_ = -1;
  std::list<Connection> connections_;
  std::atomic<int> requests_{0};
  std::atomic<bool> stopped_{false};
  std::thread server_;
  std::thread heartbeat_;
};

/// Publishes a manifest in which the requests of a route go to another service.
/// @param max_attempts number of upstreams to which a request may be sent
inline void RouteToService(const NodeRun& run, const std::string& route,
                           const std::string& service, int max_attempts) {
  json manifest = soak::MakeManifest(2, /*with_withdrawn_key=*/false);
  for (json& entry : manifest["routes"]) {
    if (entry["name"] == route) {
      entry["service"] = service;
      entry["maxAttempts"] = max_attempts;
    }
  }
  manifest["services"].push_back({{"name", service}});
  const std::string text = manifest.dump();
  cr_assert_eq(
      NodeRun::Request(run.platform(),
                       "POST /operator/put?key=config HTTP/1.1\r\nHost: p",
                       text.size(), text),
      200);
}

}  // namespace mulberryroad::process

#endif  // MULBERRYROAD_TEST_PROCESS_HOSTILE_UPSTREAM_H_
