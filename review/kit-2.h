// Stand-ins and helpers of the cases 6 to 10: an HTTP server and client, the
// platform's store and duty calls, replicas, and the nodes under test as child
// processes. Everything but the nodes runs in threads of the case's program.

#ifndef MULBERRYROAD_REVIEW_KIT_2_H_
#define MULBERRYROAD_REVIEW_KIT_2_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace kit {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

inline double Now() {
  static const auto start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline std::int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// ---------------------------------------------------------------- record.txt

class Record {
 public:
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2048];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    if (file_ != nullptr) {
      std::fprintf(file_, "%8.3f %s\n", Now(), text);
      std::fflush(file_);
    }
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};

inline Record& record() {
  static auto* const instance = new Record;
  return *instance;
}

// ------------------------------------------------------------------- sockets

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

inline bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// Returns a port that was free; all ports of a run are drawn before it starts.
inline int FreePort() {
  static std::mutex mutex;
  static std::set<int> used;
  const std::lock_guard lock(mutex);
  for (int attempt = 0; attempt < 200; ++attempt) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = Loopback(0);
    socklen_t size = sizeof(address);
    int port = 0;
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
      port = ntohs(address.sin_port);
    }
    close(fd);
    if (port != 0 && used.insert(port).second) {
      return port;
    }
  }
  std::exit(kCannotRun);
}

inline int Connect(int port, double timeout_s,
                   const std::function<void(int)>& prepare = nullptr) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (prepare) {
    prepare(fd);
  }
  timeval timeout{};
  timeout.tv_sec = static_cast<time_t>(timeout_s);
  timeout.tv_usec = static_cast<suseconds_t>(
      (timeout_s - static_cast<double>(timeout.tv_sec)) * 1e6);
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

// ---------------------------------------------------------------------- HTTP

struct Message {
  std::string first_line;                      // of the head
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;

  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  std::string word(int index) const {
    std::size_t from = 0;
    for (int i = 0; i < index; ++i) {
      from = first_line.find(' ', from);
      if (from == std::string::npos) {
        return "";
      }
      ++from;
    }
    return first_line.substr(from, first_line.find(' ', from) - from);
  }
  int status() const { return std::atoi(word(1).c_str()); }
};

/// Reads messages from a connection as RFC 9112 frames them: a body follows any
/// method and has a Content-Length or chunks.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  /// Returns nullopt at the end of the connection or on malformed bytes, which
  /// `rest` then holds.
  std::optional<Message> Next(bool response = false) {
    std::size_t end;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill()) {
        return std::nullopt;
      }
    }
    Message message;
    std::string head = buffer_.substr(0, end + 2);
    std::size_t line_end = head.find("\r\n");
    message.first_line = head.substr(0, line_end);
    for (std::size_t at = line_end + 2; at < head.size();) {
      line_end = head.find("\r\n", at);
      const std::string line = head.substr(at, line_end - at);
      at = line_end + 2;
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      for (char& c : name) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      }
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers[name] =
          value == std::string::npos ? "" : line.substr(value);
    }
    buffer_.erase(0, end + 4);
    if (message.header("transfer-encoding") == "chunked") {
      return ReadChunks(std::move(message));
    }
    const std::string length = message.header("content-length");
    if (length.empty() && response) {
      while (Fill()) {
      }
      message.body = std::exchange(buffer_, "");
      return message;
    }
    const std::size_t size = std::strtoull(length.c_str(), nullptr, 10);
    while (buffer_.size() < size) {
      if (!Fill()) {
        return std::nullopt;
      }
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return message;
  }

  const std::string& rest() const { return buffer_; }

 private:
  std::optional<Message> ReadChunks(Message message) {
    while (true) {
      std::size_t end;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill()) {
          return std::nullopt;
        }
      }
      const std::size_t size = std::strtoull(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < end + 2 + size + 2) {
        if (!Fill()) {
          return std::nullopt;
        }
      }
      message.body += buffer_.substr(end + 2, size);
      buffer_.erase(0, end + 2 + size + 2);
      if (size == 0) {
        return message;
      }
    }
  }
  bool Fill() {
    char bytes[65536];
    const ssize_t got = recv(fd_, bytes, sizeof(bytes), 0);
    if (got <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(got));
    return true;
  }

  int fd_;
  std::string buffer_;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string Response(int status, const std::string& body,
                            const Headers& headers = {}) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

inline std::string Request(const std::string& method, const std::string& path,
                           const std::string& body,
                           const Headers& headers = {}) {
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/// Sends one request on a new connection. Returns nullopt without a complete
/// answer.
inline std::optional<Message> Call(int port, const std::string& method,
                                   const std::string& path,
                                   const std::string& body,
                                   Headers headers = {}, double timeout_s = 5) {
  headers.emplace_back("Connection", "close");
  const int fd = Connect(port, timeout_s);
  if (fd < 0) {
    return std::nullopt;
  }
  std::optional<Message> answer;
  if (SendAll(fd, Request(method, path, body, headers))) {
    answer = Reader(fd).Next(/*response=*/true);
  }
  close(fd);
  return answer;
}

/// Serves connections in a thread each.
class Server {
 public:
  using Handler = std::function<bool(int fd, const Message& request)>;

  /// @param handler answers a request; returns false to close the connection
  explicit Server(Handler handler)
      : handler_(std::move(handler)), port_(FreePort()) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const sockaddr_in address = Loopback(port_);
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(fd_, 512) != 0) {
      std::exit(kCannotRun);
    }
    std::thread([this] {
      while (true) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) {
          const int no_delay = 1;
          setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
          std::thread([this, fd] { Serve(fd); }).detach();
        }
      }
    }).detach();
  }
  int port() const { return port_; }

 private:
  void Serve(int fd) {
    Reader reader(fd);
    while (const auto request = reader.Next()) {
      if (!handler_(fd, *request)) {
        break;
      }
    }
    close(fd);
  }
  Handler handler_;
  int port_;
  int fd_ = -1;
};

inline std::string Base64(const std::string& in) {
  static const char* const digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    std::uint32_t word = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      word = (word << 8U) |
             (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j <= in.size() ? digits[(word >> (18 - 6 * j)) & 63U] : '=';
    }
  }
  return out;
}

inline std::string Decoded(const std::string& in) {
  std::string out;
  for (std::size_t i = 0; i < in.size(); ++i) {
    if (in[i] == '%' && i + 2 < in.size()) {
      out += static_cast<char>(
          std::strtol(in.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += in[i];
    }
  }
  return out;
}

inline std::map<std::string, std::string> Query(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string pair =
        target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      query[Decoded(pair.substr(0, equals))] = Decoded(pair.substr(equals + 1));
    }
    at = end;
  }
  return query;
}

// ------------------------------------------------------------------ platform

/// The platform's store and duty calls, as PROTOCOL.md describes them, without
/// faults.
class Platform {
 public:
  Platform()
      : server_([this](int fd, const Message& request) {
          return Serve(fd, request);
        }) {
    std::thread([this] {
      while (true) {
        Sleep(0.05);
        Expire();
      }
    }).detach();
  }
  int port() const { return server_.port(); }

  /// Writes a record as the operator, a trainer or a replica does.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value) {
    const std::lock_guard lock(mutex_);
    Take(topic, partitions_[{topic, 0}],
         std::string(1, static_cast<char>(key.size())) + key + value);
    changed_.notify_all();
  }

 private:
  struct Producer {
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> sequence;
    std::vector<std::pair<std::uint64_t, std::string>> answers;
  };
  struct Partition {
    std::vector<std::string> records;
    std::map<std::string, std::pair<std::string, std::size_t>> newest;
    std::map<std::string, Producer> producers;
  };
  using PartitionId = std::pair<std::string, int>;
  struct Holding {
    std::string holder;
    std::string target;
    std::uint64_t since = 0;
  };
  struct Group {
    std::uint64_t generation = 0;
    std::map<std::string, Clock::time_point>
        members;  // with the end of their time
    std::map<PartitionId, Holding> holdings;
  };

  static std::string Number(std::uint64_t value, int bytes) {
    std::string text;
    for (int i = bytes; i-- > 0;) {
      text += static_cast<char>(value >> (8 * i));
    }
    return text;
  }
  static void Take(const std::string& topic, Partition& partition,
                   std::string content) {
    if (topic.starts_with("keyed.") && !content.empty()) {
      const auto length = static_cast<unsigned char>(content[0]);
      const std::string key = content.substr(1, length);
      const std::string value =
          content.substr(std::min<std::size_t>(content.size(), 1U + length));
      if (value.empty()) {
        partition.newest.erase(key);
      } else {
        partition.newest[key] = {value, partition.records.size()};
      }
    }
    partition.records.push_back(std::move(content));
  }

  bool Serve(int fd, const Message& request) {
    const std::string target = request.word(1);
    const std::string path = target.substr(0, target.find('?'));
    auto query = Query(target);
    const PartitionId id{query["topic"], std::atoi(query["part"].c_str())};
    std::string answer;
    if (path == "/v1/log-append") {
      answer = Append(id, query, request.body);
    } else if (path == "/v1/log-read") {
      answer = Read(id, query);
    } else if (path == "/v1/log-newest") {
      answer = Newest(id, query["after"]);
    } else if (path == "/v1/log-join") {
      answer = Join(json::parse(request.body, nullptr, false));
    } else if (path == "/v1/log-leave") {
      const json body = json::parse(request.body, nullptr, false);
      const std::lock_guard lock(mutex_);
      Group& group = groups_[body.value("group", "")];
      if (group.members.erase(body.value("member", "")) > 0) {
        Deal(group);
      }
      answer = Response(200, "{}");
    } else if (path == "/v1/log-owners") {
      answer = Owners(query["group"]);
    } else if (path == "/usage" || path == "/scale") {
      answer = Response(200, "{}");
    } else {
      answer = Response(404, "{}");
    }
    return SendAll(fd, answer);
  }

  std::string Append(const PartitionId& id,
                     std::map<std::string, std::string>& query,
                     const std::string& body) {
    const std::lock_guard lock(mutex_);
    if (id.first == "keyed.op" || id.first == "keyed.servers") {
      return Response(403, "{}");
    }
    Partition& partition = partitions_[id];
    const std::size_t end = partition.records.size();
    if (query.contains("at") &&
        std::strtoull(query["at"].c_str(), nullptr, 10) != end) {
      return Response(412, json{{"endOffset", end}}.dump());
    }
    Producer* producer = nullptr;
    std::uint64_t sequence = 0;
    if (query.contains("producer")) {
      producer = &partition.producers[query["producer"]];
      const std::uint64_t epoch =
          std::strtoull(query["epoch"].c_str(), nullptr, 10);
      sequence = std::strtoull(query["seq"].c_str(), nullptr, 10);
      if (epoch < producer->epoch) {
        return Response(409, json{{"why", "fenced"}}.dump());
      }
      if (epoch > producer->epoch) {
        *producer = Producer{};
        producer->epoch = epoch;
      }
      for (const auto& [done, answer] : producer->answers) {
        if (done == sequence) {
          return answer;
        }
      }
      if (producer->sequence.has_value() &&
          sequence != *producer->sequence + 1) {
        return Response(
            409,
            json{{"why", "seq"}, {"expected", *producer->sequence + 1}}.dump());
      }
    }
    for (std::size_t at = 0; at + 4 <= body.size();) {
      std::size_t length = 0;
      for (int i = 0; i < 4; ++i) {
        length = (length << 8U) | static_cast<unsigned char>(
                                      body[at + static_cast<std::size_t>(i)]);
      }
      Take(id.first, partition, body.substr(at + 4, length));
      at += 4 + length;
    }
    const std::string answer = Response(
        200,
        json{{"offset", end}, {"endOffset", partition.records.size()}}.dump());
    if (producer != nullptr) {
      producer->sequence = sequence;
      producer->answers.emplace_back(sequence, answer);
      if (producer->answers.size() > 5) {
        producer->answers.erase(producer->answers.begin());
      }
    }
    changed_.notify_all();
    return answer;
  }

  std::string Read(const PartitionId& id,
                   std::map<std::string, std::string>& query) {
    const std::size_t from = std::strtoull(query["from"].c_str(), nullptr, 10);
    const auto until = Clock::now() + std::chrono::milliseconds(
                                          std::atoi(query["waitMs"].c_str()));
    std::unique_lock lock(mutex_);
    while (partitions_[id].records.size() <= from &&
           changed_.wait_until(lock, until) != std::cv_status::timeout) {
    }
    const Partition& partition = partitions_[id];
    std::string body = Number(partition.records.size(), 8) + Number(0, 8);
    for (std::size_t at = from;
         at < partition.records.size() && body.size() < 1'000'000; ++at) {
      body += Number(partition.records[at].size(), 4) + partition.records[at];
    }
    return Response(200, body);
  }

  std::string Newest(const PartitionId& id, const std::string& after) {
    const std::lock_guard lock(mutex_);
    const Partition& partition = partitions_[id];
    json body = {{"items", json::array()},
                 {"hasMore", false},
                 {"endOffset", partition.records.size()}};
    std::size_t bytes = 0;
    for (auto entry = partition.newest.upper_bound(after);
         entry != partition.newest.end(); ++entry) {
      if (body["items"].size() == 500 || bytes > 1'000'000) {
        body["hasMore"] = true;
        break;
      }
      bytes += entry->second.first.size();
      body["items"].push_back({{"key", entry->first},
                               {"value", Base64(entry->second.first)},
                               {"offset", entry->second.second}});
    }
    return Response(200, body.dump());
  }

  static void Deal(Group& group) {
    ++group.generation;
    std::vector<std::string> names;
    for (const auto& [name, until] : group.members) {
      names.push_back(name);
    }
    std::size_t next = 0;
    for (auto& [part, holding] : group.holdings) {
      holding.target = names.empty() ? "" : names[next++ % names.size()];
      holding.since = group.generation;
      if (!group.members.contains(holding.holder)) {
        holding.holder.clear();
      }
    }
  }

  std::string Join(const json& body) {
    if (!body.is_object()) {
      return Response(400, "{}");
    }
    const std::lock_guard lock(mutex_);
    Group& group = groups_[body.value("group", "")];
    const std::string member = body.value("member", "");
    const bool joins = !group.members.contains(member);
    group.members[member] =
        Clock::now() + std::chrono::milliseconds(body.value("ttlMs", 1'000));
    for (const std::string& topic :
         body.value("topics", std::vector<std::string>())) {
      for (int part = 0; part < kPartitions; ++part) {
        group.holdings.try_emplace({topic, part});
      }
    }
    if (joins) {
      Deal(group);
    }
    json parts = json::array();
    for (auto& [part, holding] : group.holdings) {
      if (holding.holder == member && holding.target != member &&
          body.value("generation", std::uint64_t{0}) >= holding.since) {
        holding.holder.clear();
      }
      if (holding.target == member && holding.holder.empty()) {
        holding.holder = member;
      }
      if (holding.target == member && holding.holder == member) {
        parts.push_back({part.first, part.second, 0});
      }
    }
    return Response(
        200, json{{"generation", group.generation}, {"parts", parts}}.dump());
  }

  std::string Owners(const std::string& name) {
    const std::lock_guard lock(mutex_);
    json rows = json::array();
    for (const auto& [part, holding] : groups_[name].holdings) {
      rows.push_back({part.first, part.second, holding.holder, 0});
    }
    return Response(200, json{{"owners", rows}}.dump());
  }

  void Expire() {
    const std::lock_guard lock(mutex_);
    for (auto& [name, group] : groups_) {
      const auto now = Clock::now();
      if (std::erase_if(group.members, [now](const auto& member) {
            return member.second < now;
          }) > 0) {
        Deal(group);
      }
    }
  }

  static constexpr int kPartitions = 12;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<PartitionId, Partition> partitions_;
  std::map<std::string, Group> groups_;
  Server server_;
};

// ------------------------------------------------------------------ replicas

/// A replica that registers itself and answers as a sound one does; `serve`
/// may take over the requests that are neither orders nor reports.
class Replica {
 public:
  struct Options {
    std::string id;
    std::string service;
    int slots = 6;
    std::string model;  // empty if it serves no model
    /// Answers a request; returns nullopt to leave it to the sound replica.
    std::function<std::optional<bool>(int fd, const Message& request)> serve;
  };

  Replica(Platform& platform, Options options)
      : platform_(platform),
        options_(std::move(options)),
        born_(UnixMillis()),
        server_([this](int fd, const Message& request) {
          return Serve(fd, request);
        }) {
    Register();
    std::thread([this] {
      while (true) {
        Sleep(1.2);
        Register();
      }
    }).detach();
  }

  int runs() const { return runs_; }
  /// Reports that it leaves.
  void Drain() {
    draining_ = true;
    Register();
  }
  /// Removes its entry and takes no more requests.
  void Leave() {
    left_ = true;
    platform_.Put("keyed.servers", options_.id, "");
  }

 private:
  void Register() {
    if (left_) {
      return;
    }
    json entry = {{"service", options_.service},
                  {"addr", "127.0.0.1:" + std::to_string(server_.port())},
                  {"zone", "zone-1"},
                  {"version", "v1"},
                  {"slots", options_.slots},
                  {"state", draining_ ? "draining" : "ready"},
                  {"coldLeftMs", 0},
                  {"seq", seq_.load()},
                  {"born", born_}};
    if (!options_.model.empty()) {
      entry["models"] = {{{"name", options_.model},
                          {"version", 1},
                          {"adapters", json::array()}}};
    }
    platform_.Put("keyed.servers", options_.id, entry.dump());
  }

  bool Serve(int fd, const Message& request) {
    if (left_) {
      return false;
    }
    const std::string target = request.word(1);
    const std::string id = request.header("request-id");
    if (target == "/v1/report") {
      json body = {{"stage", "both"}, {"models", json::array()},
                   {"busy", false},   {"seq", seq_.load()},
                   {"numWaiting", 0}, {"numRunning", running_.load()}};
      if (!options_.model.empty()) {
        body["models"] = {{{"name", options_.model},
                           {"version", 1},
                           {"adapters", json::array()}}};
      }
      return SendAll(fd, Response(200, body.dump()));
    }
    if (target == "/v1/order") {
      return SendAll(fd, Response(200, "{}"));
    }
    static const std::set<std::string> methods = {"GET", "POST", "PUT",
                                                  "DELETE"};
    if (!methods.contains(request.word(0))) {
      record().Line("replica %s cannot read a request, its line is: %.80s",
                    options_.id.c_str(), request.first_line.c_str());
      SendAll(fd, Response(400, ""));
      return false;
    }
    const std::string expected = request.header("expect-instance");
    if (!expected.empty() && expected != options_.id) {
      return SendAll(
          fd, Response(421, "", {{"Request-Id", id}, {"Not-Executed", "1"}}));
    }
    if (id.empty()) {
      return SendAll(fd, Response(400, "", {{"Not-Executed", "1"}}));
    }
    if (running_ >= options_.slots) {
      return SendAll(
          fd, Response(503, "", {{"Request-Id", id}, {"Not-Executed", "1"}}));
    }
    ++running_;
    ++runs_;
    record().Line("replica %s runs id=%s %s tenant=%s body=%zu bytes",
                  options_.id.c_str(), id.c_str(), request.first_line.c_str(),
                  request.header("tenant").c_str(), request.body.size());
    const std::optional<bool> taken =
        options_.serve ? options_.serve(fd, request) : std::nullopt;
    const bool keep = taken.has_value()        ? *taken
                      : options_.model.empty() ? Plain(fd, id)
                                               : Stream(fd, request);
    --running_;
    return keep;
  }

  bool Plain(int fd, const std::string& id) {
    Sleep(0.01);
    return SendAll(
        fd, Response(200, "answer to " + id,
                     {{"Request-Id", id}, {"Server-Seal", "seal-" + id}}));
  }

  bool Stream(int fd, const Message& request) {
    const std::string id = request.header("request-id");
    if (!SendAll(fd,
                 "HTTP/1.1 200 OK\r\nContent-Type: "
                 "text/event-stream\r\nRequest-Id: " +
                     id + "\r\nServer-Seal: seal-" + id +
                     "\r\nWeight-Versions: 1\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n")) {
      return false;
    }
    for (int event = std::atoi(request.header("last-event-id").c_str()) + 1;
         event <= kEvents; ++event) {
      Sleep(0.02);
      const std::string text = "id: " + std::to_string(event) +
                               "\ndata: " + id + "-" + std::to_string(event) +
                               "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
      if (!SendAll(fd, size + text + "\r\n")) {
        return false;
      }
    }
    return SendAll(fd, "0\r\n\r\n");
  }

  static constexpr int kEvents = 8;

  Platform& platform_;
  Options options_;
  std::int64_t born_;
  std::atomic<std::uint64_t> seq_{0};
  std::atomic<int> running_{0};
  std::atomic<int> runs_{0};
  std::atomic<bool> draining_{false};
  std::atomic<bool> left_{false};
  Server server_;
};

// --------------------------------------------------------------------- nodes

struct NodePorts {
  int front = FreePort();
  int ready = FreePort();
  int control = FreePort();
  int metrics = FreePort();
};

/// A node of the system: the program of the deploy file, as a child process. It
/// is restarted when it ends, and killed when it exceeds its memory, as the
/// platform does both.
class Node {
 public:
  Node(int index, const std::string& folder, int platform_port,
       const NodePorts& ports, const std::vector<NodePorts>& all, int memory_mb)
      : name_("edge-zone-1-" + std::to_string(index + 1)),
        settings_(folder + "/" + name_ + ".toml"),
        log_(folder + "/" + name_ + ".log"),
        ports_(ports),
        memory_mb_(memory_mb) {
    std::string seeds;
    for (std::size_t i = 0; i < all.size() && i < 3; ++i) {
      seeds += (i == 0 ? "\"127.0.0.1:" : ",\"127.0.0.1:") +
               std::to_string(all[i].control) + "\"";
    }
    const auto at = [](int port) {
      return "\"127.0.0.1:" + std::to_string(port) + "\"";
    };
    std::ofstream(settings_)
        << "node = \"" << name_
        << "\"\nrole = \"node\"\nmachineClass = \"edge\"\n"
        << "serves = [\"edge\",\"control\"]\nip = \"127.0.0.1\"\nzone = "
           "\"zone-1\"\n"
        << "region = \"region-1\"\ninternalPorts = [" << ports.metrics
        << ", 0]\n"
        << "seedNodes = [" << seeds
        << "]\nbootstrap = true\ninTolerance = false\n"
        << "discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n"
        << "[zones]\nzone-1 = \"region-1\"\n"
        << "[listen]\nfront = " << at(ports.front)
        << "\nreadiness = " << at(ports.ready)
        << "\ncontrol = " << at(ports.control) << "\n"
        << "[limits]\ncpuShare = 0.5\ncores = 1\nmemoryMb = " << memory_mb
        << "\nmaxFds = 8200\nlinkMbps = 1000.0\ndiskMb = 0\n"
        << "[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n"
        << "[bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\nackMs = "
           "4000\n"
        << "catchUpS = 4.3\ndrainMs = 2000\ngraceS = " << kGraceSeconds
        << "\nlossSlackMs = 200\n"
        << "configApplyMs = 2000\nrevertSlackMs = 250\nmaxSkewMs = "
           "5000\nstrictRevoke = false\n"
        << "revokeMs = 5000\nrequireFencing = true\nleaseMs = "
           "3000\nthawSlackMs = 300\n"
        << "usageWindowS = 5\nusageTolerance = 0.05\nusageLateS = "
           "10\nrecoveryS = 12\n"
        << "passMs = 120\nretryAfterS = 0\nfinishS = 10\nstatusS = "
           "120\ncancelMs = 3000\n"
        << "settleMs = 1000\nquotaOverage = 0.1\n"
        << "[platform]\naddr = " << at(platform_port)
        << "\nform = \"log\"\nwritesPerS = 800\n"
        << "readsPerS = 2000\nparts = 12\nappendMs = 2.0\npartMbS = "
           "20.0\nreadMbS = 80.0\n"
        << "recordBytes = 262144\ncallBytes = 2097152\nretentionS = "
           "300\npartMb = 200\n"
        << "ttlMinMs = 1000\n"
        << "[cloud]\naddr = " << at(platform_port) << "\nratePerS = 50.0\n"
        << "duties = [\"metering\",\"autoscale\"]\ndutyPerS = 50.0\n";
    Start();
  }
  ~Node() { Stop(); }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  const std::string& name() const { return name_; }
  const NodePorts& ports() const { return ports_; }
  int front() const { return ports_.front; }

  bool WaitReady(double seconds = 15) const {
    for (const double until = Now() + seconds; Now() < until; Sleep(0.05)) {
      if (Ready(1)) {
        return true;
      }
    }
    return false;
  }
  bool Ready(double timeout_s) const {
    const auto answer =
        Call(ports_.ready, "GET", "/v1/readyz", "", {}, timeout_s);
    return answer.has_value() && answer->status() == 200;
  }

  void Signal(int number) const {
    if (pid_ > 0) {
      kill(pid_, number);
    }
  }

  /// Returns resident memory in MB (10^6 bytes).
  double MemoryMb() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    std::size_t size = 0;
    std::size_t resident = 0;
    file >> size >> resident;
    return static_cast<double>(resident) *
           static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  }
  double peak_mb() const { return peak_mb_; }

  /// Looks after the process: kills it if it exceeds its memory, and starts it
  /// again a second after it has ended.
  /// @return true if the process has just ended by itself or over its memory
  bool Supervise() {
    if (pid_ <= 0) {
      if (Now() >= restart_at_) {
        Start();
        record().Line("%s starts again", name_.c_str());
      }
      return false;
    }
    const double used = MemoryMb();
    peak_mb_ = std::max(peak_mb_, used);
    const bool over = used > memory_mb_ * 1.048576;
    if (over) {
      record().Line("%s uses %.0f MB, its machine has %d: killed",
                    name_.c_str(), used, memory_mb_);
      kill(pid_, SIGKILL);
    }
    int status = 0;
    if (waitpid(pid_, &status, over ? 0 : WNOHANG) == pid_) {
      if (!over) {
        record().Line("%s ended by itself, status %d", name_.c_str(), status);
      }
      pid_ = -1;
      restart_at_ = Now() + 1;
      ++ends_;
      return true;
    }
    return false;
  }
  int ends() const { return ends_; }

  void Stop() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }

  static constexpr int kGraceSeconds = 8;

 private:
  void Start() {
    pid_ = fork();
    if (pid_ == 0) {
      const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      setenv("MULBERRYROAD_SETTINGS", settings_.c_str(), 1);
      execl("target/mulberry-node", "target/mulberry-node",
            static_cast<char*>(nullptr));
      _exit(127);
    }
  }

  std::string name_;
  std::string settings_;
  std::string log_;
  NodePorts ports_;
  int memory_mb_;
  pid_t pid_ = -1;
  double restart_at_ = 0;
  double peak_mb_ = 0;
  int ends_ = 0;
};

// ---------------------------------------------------------------- deployment

inline json Manifest(int timeout_ms = 2'000) {
  const auto route = [](const char* name, const char* kind, const char* service,
                        int timeout) {
    return json{{"name", name},
                {"host", "case.example"},
                {"pathPrefix", std::string("/") + name + "/"},
                {"kind", kind},
                {"timeoutMs", timeout},
                {"targetLatencyMs", 400},
                {"priority", 2},
                {"service", service},
                {"maxAttempts", 3},
                {"authExempt", false}};
  };
  json steps = route("steps", "rollout", "engines", 10'000);
  steps["retentionS"] = 40.0;
  steps["resultDeadlineMs"] = 7'500;
  steps["singleVersion"] = false;
  steps["sticky"] = true;
  steps["resumable"] = true;
  return {
      {"version", 7},
      {"routes", {route("reports", "idempotent", "desk", timeout_ms), steps}},
      {"services",
       {{{"name", "desk"},
         {"healthPath", "/healthz"},
         {"maxConns", 110},
         {"protocol", "h1"}},
        {{"name", "engines"},
         {"healthPath", "/healthz"},
         {"maxConns", 180},
         {"protocol", "h1"},
         {"engine", {{"slots", 16}, {"models", {{{"name", "m0"}}}}}}}}},
      {"limits",
       {{"maxHeaderBytes", 16'384},
        {"maxBodyBytes", 33'554'432},
        {"headerTimeoutMs", 3'000},
        {"idleTimeoutMs", 15'000}}},
      {"tenants",
       {{{"name", "tenant-a"}, {"apiKeys", {"key-a"}}, {"priority", 1}},
        {{"name", "tenant-b"}, {"apiKeys", {"key-b"}}, {"priority", 1}}}}};
}

inline Headers CallerHeaders(const std::string& key, const std::string& id,
                             int deadline_ms = 2'000) {
  return {{"Host", "case.example"},
          {"Credential", key},
          {"Request-Id", id},
          {"Deadline-Ms", std::to_string(deadline_ms)}};
}

inline json Item(const std::string& id, const std::string& group) {
  return {{"id", id},
          {"path", "/steps/3/91c4"},
          {"headers",
           {{"Model", "m0"},
            {"Token-Count", "16,400"},
            {"Prompt-Prefix", "9c2e41:16"}}},
          {"body", "q83vEjRWeJA="},
          {"tokens", 416},
          {"group", group}};
}

/// Set up of a case: reads the environment, opens the record, makes a folder.
struct Case {
  bool trouble = true;
  std::string folder;

  explicit Case(int argc, char** argv) {
    signal(SIGPIPE, SIG_IGN);
    Now();
    const char* setting = std::getenv("TROUBLE");
    trouble = setting == nullptr || std::string(setting) != "0";
    const char* temporary = std::getenv("CASE_FOLDER");
    if (argc != 2 || temporary == nullptr ||
        access("target/mulberry-node", X_OK) != 0) {
      std::fprintf(stderr,
                   "usage: run.sh, after the build of the deploy file\n");
      std::exit(kCannotRun);
    }
    folder = temporary;
    record().Open(std::string(argv[1]) + "/record.txt");
    record().Line("begin, with%s trouble", trouble ? "" : "out");
  }

  [[noreturn]] void End(int code, std::vector<std::unique_ptr<Node>>& nodes,
                        const char* reason) {
    for (const auto& node : nodes) {
      node->Stop();
    }
    record().Line("%s: %s",
                  code == kHeld     ? "the rule held"
                  : code == kBroken ? "BROKEN"
                                    : "could not run",
                  reason);
    std::printf("%s: %s\n",
                code == kHeld     ? "held"
                : code == kBroken ? "broken"
                                  : "could not run",
                reason);
    std::fflush(stdout);
    std::_Exit(code);
  }
};

inline std::vector<std::unique_ptr<Node>> StartNodes(const Case& run,
                                                     const Platform& platform,
                                                     int count, int memory_mb) {
  std::vector<NodePorts> drawn;
  for (int i = 0; i < count; ++i) {
    drawn.emplace_back();
  }
  std::vector<std::unique_ptr<Node>> nodes;
  for (int i = 0; i < count; ++i) {
    nodes.push_back(std::make_unique<Node>(i, run.folder, platform.port(),
                                           drawn[static_cast<std::size_t>(i)],
                                           drawn, memory_mb));
  }
  return nodes;
}

}  // namespace kit

#endif  // MULBERRYROAD_REVIEW_KIT_2_H_
