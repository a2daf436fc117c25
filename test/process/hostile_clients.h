// Fixture of process tests: a mulberry-node with stand-ins of an upstream and
// of the platform, and clients that send it scripted bytes.

#ifndef MULBERRYROAD_TEST_PROCESS_HOSTILE_CLIENTS_H_
#define MULBERRYROAD_TEST_PROCESS_HOSTILE_CLIENTS_H_

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fakes/free_port.h"
#include "mulberryroad/endpoint.h"
#include "process/child_process.h"
#include "soak/soak_run.h"
#include "soak/traffic.h"

namespace mulberryroad::process {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

inline constexpr std::size_t kMega = 1U << 20U;
// Settings of the node, lowered so that a small crowd exceeds them.
inline constexpr std::size_t kMemoryMb = 64;
inline constexpr std::size_t kMaxFds = 260;
inline constexpr std::size_t kMaxBodyBytes = 6 * kMega;
// Settings of the smallest machine and the real limit of a body.
inline constexpr std::size_t kSmallestMemoryMb = 120;
inline constexpr std::size_t kSmallestMaxFds = 3'075;
inline constexpr std::size_t kRealMaxBodyBytes = 33'554'432;

inline constexpr std::size_t kClients = 16;
// Bytes that one connection sends at most, so that a test of code without
// bounds does not exhaust the machine that runs it.
inline constexpr std::size_t kMaxSentBytes = 24 * kMega;
inline constexpr milliseconds kAttackTime{4'000};
inline constexpr milliseconds kSampleInterval{20};
inline constexpr milliseconds kStartLimit{15'000};
// An ordinary caller retries, as a refusal is allowed.
inline constexpr int kMaxAttempts = 10;
inline constexpr milliseconds kAttemptInterval{500};
inline constexpr milliseconds kReplyLimit{20'000};

// Held by one test at a time: the programs run two tests side by side.
class TestLock {
 public:
  TestLock()
      : file_(open((std::filesystem::temp_directory_path() /
                    ("mulberry-hostile-clients-" + std::to_string(getuid())))
                       .c_str(),
                   O_CREAT | O_RDWR | O_CLOEXEC, 0600)) {
    cr_assert_geq(file_, 0, "cannot open the lock file");
    flock(file_, LOCK_EX);
  }
  ~TestLock() { close(file_); }
  TestLock(const TestLock&) = delete;
  TestLock& operator=(const TestLock&) = delete;

 private:
  int file_;
};

inline int Connect(const Endpoint& endpoint) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, O_NONBLOCK);
  return fd;
}

/// What a server sent on a connection until its end.
struct Reply {
  std::string bytes;
  /// Whether the server ended the connection in order.
  bool in_order = false;

  /// Status of the response; 0 if there is none.
  int status() const {
    return bytes.size() < 12 ? 0 : std::atoi(bytes.c_str() + 9);
  }
};

/// Sends a request and reads until the connection ends, or for a time.
inline Reply ReadToEnd(const Endpoint& endpoint, const std::string& request,
                       milliseconds limit) {
  Reply reply;
  const int fd = Connect(endpoint);
  if (fd < 0) {
    return reply;
  }
  std::string_view unsent = request;
  const auto end = steady_clock::now() + limit;
  char buffer[16U << 10U];
  while (steady_clock::now() < end) {
    const ssize_t sent = send(fd, unsent.data(), unsent.size(), MSG_NOSIGNAL);
    unsent.remove_prefix(sent > 0 ? static_cast<std::size_t>(sent) : 0);
    const bool writes = !unsent.empty() && (sent >= 0 || errno == EAGAIN);
    pollfd ready{
        fd, static_cast<std::int16_t>(writes ? POLLIN | POLLOUT : POLLIN), 0};
    poll(&ready, 1, 50);
    const ssize_t got = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (got > 0) {
      reply.bytes.append(buffer, static_cast<std::size_t>(got));
    } else if (got == 0 || errno != EAGAIN) {
      reply.in_order = got == 0;
      break;
    }
  }
  close(fd);
  return reply;
}

/// What a hostile client sends: a head, then a piece over and over again.
struct Script {
  std::string head;
  std::string piece;
  /// Bytes of pieces before the client stops and stays open.
  std::size_t total = 0;
  /// Bytes of one write.
  std::size_t write_bytes = 64U << 10U;
};

/// Plays a script without ever reading, and again after its connection closed.
class HostileClient {
 public:
  HostileClient(Endpoint node, const Script& script)
      : node_(std::move(node)), script_(script) {}
  ~HostileClient() { Close(); }
  HostileClient(const HostileClient&) = delete;
  HostileClient& operator=(const HostileClient&) = delete;

  /// Writes once if the connection takes it.
  /// @return whether anything was written
  bool Step() {
    if (fd_ < 0) {
      fd_ = Connect(node_);
      sent_ = 0;
    }
    if (fd_ < 0 || sent_ >= script_.head.size() + script_.total) {
      return false;
    }
    std::string_view bytes;
    if (sent_ < script_.head.size()) {
      bytes = std::string_view(script_.head).substr(sent_);
    } else {
      const std::size_t at = sent_ - script_.head.size();
      bytes = std::string_view(script_.piece)
                  .substr(at % script_.piece.size())
                  .substr(0, std::min(script_.write_bytes, script_.total - at));
    }
    const ssize_t written =
        send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (written > 0) {
      sent_ += static_cast<std::size_t>(written);
      return true;
    }
    if (errno != EAGAIN) {
      Close();
    }
    return false;
  }

 private:
  void Close() {
    if (fd_ >= 0) {
      close(fd_);
    }
    fd_ = -1;
  }

  Endpoint node_;
  const Script& script_;
  int fd_ = -1;
  std::size_t sent_ = 0;
};

/// Starts a node with stand-ins of an upstream and of the platform, and ends
/// them with the test. Measures the memory and descriptors of the node.
class NodeRun {
 public:
  NodeRun(const std::string& name, std::size_t memory_mb, std::size_t max_fds,
          std::size_t max_body_bytes)
      : memory_mb_(memory_mb), max_fds_(max_fds) {
    const char* bin_dir = std::getenv("MULBERRY_BIN_DIR");
    cr_assert_not_null(bin_dir, "MULBERRY_BIN_DIR names no build directory");
    bin_dir_ = bin_dir;
    work_dir_ = std::filesystem::temp_directory_path() /
                ("hostile-" + name + "-" + std::to_string(getpid()));
    std::filesystem::create_directories(work_dir_);
    platform_ = std::make_unique<ChildProcess>(
        bin_dir_ + "/test/fake_platform",
        std::vector<std::string>{"--listen=" + ToString(platform_address_),
                                 "--version=1"},
        Path("platform.log"));
    upstream_ = std::make_unique<ChildProcess>(
        bin_dir_ + "/test/fake_replica",
        std::vector<std::string>{json{
            {"id", "u0"},
            {"service", "desk"},
            {"failure_domain", "d1"},
            {"listen", ToString(upstream_address_)},
            {"advertised", ToString(upstream_address_)},
            {"platform", ToString(platform_address_)},
            {"software", "v1"},
            {"slots", 8},
            {"models", json::array()},
            {"fault_share", 0.0},
            {"requests_per_second", 0.0},
            {"leaving_after_ms", 0}}.dump()},
        Path("upstream.log"));
    WriteSettings();
    StartNode();
    PublishManifest(max_body_bytes);
    cr_assert(WaitReady(), "the node does not become ready");
  }
  ~NodeRun() {
    node_.reset();
    upstream_.reset();
    platform_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(work_dir_, ignored);
  }
  NodeRun(const NodeRun&) = delete;
  NodeRun& operator=(const NodeRun&) = delete;

  const Endpoint& front() const { return front_; }
  const Endpoint& platform() const { return platform_address_; }
  /// File with a line for each run of the upstream.
  const std::string& upstream_log() const { return upstream_->log_path(); }
  bool node_running() { return node_->Running(); }
  void Signal(int signal_number) { node_->Signal(signal_number); }

  /// Plays scripts by many clients, and measures the node meanwhile. The
  /// connections stay open.
  /// @param scripts client i plays script i modulo their number; must outlive
  ///     the run
  void Attack(const std::vector<Script>& scripts, std::size_t clients) {
    for (std::size_t i = 0; i < clients; ++i) {
      crowd_.push_back(
          std::make_unique<HostileClient>(front_, scripts[i % scripts.size()]));
    }
    const auto end = steady_clock::now() + kAttackTime;
    while (steady_clock::now() < end) {
      bool written = false;
      for (const auto& client : crowd_) {
        written = client->Step() || written;
      }
      MeasureAtIntervals();
      if (!written) {
        std::this_thread::sleep_for(milliseconds(1));
      }
    }
  }

  /// Closes the connections of the clients, so that their requests leave the
  /// slots of the upstream to an ordinary one.
  void CloseCrowd() { crowd_.clear(); }

  /// Sends an ordinary request, and again after a refusal.
  /// @return the last status; 0 if the connection was closed
  int OrdinaryRequest(std::size_t body_bytes, int max_attempts) {
    int status = 0;
    for (int i = 0; i < max_attempts && status != 200; ++i) {
      if (i > 0) {
        std::this_thread::sleep_for(kAttemptInterval);
      }
      status = Request(
          front_,
          "POST /reports/one HTTP/1.1\r\nHost: " + std::string(soak::kHost) +
              "\r\nRequest-Id: r" + std::to_string(i) +
              "\r\nDeadline-Ms: 20000\r\nCredential: " + soak::kKeyOfA,
          body_bytes);
    }
    return status;
  }

  /// Sends a batch once.
  /// @return the status; 0 if the connection was closed
  int Submit(const std::string& body, const std::string& id = "batch") const {
    return Request(
        front_,
        "POST /steps-a/train HTTP/1.1\r\nHost: " + std::string(soak::kHost) +
            "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 20000\r\n" +
            "Credential: " + soak::kKeyOfA,
        body.size(), body);
  }

  /// Ends a batch.
  /// @return the status; 0 if the connection was closed
  int End(const std::string& id) const {
    return Request(front_,
                   "DELETE /v1/lots/" + id + " HTTP/1.1\r\nHost: " +
                       std::string(soak::kHost) + "\r\nRequest-Id: end-" + id +
                       "\r\nDeadline-Ms: 20000\r\nCredential: " + soak::kKeyOfA,
                   0);
  }

  /// Kills the node and starts it again on a machine with this memory. The
  /// platform keeps its records, and the node is measured anew.
  void Restart(std::size_t memory_mb) {
    node_.reset();
    memory_mb_ = memory_mb;
    peak_resident_kb_ = high_water_kb_ = peak_kb_ = peak_fds_ = 0;
    WriteSettings();
    StartNode();
    cr_assert(WaitReady(), "the node does not become ready again");
  }

  /// Measures the node while nothing is sent.
  void Observe(milliseconds duration) {
    const auto end = steady_clock::now() + duration;
    while (steady_clock::now() < end) {
      MeasureAtIntervals();
      std::this_thread::sleep_for(kSampleInterval);
    }
  }

  /// Checks what every test requires.
  void Check() {
    const int status = OrdinaryRequest(8, kMaxAttempts);
    Measure();
    std::fprintf(stderr,
                 "peak %zu KB resident (high water %zu KB), %zu KB with unread "
                 "bytes, %zu descriptors; ordinary request: %d\n",
                 peak_resident_kb_, high_water_kb_, peak_kb_, peak_fds_,
                 status);
    cr_expect(node_->Running(), "the process ended");
    cr_expect_leq(std::max(high_water_kb_, peak_kb_), memory_mb_ * 1024,
                  "%zu KB resident at most, %zu KB with unread bytes; the "
                  "limit is %zu KB",
                  high_water_kb_, peak_kb_, memory_mb_ * 1024);
    cr_expect_leq(peak_fds_, max_fds_, "%zu open descriptors; the limit is %zu",
                  peak_fds_, max_fds_);
    cr_expect_eq(status, 200, "an ordinary request got %d", status);
  }

  void Measure() {
    std::size_t resident = 0;
    std::ifstream file(Proc("status"));
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with("VmRSS:")) {
        resident = std::strtoull(line.c_str() + 6, nullptr, 10);
      } else if (line.starts_with("VmHWM:")) {
        high_water_kb_ = std::max<std::size_t>(
            high_water_kb_, std::strtoull(line.c_str() + 6, nullptr, 10));
      }
    }
    std::error_code ignored;
    const std::filesystem::directory_iterator list(Proc("fd"), ignored);
    const auto fds =
        static_cast<std::size_t>(std::distance(begin(list), end(list)));
    peak_resident_kb_ = std::max(peak_resident_kb_, resident);
    peak_kb_ = std::max(peak_kb_, resident + UnreadBytes() / 1024);
    peak_fds_ = std::max(peak_fds_, fds);
  }

  /// Sends a request to any endpoint.
  /// @param head without the length of the body
  /// @return the status of the response; 0 if there is none
  static int Request(const Endpoint& endpoint, std::string head,
                     std::size_t body_bytes, const std::string& body = "") {
    head += "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
    const std::string filler(64U << 10U, 'b');
    const int fd = Connect(endpoint);
    const auto end = steady_clock::now() + kReplyLimit;
    std::size_t sent = 0;
    std::string reply;
    while (fd >= 0 && steady_clock::now() < end && reply.size() < 12) {
      const bool sending = sent < head.size() + body_bytes;
      pollfd ready{
          fd, static_cast<std::int16_t>(POLLIN | (sending ? POLLOUT : 0)), 0};
      poll(&ready, 1, 100);
      std::string_view bytes;
      if (sent < head.size()) {
        bytes = std::string_view(head).substr(sent);
      } else if (!body.empty()) {
        bytes = std::string_view(body).substr(sent - head.size());
      } else {
        bytes =
            std::string_view(filler).substr(0, head.size() + body_bytes - sent);
      }
      if (sending && (ready.revents & POLLOUT) != 0) {
        const ssize_t written =
            send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        sent += written > 0 ? static_cast<std::size_t>(written) : 0;
      }
      if ((ready.revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
        char buffer[512];
        const ssize_t got = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (got == 0 || (got < 0 && errno != EAGAIN)) {
          break;
        }
        reply.append(buffer, got > 0 ? static_cast<std::size_t>(got) : 0);
      }
    }
    if (fd >= 0) {
      close(fd);
    }
    return reply.size() < 12 ? 0 : std::atoi(reply.c_str() + 9);
  }

 private:
  std::string Path(const char* name) const { return work_dir_ / name; }
  std::string Proc(const char* name) const {
    return "/proc/" + std::to_string(node_->pid()) + "/" + name;
  }

  void StartNode() {
    node_ = std::make_unique<ChildProcess>(
        bin_dir_ + "/mulberry-node",
        std::vector<std::string>{"--settings", Path("node.toml")},
        Path("node.log"));
  }

  void MeasureAtIntervals() {
    if (steady_clock::now() >= next_sample_) {
      next_sample_ = steady_clock::now() + kSampleInterval;
      Measure();
    }
  }

  // Bytes in the receive queues of the node's connections from callers.
  std::size_t UnreadBytes() const {
    std::size_t total = 0;
    std::ifstream file("/proc/net/tcp");
    std::string line;
    std::getline(file, line);
    while (std::getline(file, line)) {
      unsigned port = 0;
      unsigned state = 0;
      std::size_t unread = 0;
      if (std::sscanf(line.c_str(), "%*d: %*x:%x %*x:%*x %x %*x:%zx", &port,
                      &state, &unread) == 3 &&
          port == front_.port && state != 0x0A) {
        total += unread;
      }
    }
    return total;
  }

  void WriteSettings() const {
    std::ofstream file(Path("node.toml"));
    file << "node = \"n0\"\nzone = \"d1\"\nip = \"127.0.0.1\"\nbootstrap = "
            "false\ninternalPorts = ["
         << fakes::FreePort() << ", 0]\nseedNodes = []\n[listen]\nfront = \""
         << ToString(front_) << "\"\nreadiness = \"" << ToString(readiness_)
         << "\"\ncontrol = \"" << ToString(control_)
         << "\"\n[limits]\ncpuShare = 1.0\ncores = 1\nmemoryMb = " << memory_mb_
         << "\nmaxFds = " << max_fds_
         << "\n[bounds]\ngraceS = 6\nleaseMs = 3000\nrevokeMs = 5000\n"
            "usageWindowS = 5\nstatusS = 120\n[platform]\naddr = \""
         << ToString(platform_address_)
         << "\"\nparts = 4\nrecordBytes = 262144\n[cloud]\naddr = \""
         << ToString(platform_address_) << "\"\n";
  }

  void PublishManifest(std::size_t max_body_bytes) const {
    json manifest = soak::MakeManifest(1, /*with_withdrawn_key=*/false);
    manifest["limits"]["maxBodyBytes"] = max_body_bytes;
    for (json& route : manifest["routes"]) {
      route["timeoutMs"] = kReplyLimit.count();
    }
    const std::string body = manifest.dump();
    const auto end = steady_clock::now() + kStartLimit;
    while (Request(platform_address_,
                   "POST /operator/put?key=config HTTP/1.1\r\nHost: p",
                   body.size(), body) != 200 &&
           steady_clock::now() < end) {
      std::this_thread::sleep_for(milliseconds(100));
    }
  }

  bool WaitReady() const {
    const auto end = steady_clock::now() + kStartLimit;
    while (steady_clock::now() < end) {
      if (Request(readiness_, "GET /v1/readyz HTTP/1.1\r\nHost: n", 0) == 200) {
        // The upstream's registration may be a moment later.
        std::this_thread::sleep_for(milliseconds(1'000));
        return true;
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
  }

  std::size_t memory_mb_;
  std::size_t max_fds_;
  std::string bin_dir_;
  std::filesystem::path work_dir_;
  Endpoint platform_address_{"127.0.0.1", fakes::FreePort()};
  Endpoint upstream_address_{"127.0.0.1", fakes::FreePort()};
  Endpoint front_{"127.0.0.1", fakes::FreePort()};
  Endpoint readiness_{"127.0.0.1", fakes::FreePort()};
  Endpoint control_{"127.0.0.1", fakes::FreePort()};
  std::unique_ptr<ChildProcess> platform_;
  std::unique_ptr<ChildProcess> upstream_;
  std::unique_ptr<ChildProcess> node_;
  std::vector<std::unique_ptr<HostileClient>> crowd_;
  steady_clock::time_point next_sample_{};
  std::size_t peak_resident_kb_ = 0;
  std::size_t high_water_kb_ = 0;
  std::size_t peak_kb_ = 0;
  std::size_t peak_fds_ = 0;
};

// Head of a request that a route, a key and the limits allow.
inline std::string LegalHead(const std::string& framing,
                             const std::string& method = "POST",
                             const std::string& path = "/reports/big") {
  return method + " " + path +
         " HTTP/1.1\r\nHost: " + std::string(soak::kHost) +
         "\r\nRequest-Id: h\r\nDeadline-Ms: 20000\r\nCredential: " +
         soak::kKeyOfA + "\r\n" + framing + "\r\n\r\n";
}

inline std::string LengthOf(std::size_t bytes) {
  return "Content-Length: " + std::to_string(bytes);
}

inline std::string Filler() { return std::string(64U << 10U, 'x'); }

/// Plays scripts against one node, then checks it.
/// @param name names the directory of the run
inline void RunAttack(const char* name, std::vector<Script> scripts,
                      std::size_t clients = kClients) {
  const TestLock lock;
  for (Script& script : scripts) {
    // Short pieces are repeated, so that one write carries many of them.
    const std::string piece = script.piece;
    while (!piece.empty() && script.piece.size() < script.write_bytes) {
      script.piece += piece;
    }
  }
  NodeRun run(name, kMemoryMb, kMaxFds, kMaxBodyBytes);
  run.Attack(scripts, clients);
  run.Check();
}

}  // namespace mulberryroad::process

#endif  // MULBERRYROAD_TEST_PROCESS_HOSTILE_CLIENTS_H_
