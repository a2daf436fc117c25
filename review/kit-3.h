// Stand-ins for the scripts of the third review: the platform's store and duty
// calls, replicas, and HTTP clients. Everything listens on loopback addresses.
#ifndef REVIEW_KIT_3_H_
#define REVIEW_KIT_3_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;
using Headers = std::map<std::string, std::string>;

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Writes what was sent, answered and run to a file.
class Record {
 public:
  explicit Record(const std::string& path)
      : out_(path, std::ios::trunc), start_(NowMs()) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char at[32];
    std::snprintf(at, sizeof(at), "%8.3f  ",
                  static_cast<double>(NowMs() - start_) / 1000.0);
    out_ << at << text << "\n" << std::flush;
  }
  std::int64_t elapsed_ms() const { return NowMs() - start_; }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  std::int64_t start_;
};

struct Message {
  std::string method, target, path;
  std::map<std::string, std::string> query;
  int status = 0;
  Headers headers;  // names in lower case
  std::string body;
  bool complete = false;
  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};

inline std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(c));
  return text;
}
inline std::string Unescape(const std::string& in) {
  std::string out;
  for (std::size_t i = 0; i < in.size(); ++i) {
    if (in[i] == '%' && i + 2 < in.size()) {
      out.push_back(static_cast<char>(
          std::strtol(in.substr(i + 1, 2).c_str(), nullptr, 16)));
      i += 2;
    } else {
      out.push_back(in[i]);
    }
  }
  return out;
}

// One TCP connection; reads whole messages.
class Conn {
 public:
  explicit Conn(int fd) : fd_(fd) {
    const int one = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  ~Conn() {
    if (fd_ >= 0) close(fd_);
  }
  Conn(const Conn&) = delete;
  Conn& operator=(const Conn&) = delete;

  bool Send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n =
          send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  // True once the peer has closed or reset the connection.
  bool PeerClosed() {
    pollfd p{fd_, POLLIN | POLLRDHUP, 0};
    if (poll(&p, 1, 0) <= 0) return false;
    if (p.revents & (POLLHUP | POLLERR | POLLRDHUP)) return true;
    char c;
    return recv(fd_, &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }
  bool ReadHead(Message* m, std::int64_t deadline) {
    std::size_t end;
    while ((end = in_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(deadline)) return false;
    }
    const std::string head = in_.substr(0, end);
    in_.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    const std::string first = head.substr(0, at);
    m->headers.clear();
    while (at != std::string::npos) {
      const std::size_t begin = at + 2;
      at = head.find("\r\n", begin);
      const std::string line = head.substr(
          begin, at == std::string::npos ? std::string::npos : at - begin);
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      m->headers[Lower(line.substr(0, colon))] = line.substr(value);
    }
    if (first.starts_with("HTTP/")) {
      m->status = std::atoi(first.c_str() + 9);
      return true;
    }
    const std::size_t a = first.find(' '), b = first.rfind(' ');
    m->method = first.substr(0, a);
    m->target = first.substr(a + 1, b - a - 1);
    const std::size_t mark = m->target.find('?');
    m->path = m->target.substr(0, mark);
    m->query.clear();
    if (mark != std::string::npos) {
      std::string rest = m->target.substr(mark + 1);
      while (!rest.empty()) {
        const std::size_t amp = rest.find('&');
        const std::string pair = rest.substr(0, amp);
        rest = amp == std::string::npos ? "" : rest.substr(amp + 1);
        const std::size_t eq = pair.find('=');
        m->query[pair.substr(0, eq)] =
            eq == std::string::npos ? "" : Unescape(pair.substr(eq + 1));
      }
    }
    return true;
  }
  bool ReadBody(Message* m, std::int64_t deadline) {
    m->body.clear();
    if (Lower(m->header("transfer-encoding")) == "chunked") {
      while (true) {
        std::size_t end;
        while ((end = in_.find("\r\n")) == std::string::npos) {
          if (!Fill(deadline)) return false;
        }
        const std::size_t size =
            std::strtoul(in_.substr(0, end).c_str(), nullptr, 16);
        in_.erase(0, end + 2);
        while (in_.size() < size + 2) {
          if (!Fill(deadline)) return false;
        }
        m->body += in_.substr(0, size);
        in_.erase(0, size + 2);
        if (size == 0) return m->complete = true;
      }
    }
    const std::size_t length =
        std::strtoul(m->header("content-length").c_str(), nullptr, 10);
    while (in_.size() < length) {
      if (!Fill(deadline)) return false;
    }
    m->body = in_.substr(0, length);
    in_.erase(0, length);
    return m->complete = true;
  }

 private:
  bool Fill(std::int64_t deadline) {
    const std::int64_t left = deadline - NowMs();
    if (left <= 0) return false;
    pollfd p{fd_, POLLIN, 0};
    if (poll(&p, 1, static_cast<int>(left)) <= 0) return false;
    char buffer[65536];
    const ssize_t n = recv(fd_, buffer, sizeof(buffer), 0);
    if (n <= 0) return false;
    in_.append(buffer, static_cast<std::size_t>(n));
    return true;
  }
  int fd_;
  std::string in_;
};

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}
// A free port below those that the kernel gives to outgoing connections.
inline int FreePort() {
  static std::mt19937 random(static_cast<unsigned>(getpid()) * 7919U +
                             static_cast<unsigned>(NowMs()));
  for (int i = 0; i < 1'000; ++i) {
    const int port = 11'000 + static_cast<int>(random() % 20'000);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = Loopback(port);
    const bool is_free =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (is_free) return port;
  }
  std::exit(2);
}
inline std::string At(int port) { return "127.0.0.1:" + std::to_string(port); }

inline std::string Answer(int status, const std::string& body,
                          const std::vector<std::string>& lines = {}) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const std::string& line : lines) text += line + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Thread per connection. The handler answers and returns whether to keep the
// connection.
class HttpServer {
 public:
  using Handler = std::function<bool(Message&, Conn&)>;
  explicit HttpServer(Handler handler) : handler_(std::move(handler)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in address = Loopback(0);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
            0 ||
        listen(fd_, 512) != 0) {
      std::exit(2);
    }
    port_ = PortOf(fd_);
    std::thread([this] {
      while (true) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          SleepMs(5);
          continue;
        }
        std::thread([this, fd] {
          Conn conn(fd);
          Message request;
          while (conn.ReadHead(&request, NowMs() + 600'000) &&
                 conn.ReadBody(&request, NowMs() + 30'000)) {
            if (!handler_(request, conn)) break;
          }
        }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }

 private:
  Handler handler_;
  int fd_;
  int port_;
};

// One request on a new connection. status is 0 without a whole answer.
inline Message Call(int port, const std::string& method,
                    const std::string& target,
                    const std::vector<std::string>& lines,
                    const std::string& body, std::int64_t timeout_ms) {
  Message answer;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return answer;
  }
  Conn conn(fd);
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const std::string& line : lines) text += line + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  const std::int64_t deadline = NowMs() + timeout_ms;
  if (!conn.Send(text)) return answer;
  Message got;
  if (!conn.ReadHead(&got, deadline) || !conn.ReadBody(&got, deadline)) {
    return answer;
  }
  return got;
}

inline std::string Base64(const std::string& in) {
  static const char* kAlphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    unsigned v = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      v = (v << 8U) |
          (i + k < in.size() ? static_cast<unsigned char>(in[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out.push_back(i + k > in.size() ? '='
                                      : kAlphabet[(v >> (18 - 6 * k)) & 63U]);
    }
  }
  return out;
}

// The platform's store and its duty calls, as PROTOCOL.md tells them.
class Platform {
 public:
  static constexpr int kParts = 12;
  static constexpr std::size_t kRecordBytes = 262'144;
  static constexpr std::size_t kCallBytes = 2'097'152;
  static constexpr int kWritesPerS = 800;
  static constexpr int kReadsPerS = 2'000;

  explicit Platform(Record& record)
      : record_(record), server_([this](Message& m, Conn& c) {
          const std::string answer = Serve(m);
          return c.Send(answer);
        }) {}
  int port() const { return server_.port(); }

  // What the operator or a replica writes; an empty value removes the key.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value) {
    const std::lock_guard lock(mutex_);
    std::string r(1, static_cast<char>(key.size()));
    Take(topic, parts_[{topic, 0}], r + key + value);
    changed_.notify_all();
  }

 private:
  struct Producer {
    std::uint64_t epoch = 0, seq = 0;
    bool started = false;
    std::deque<std::pair<std::uint64_t, std::string>> answers;
  };
  struct Part {
    std::vector<std::string> records;
    std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
    std::map<std::string, Producer> producers;
    std::mutex busy;
  };
  struct Member {
    std::int64_t ttl = 0, heard = 0;
    std::uint64_t generation = 0;
  };
  struct Group {
    std::uint64_t generation = 0;
    std::map<std::string, Member> members;
    std::map<std::pair<std::string, int>, std::string> owner, target;
    std::set<std::string> topics;
  };
  using Key = std::pair<std::string, int>;

  static void Take(const std::string& topic, Part& part, const std::string& r) {
    if (topic.starts_with("keyed.") && !r.empty()) {
      const auto n = static_cast<unsigned char>(r[0]);
      const std::string key = r.substr(1, n);
      const std::string value = r.size() > 1U + n ? r.substr(1U + n) : "";
      if (value.empty()) {
        part.newest.erase(key);
      } else {
        part.newest[key] = {value, part.records.size()};
      }
    }
    part.records.push_back(r);
  }

  static std::uint64_t Num(const Message& m, const char* name) {
    const auto found = m.query.find(name);
    return found == m.query.end()
               ? 0
               : std::strtoull(found->second.c_str(), nullptr, 10);
  }

  std::string Append(const Message& m) {
    const std::string topic = m.query.at("topic");
    if (topic == "keyed.op" || topic == "keyed.servers")
      return Answer(403, "{}");
    std::vector<std::string> records;
    std::size_t total = 0;
    for (std::size_t at = 0; at + 4 <= m.body.size();) {
      std::size_t n = 0;
      for (int i = 0; i < 4; ++i) {
        n = (n << 8U) | static_cast<unsigned char>(
                            m.body[at + static_cast<std::size_t>(i)]);
      }
      if (n > kRecordBytes) {
        record_.Line("store: append refused with 413, a record has " +
                     std::to_string(n) + " bytes");
        return Answer(413, "{}");
      }
      records.push_back(m.body.substr(at + 4, n));
      total += n;
      at += 4 + n;
    }
    if (total > kCallBytes) {
      record_.Line("store: append refused with 413, the call has " +
                   std::to_string(total) + " bytes");
      return Answer(413, "{}");
    }
    Part* part;
    {
      const std::lock_guard lock(mutex_);
      part = &parts_[{topic, static_cast<int>(Num(m, "part"))}];
    }
    const std::lock_guard busy(part->busy);
    SleepMs(2 + static_cast<std::int64_t>(total / 20'000));
    const std::lock_guard lock(mutex_);
    if (m.query.contains("at") && Num(m, "at") != part->records.size()) {
      return Answer(412, json{{"endOffset", part->records.size()}}.dump());
    }
    Producer* producer = nullptr;
    if (m.query.contains("producer")) {
      producer = &part->producers[m.query.at("producer")];
      const std::uint64_t epoch = Num(m, "epoch"), seq = Num(m, "seq");
      if (epoch < producer->epoch) {
        return Answer(409, R"({"why":"fenced"})");
      }
      if (epoch > producer->epoch) *producer = {epoch, 0, false, {}};
      if (records.empty()) {
        producer->seq = seq;
        return Answer(200, json{{"offset", part->records.size()},
                                {"endOffset", part->records.size()}}
                               .dump());
      }
      for (const auto& [known, answer] : producer->answers) {
        if (known == seq) return answer;
      }
      if (producer->started && seq != producer->seq + 1) {
        return Answer(
            409, json{{"why", "seq"}, {"expected", producer->seq + 1}}.dump());
      }
    }
    const std::uint64_t first = part->records.size();
    for (const std::string& r : records) Take(topic, *part, r);
    const std::string answer = Answer(
        200,
        json{{"offset", first}, {"endOffset", part->records.size()}}.dump());
    if (producer != nullptr) {
      producer->started = true;
      producer->seq = Num(m, "seq");
      producer->answers.emplace_back(producer->seq, answer);
      if (producer->answers.size() > 5) producer->answers.pop_front();
    }
    changed_.notify_all();
    return answer;
  }

  std::string Read(const Message& m) {
    const std::uint64_t from = Num(m, "from");
    std::unique_lock lock(mutex_);
    Part& part =
        parts_[{m.query.at("topic"), static_cast<int>(Num(m, "part"))}];
    changed_.wait_for(lock, std::chrono::milliseconds(Num(m, "waitMs")),
                      [&] { return part.records.size() > from; });
    std::string body;
    const auto number = [&body](std::uint64_t v, int bytes) {
      for (int i = bytes - 1; i >= 0; --i) {
        body.push_back(static_cast<char>(v >> (8 * i)));
      }
    };
    number(part.records.size(), 8);
    number(0, 8);
    for (std::uint64_t i = from; i < part.records.size(); ++i) {
      const std::string& r = part.records[i];
      if (i > from && body.size() + r.size() > 1'000'000) break;
      number(r.size(), 4);
      body += r;
    }
    return Answer(200, body);
  }

  std::string Newest(const Message& m) {
    const std::lock_guard lock(mutex_);
    Part& part =
        parts_[{m.query.at("topic"), static_cast<int>(Num(m, "part"))}];
    const std::string after =
        m.query.contains("after") ? m.query.at("after") : "";
    json items = json::array();
    std::size_t bytes = 0;
    auto at =
        after.empty() ? part.newest.begin() : part.newest.upper_bound(after);
    for (; at != part.newest.end() && items.size() < 500; ++at) {
      if (!items.empty() && bytes + at->second.first.size() > 1'000'000) break;
      bytes += at->second.first.size();
      items.push_back({{"key", at->first},
                       {"value", Base64(at->second.first)},
                       {"offset", at->second.second}});
    }
    return Answer(200, json{{"items", items},
                            {"hasMore", at != part.newest.end()},
                            {"endOffset", part.records.size()}}
                           .dump());
  }

  static void Deal(Group& g) {
    ++g.generation;
    g.target.clear();
    std::vector<std::string> names;
    for (const auto& [name, member] : g.members) names.push_back(name);
    for (const std::string& topic : g.topics) {
      for (int p = 0; p < kParts && !names.empty(); ++p) {
        g.target[{topic, p}] =
            names[static_cast<std::size_t>(p) % names.size()];
      }
    }
  }
  static void Settle(Group& g) {
    for (const auto& [key, name] : g.target) {
      std::string& owner = g.owner[key];
      const auto member = g.members.find(owner);
      if (member == g.members.end() ||
          (owner != name && member->second.generation >= g.generation)) {
        owner = name;
      }
    }
  }
  static void Expire(Group& g) {
    const std::int64_t now = NowMs();
    if (std::erase_if(g.members, [now](const auto& m) {
          return m.second.heard + m.second.ttl < now;
        }) > 0) {
      Deal(g);
      Settle(g);
    }
  }

  std::string Join(const Message& m) {
    const json body = json::parse(m.body);
    const std::lock_guard lock(mutex_);
    Group& g = groups_[body.at("group").get<std::string>()];
    Expire(g);
    const std::string name = body.at("member");
    const bool fresh = !g.members.contains(name);
    g.members[name] = {body.at("ttlMs"), NowMs(), body.at("generation")};
    for (const auto& topic : body.at("topics")) {
      g.topics.insert(topic.get<std::string>());
    }
    if (fresh) Deal(g);
    Settle(g);
    json rows = json::array();
    for (const auto& [key, owner] : g.owner) {
      if (owner == name && g.target[key] == name) {
        rows.push_back({key.first, key.second, 0});
      }
    }
    return Answer(200,
                  json{{"generation", g.generation}, {"parts", rows}}.dump());
  }
  std::string Leave(const Message& m) {
    const json body = json::parse(m.body);
    const std::lock_guard lock(mutex_);
    Group& g = groups_[body.at("group").get<std::string>()];
    if (g.members.erase(body.at("member").get<std::string>()) > 0) {
      Deal(g);
      Settle(g);
    }
    return Answer(200, "{}");
  }
  std::string Owners(const Message& m) {
    const std::lock_guard lock(mutex_);
    Group& g = groups_[m.query.at("group")];
    Expire(g);
    json rows = json::array();
    for (const auto& [key, owner] : g.owner) {
      if (g.members.contains(owner)) {
        rows.push_back({key.first, key.second, owner, 0});
      }
    }
    return Answer(200, json{{"owners", rows}}.dump());
  }

  // Whether the calls of this second are used up.
  bool OverRate(const std::string& path) {
    if (!path.starts_with("/v1/log-") || path == "/v1/log-join") return false;
    const bool read = path == "/v1/log-read" || path == "/v1/log-newest" ||
                      path == "/v1/log-owners";
    const std::lock_guard lock(mutex_);
    const std::int64_t second = NowMs() / 1'000;
    if (second != second_) {
      second_ = second;
      reads_ = writes_ = 0;
    }
    return read ? ++reads_ > kReadsPerS : ++writes_ > kWritesPerS;
  }

  std::string Serve(const Message& m) {
    SleepMs(2);
    if (OverRate(m.path)) return Answer(429, "{}");
    if (m.path == "/v1/log-append") return Append(m);
    if (m.path == "/v1/log-read") return Read(m);
    if (m.path == "/v1/log-newest") return Newest(m);
    if (m.path == "/v1/log-join") return Join(m);
    if (m.path == "/v1/log-leave") return Leave(m);
    if (m.path == "/v1/log-owners") return Owners(m);
    if (m.path == "/usage" || m.path == "/scale") return Answer(200, "{}");
    return Answer(200, "{}");
  }

  Record& record_;
  std::mutex mutex_;
  std::int64_t second_ = 0;
  int reads_ = 0, writes_ = 0;
  std::condition_variable changed_;
  std::map<Key, Part> parts_;
  std::map<std::string, Group> groups_;
  HttpServer server_;
};

// A run that a replica began.
struct Run {
  std::string id, replica;
  std::int64_t at = 0;
};

// A plain service or an engine. `behave` may answer instead; it returns nullopt
// to let the sound behaviour go on, or whether to keep the connection.
class Replica {
 public:
  struct Options {
    std::string id, service, zone = "regina";
    int slots = 16;
    std::vector<std::string> models;
    int work_ms = 25;
    int event_ms = 20;
    int event_bytes = 40;
    // Leaves runs out of the record.
    bool quiet = false;
  };
  using Behave =
      std::function<std::optional<bool>(Replica&, const Message&, Conn&)>;

  Replica(Platform& platform, Record& record, Options options,
          Behave behave = nullptr)
      : platform_(platform),
        record_(record),
        options_(std::move(options)),
        behave_(std::move(behave)),
        born_(WallMs()),
        server_([this](Message& m, Conn& c) { return Serve(m, c); }) {
    for (const std::string& model : options_.models) versions_[model] = 1;
    std::thread([this] {
      while (true) {
        Register();
        SleepMs(1'200);
      }
    }).detach();
  }
  const Options& options() const { return options_; }
  std::atomic<int> event_ms_factor{1};
  std::vector<Run> runs() {
    const std::lock_guard lock(mutex_);
    return runs_;
  }
  void NoteRun(const std::string& id) {
    {
      const std::lock_guard lock(mutex_);
      runs_.push_back({id, options_.id, NowMs()});
    }
    if (!options_.quiet) {
      record_.Line("replica " + options_.id + " runs " + id);
    }
  }
  std::vector<std::string> Stamp(const std::string& id) const {
    return {"Request-Id: " + id, "Server-Seal: " + options_.id + "." + id};
  }
  std::string StreamHead(const std::string& id, const std::string& model) {
    std::uint64_t version = 0;
    {
      const std::lock_guard lock(mutex_);
      version = versions_[model];
    }
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
           "\r\nServer-Seal: " + options_.id + "." + id +
           "\r\nContent-Type: text/event-stream\r\nWeight-Versions: " +
           std::to_string(version) + "\r\nTransfer-Encoding: chunked\r\n\r\n";
  }
  static std::string Chunk(const std::string& bytes) {
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
  }
  static std::string Text(const std::string& id, std::uint64_t n, int bytes) {
    std::string text = id + "-" + std::to_string(n);
    if (text.size() < static_cast<std::size_t>(bytes)) {
      text += std::string(static_cast<std::size_t>(bytes) - text.size(), '.');
    }
    return text;
  }
  // Number of events of an output: 47 tokens an event.
  static std::uint64_t EventsOf(const Message& m) {
    const std::string tokens = m.header("token-count");
    const std::size_t comma = tokens.find(',');
    const std::uint64_t out =
        comma == std::string::npos
            ? 400
            : std::strtoull(tokens.c_str() + comma + 1, nullptr, 10);
    return std::max<std::uint64_t>(1, (out + 46) / 47);
  }

 private:
  void Register() {
    json entry = {{"service", options_.service},
                  {"addr", At(server_.port())},
                  {"zone", options_.zone},
                  {"version", "v1"},
                  {"slots", options_.slots},
                  {"state", "ready"},
                  {"coldLeftMs", 0},
                  {"stage", "both"},
                  {"born", born_}};
    {
      const std::lock_guard lock(mutex_);
      entry["seq"] = seq_;
      if (!options_.models.empty()) entry["models"] = Models();
    }
    platform_.Put("keyed.servers", options_.id, entry.dump());
  }
  json Models() const {
    json models = json::array();
    for (const auto& [name, version] : versions_) {
      models.push_back(
          {{"name", name}, {"version", version}, {"adapters", json::array()}});
    }
    return models;
  }
  bool Serve(Message& m, Conn& c) {
    const std::string id = m.header("request-id");
    const std::string expected = m.header("expect-instance");
    if (!expected.empty() && expected != options_.id) {
      return c.Send(Answer(421, "{}", {"Instance-Id: " + options_.id}));
    }
    if (m.path == "/v1/report") {
      const std::lock_guard lock(mutex_);
      return c.Send(Answer(200, json{{"stage", "both"},
                                     {"models", Models()},
                                     {"busy", busy_},
                                     {"seq", seq_},
                                     {"numWaiting", 0},
                                     {"numRunning", running_},
                                     {"kvUsed", 0},
                                     {"kvTotal", 42'360},
                                     {"handles", 0}}
                                    .dump()));
    }
    if (m.path == "/v1/order") return Order(m, c);
    if (m.path == "/healthz") {
      return c.Send(Answer(200, "{}", {"Instance-Id: " + options_.id}));
    }
    {
      const std::lock_guard lock(mutex_);
      const std::string version = m.header("expect-version");
      if (!version.empty() &&
          std::to_string(versions_[m.header("model")]) != version) {
        return c.Send(Answer(421, "{}", {"Request-Id: " + id}));
      }
      if (running_ >= options_.slots || (busy_ && !options_.models.empty())) {
        return c.Send(
            Answer(503, "{}", {"Not-Executed: 1", "Request-Id: " + id}));
      }
      ++running_;
    }
    NoteRun(id);
    bool keep;
    std::optional<bool> own;
    if (behave_) own = behave_(*this, m, c);
    if (own.has_value()) {
      keep = *own;
    } else if (options_.models.empty()) {
      SleepMs(options_.work_ms);
      keep = c.Send(Answer(200, "answer to " + id, Stamp(id)));
    } else {
      keep = Stream(m, c, id);
    }
    const std::lock_guard lock(mutex_);
    --running_;
    return keep;
  }
  bool Stream(const Message& m, Conn& c, const std::string& id) {
    if (!c.Send(StreamHead(id, m.header("model")))) return false;
    std::uint64_t next =
        std::strtoull(m.header("last-event-id").c_str(), nullptr, 10) + 1;
    const std::uint64_t last = EventsOf(m);
    for (; next <= last; ++next) {
      SleepMs(options_.event_ms * event_ms_factor);
      if (c.PeerClosed() ||
          !c.Send(Chunk("id: " + std::to_string(next) + "\ndata: " +
                        Text(id, next, options_.event_bytes) + "\n\n"))) {
        record_.Line("replica " + options_.id + " drops " + id + " at event " +
                     std::to_string(next));
        return false;
      }
    }
    if (!options_.quiet) {
      record_.Line("replica " + options_.id + " finishes " + id);
    }
    return c.Send("0\r\n\r\n");
  }
  bool Order(const Message& m, Conn& c) {
    const json body = json::parse(m.body, nullptr, false);
    if (!body.is_object() || !body.contains("holder") ||
        !body.contains("fenceToken")) {
      return c.Send(Answer(400, "{}"));
    }
    const std::string model = body.value("model", "");
    const auto version = body.value("version", std::uint64_t{0});
    const std::lock_guard lock(mutex_);
    const auto fence = body["fenceToken"].get<std::uint64_t>();
    if (fence < fence_) return c.Send(Answer(412, "{}"));
    fence_ = fence;
    if (!versions_.contains(model)) return c.Send(Answer(400, "{}"));
    if (versions_[model] >= version) return c.Send(Answer(200, "{}"));
    if (busy_ || body.value("expect", seq_) != seq_) {
      return c.Send(Answer(409, "{}"));
    }
    ++seq_;
    busy_ = true;
    std::thread([this, model, version] {
      SleepMs(900);
      {
        const std::lock_guard done(mutex_);
        busy_ = false;
        versions_[model] = version;
      }
      Register();
    }).detach();
    return c.Send(Answer(202, "{}"));
  }

  Platform& platform_;
  Record& record_;
  Options options_;
  Behave behave_;
  std::int64_t born_;
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::map<std::string, std::uint64_t> versions_;
  std::uint64_t seq_ = 0, fence_ = 0;
  int running_ = 0;
  bool busy_ = false;
  HttpServer server_;
};

// A node of the system as its own process.
class NodeProcess {
 public:
  int front = FreePort(), ready = FreePort(), control = FreePort(),
      metrics = FreePort();
  std::string name, zone;
  pid_t pid = -1;

  void Start(const std::string& folder) {
    const std::string settings = folder + "/" + name + ".toml";
    const std::string log = folder + "/" + name + ".log";
    pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      setenv("MULBERRYROAD_SETTINGS", settings.c_str(), 1);
      execl("target/mulberry-node", "target/mulberry-node",
            static_cast<char*>(nullptr));
      _exit(127);
    }
  }
  // Resident memory in MB; 0 if the process is gone or has not begun.
  double ResidentMb() const {
    char program[256] = {};
    const std::string link = "/proc/" + std::to_string(pid) + "/exe";
    if (readlink(link.c_str(), program, sizeof(program) - 1) <= 0 ||
        !std::string(program).ends_with("/mulberry-node")) {
      return 0;
    }
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.starts_with("VmRSS:")) {
        return std::strtod(line.c_str() + 6, nullptr) / 1024.0;
      }
    }
    return 0;
  }
  bool Alive() { return pid > 0 && waitpid(pid, nullptr, WNOHANG) == 0; }
  // SIGTERM, and SIGKILL after the grace period.
  void Stop(std::int64_t grace_ms) {
    const std::int64_t end = NowMs() + grace_ms;
    kill(pid, SIGTERM);
    while (NowMs() < end) {
      if (!Alive()) {
        pid = -1;
        return;
      }
      SleepMs(20);
    }
    End(SIGKILL);
  }
  void End(int signal_number) {
    if (pid > 0) {
      kill(pid, signal_number);
      waitpid(pid, nullptr, 0);
      pid = -1;
    }
  }
};

// The nodes of a small deployment, with settings as in DEPLOY.md.
class Deployment {
 public:
  Deployment(Platform& platform, int nodes, int memory_mb) {
    char folder[] = "/tmp/review-3-XXXXXX";
    folder_ = mkdtemp(folder);
    const char* zones[] = {"regina", "saskatoon", "brandon"};
    nodes_.resize(static_cast<std::size_t>(nodes));
    std::string seeds;
    for (int i = 0; i < nodes; ++i) {
      NodeProcess& node = nodes_[static_cast<std::size_t>(i)];
      node.zone = zones[i % 3];
      node.name = "edge-" + node.zone + "-" + std::to_string(i + 1);
      seeds += (i > 0 ? "," : "") + ("\"" + At(node.control) + "\"");
    }
    for (const NodeProcess& node : nodes_) {
      std::ofstream out(folder_ + "/" + node.name + ".toml");
      out << "node = \"" << node.name << "\"\nrole = \"node\"\n"
          << "machineClass = \"edge\"\nserves = [\"edge\",\"control\"]\n"
          << "ip = \"127.0.0.1\"\nzone = \"" << node.zone << "\"\n"
          << "region = \"prairie\"\ninternalPorts = [" << node.metrics << ","
          << node.metrics << "]\nseedNodes = [" << seeds << "]\n"
          << "bootstrap = true\nheartbeatMs = 1200\n"
          << "[listen]\nfront = \"" << At(node.front) << "\"\nreadiness = \""
          << At(node.ready) << "\"\ncontrol = \"" << At(node.control) << "\"\n"
          << "[limits]\ncpuShare = 0.5\ncores = 1\nmemoryMb = " << memory_mb
          << "\nmaxFds = 8200\nlinkMbps = 1000.0\n"
          << "[bounds]\ncontactMs = 3000\nackMs = 4000\ndrainMs = 2000\n"
          << "graceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\n"
          << "requireFencing = true\nleaseMs = 3000\nusageWindowS = 5\n"
          << "statusS = 120\nsettleMs = 1000\ncancelMs = 3000\n"
          << "[platform]\naddr = \"" << At(platform.port())
          << "\"\nform = \"log\"\nwritesPerS = 800\nreadsPerS = 2000\n"
          << "parts = 12\nappendMs = 2.0\npartMbS = 20.0\nreadMbS = 80.0\n"
          << "recordBytes = 262144\ncallBytes = 2097152\nretentionS = 300\n"
          << "ttlMinMs = 1000\n[cloud]\naddr = \"" << At(platform.port())
          << "\"\n";
    }
  }
  // Ends all nodes and removes their files.
  void End() {
    for (NodeProcess& node : nodes_) node.End(SIGKILL);
    for (const NodeProcess& node : nodes_) {
      unlink((folder_ + "/" + node.name + ".toml").c_str());
      if (std::getenv("KEEP_LOGS") == nullptr) {
        unlink((folder_ + "/" + node.name + ".log").c_str());
      }
    }
    rmdir(folder_.c_str());
  }
  // Starts all nodes; returns whether they are ready within 15 s.
  bool Start() {
    for (NodeProcess& node : nodes_) node.Start(folder_);
    for (NodeProcess& node : nodes_) {
      if (!AwaitReady(node)) return false;
    }
    return true;
  }
  bool AwaitReady(NodeProcess& node) {
    const std::int64_t end = NowMs() + 15'000;
    while (NowMs() < end) {
      if (Call(node.ready, "GET", "/v1/readyz", {"Host: x"}, "", 500).status ==
          200) {
        return true;
      }
      SleepMs(100);
    }
    return false;
  }
  std::vector<NodeProcess>& nodes() { return nodes_; }
  const std::string& folder() const { return folder_; }

 private:
  std::string folder_;
  std::vector<NodeProcess> nodes_;
};

}  // namespace review

#endif  // REVIEW_KIT_3_H_
