// What a case needs besides the store: processes of mulberry-node, replicas,
// the record of the run, and the manifest.

#ifndef MULBERRYROAD_REVIEW_WORLD_H_
#define MULBERRYROAD_REVIEW_WORLD_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdarg>
#include <cstdio>
#include <fstream>

#include "store.h"

namespace review {

/// Exit codes of a case.
enum Result { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

/// Lines with the time since the start, in the file that RECORD names.
class RunRecord {
 public:
  RunRecord() : file_(std::fopen(std::getenv("RECORD"), "w")) {}
  ~RunRecord() { std::fclose(file_); }
  RunRecord(const RunRecord&) = delete;
  RunRecord& operator=(const RunRecord&) = delete;

  void Write(const std::string& line) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f %s\n", seconds(), line.c_str());
    std::fflush(file_);
  }
  double seconds() const {
    return std::chrono::duration<double>(SteadyClock::now() - start_).count();
  }

 private:
  std::FILE* file_;
  SteadyClock::time_point start_ = SteadyClock::now();
  std::mutex mutex_;
};

/// Whether the case plays its disruption. Set once, before the case runs.
inline bool& Troubled() {
  static bool troubled = true;
  return troubled;
}

/// Runs a case whose only argument is "troubled" or "calm", as run.sh passes
/// it.
inline int RunCase(int argc, char** argv, int (*run)()) {
  const std::string mode = argc == 2 ? argv[1] : "";
  if (mode != "troubled" && mode != "calm") {
    std::fprintf(stderr, "usage: %s troubled|calm\n", argv[0]);
    return kCouldNotRun;
  }
  Troubled() = mode == "troubled";
  return run();
}

/// Polls until the condition holds.
inline bool WaitUntil(milliseconds limit,
                      const std::function<bool()>& condition) {
  const auto deadline = SteadyClock::now() + limit;
  while (!condition()) {
    if (SteadyClock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  return true;
}

inline int FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  socklen_t length = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  close(fd);
  return ntohs(address.sin_port);
}

/// A process of mulberry-node, started as the deploy file says. Its settings
/// and its log are in the folder that WORK names.
class Node {
 public:
  explicit Node(std::string name)
      : name_(std::move(name)),
        front_(FreePort()),
        readiness_(FreePort()),
        control_(FreePort()),
        metrics_(FreePort()) {}
  ~Node() {
    if (pid_ > 0) {
      kill(pid_, SIGCONT);
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
  }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  int front() const { return front_; }
  int control() const { return control_; }
  const std::string& name() const { return name_; }

  void Start(const Store& store, const std::vector<int>& seeds) {
    const std::string folder = std::getenv("WORK");
    const std::string settings = folder + "/" + name_ + ".toml";
    std::ofstream(settings) << Settings(store.port(), seeds);
    const std::string log = folder + "/" + name_ + ".log";
    pid_ = fork();
    if (pid_ == 0) {
      // The node ends with the case, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out =
          open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, S_IRUSR | S_IWUSR);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      setenv("MULBERRYROAD_SETTINGS", settings.c_str(), 1);
      execl("target/mulberry-node", "target/mulberry-node",
            static_cast<char*>(nullptr));
      _exit(127);
    }
  }
  void Signal(int signal) const { kill(pid_, signal); }
  /// Kills the process and waits for its end.
  void Kill() {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  /// Returns whether the process has ended by now.
  bool ended() {
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
      pid_ = 0;
    }
    return pid_ == 0;
  }
  bool ready() const {
    return Call(readiness_, "GET", "/v1/readyz", {{"Host", "node"}}, "",
                milliseconds(500))
               .status == 200;
  }

 private:
  std::string Settings(int store, const std::vector<int>& seeds) const {
    const auto at = [](int port) {
      return "\"127.0.0.1:" + std::to_string(port) + "\"";
    };
    std::string list;
    for (const int seed : seeds) {
      list += (list.empty() ? "" : ",") + at(seed);
    }
    return "node = \"" + name_ +
           "\"\nrole = \"node\"\nmachineClass = \"edge\"\n"
           "serves = [\"edge\",\"control\"]\nip = \"127.0.0.1\"\n"
           "zone = \"finistere\"\nregion = \"bretagne\"\n"
           "internalPorts = [" +
           std::to_string(metrics_) + "," + std::to_string(metrics_) +
           "]\nseedNodes = [" + list +
           "]\nbootstrap = true\ninTolerance = false\n"
           "discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n"
           "[zones]\nfinistere = \"bretagne\"\n[listen]\nfront = " +
           at(front_) + "\nreadiness = " + at(readiness_) +
           "\ncontrol = " + at(control_) +
           "\n[limits]\ncpuShare = 0.5\ncores = 1\nmemoryMb = 320\n"
           "maxFds = 8200\n[bounds]\ncontactMs = 3000\nackMs = 4000\n"
           "drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\n"
           "configApplyMs = 2000\nrevokeMs = 5000\nrequireFencing = true\n"
           "leaseMs = 3000\nusageWindowS = 5\nusageLateS = 10\n"
           "statusS = 120\ncancelMs = 3000\nsettleMs = 1000\n"
           "[platform]\naddr = " +
           at(store) +
           "\nform = \"log\"\nwritesPerS = 800\nreadsPerS = 2000\nparts = 4\n"
           "recordBytes = 262144\ncallBytes = 2097152\nretentionS = 300\n"
           "ttlMinMs = 1000\n[cloud]\naddr = " +
           at(store) + "\nratePerS = 50.0\ndutyPerS = 50.0\n";
  }

  std::string name_;
  int front_;
  int readiness_;
  int control_;
  int metrics_;
  pid_t pid_ = 0;
};

/// A replica: registers with the store and passes requests to a handler.
class Replica {
 public:
  struct Options {
    std::string id;
    std::string service;
    int slots = 12;
    /// Models by name, with their versions.
    std::map<std::string, std::uint64_t> models;
    /// So many of the refusals are sent a second time, late: where the next
    /// answer on their channel is due.
    int second_copies = 0;
    /// So many orders get no answer and are carried out `late_by` later; shared
    /// by the replicas of a service.
    std::shared_ptr<std::atomic<int>> late_orders = nullptr;
    milliseconds late_by{0};
  };
  /// Answers a request that this replica runs; returns false to close the
  /// connection.
  using Handler = std::function<bool(
      Replica&, const std::shared_ptr<Connection>&, const Message&)>;

  Replica(Store& store, RunRecord& record, Options options, Handler handler)
      : store_(store),
        record_(record),
        options_(std::move(options)),
        handler_(std::move(handler)),
        started_(std::chrono::duration_cast<milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count()) {
    Register();
    beat_ = std::thread([this] { Beat(); });
  }
  ~Replica() {
    stopped_ = true;
    beat_.join();
    server_.Stop();
  }
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  const std::string& id() const { return options_.id; }
  bool stopped() const { return stopped_; }
  std::uint64_t version(const std::string& model) {
    const std::lock_guard lock(mutex_);
    return options_.models[model];
  }
  std::string Seal(const Message& request) const {
    return options_.id + "." + request.header("Request-Id");
  }

 private:
  void Register() {
    nlohmann::json entry;
    {
      const std::lock_guard lock(mutex_);
      entry = {{"service", options_.service},
               {"addr", "127.0.0.1:" + std::to_string(server_.port())},
               {"zone", "finistere"},
               {"version", "v1"},
               {"slots", options_.slots},
               {"state", "ready"},
               {"coldLeftMs", 0},
               {"seq", ++beats_},
               {"born", started_}};
      if (!options_.models.empty()) {
        entry["stage"] = "both";
        entry["models"] = Models();
      }
    }
    store_.Put("keyed.servers", options_.id, entry.dump());
  }

  void Beat() {
    auto next = SteadyClock::now();
    while (!stopped_) {
      std::this_thread::sleep_for(milliseconds(20));
      bool loaded = false;
      {
        const std::lock_guard lock(mutex_);
        const bool due = loading_ && SteadyClock::now() >= loaded_at_ &&
                         (!hold_ || running_ == 0);
        if (due) {
          options_.models[load_model_] = load_version_;
          record_.Write(options_.id + " has loaded version " +
                        std::to_string(load_version_));
          loading_ = false;
          loaded = true;
        }
      }
      if (loaded || SteadyClock::now() >= next) {
        Register();
        next = SteadyClock::now() + milliseconds(1'200);
      }
    }
  }

  nlohmann::json Models() const {
    nlohmann::json models = nlohmann::json::array();
    for (const auto& [name, version] : options_.models) {
      models.push_back({{"name", name},
                        {"version", version},
                        {"adapters", nlohmann::json::array()}});
    }
    return models;
  }

  bool Serve(const std::shared_ptr<Connection>& connection,
             const Message& request) {
    const std::string id = request.header("Request-Id");
    // Like the example that "fleetbench wire" prints for a server that sheds.
    const HeaderList refusal = {{"Not-Executed", "1"}};
    if (request.path() == "/v1/report") {
      const std::lock_guard lock(mutex_);
      return connection->Write(
          FormatResponse(200, nlohmann::json{{"stage", "both"},
                                             {"models", Models()},
                                             {"busy", loading_},
                                             {"seq", orders_},
                                             {"numWaiting", 0},
                                             {"numRunning", running_}}
                                  .dump()));
    }
    const std::string instance = request.header("Expect-Instance");
    if (!instance.empty() && instance != options_.id) {
      record_.Write(options_.id + " answers 421 to " + id);
      return connection->Write(FormatResponse(421, "{}", refusal));
    }
    if (request.path() == "/v1/order") {
      return ServeOrder(connection, nlohmann::json::parse(request.body));
    }
    const std::string expected = request.header("Expect-Version");
    {
      std::unique_lock lock(mutex_);
      if (const auto copy = second_copies_.find(connection.get());
          copy != second_copies_.end()) {
        const std::string bytes = copy->second;
        second_copies_.erase(copy);
        record_.Write(options_.id +
                      " sends the second copy of its refusal where the answer "
                      "to " +
                      id + " is due");
        connection->Write(bytes);
      }
      int status = 0;
      if (!expected.empty() &&
          std::to_string(options_.models[request.header("Model")]) !=
              expected) {
        status = 421;
      } else if (id.empty()) {
        status = 400;
      } else if (loading_ || running_ >= options_.slots) {
        status = 503;
      }
      if (status != 0) {
        const std::string bytes = FormatResponse(status, "{}", refusal);
        if (options_.second_copies > 0) {
          --options_.second_copies;
          second_copies_[connection.get()] = bytes;
        }
        lock.unlock();
        record_.Write(options_.id + " refuses " + id + " with " +
                      std::to_string(status));
        return connection->Write(bytes);
      }
      ++running_;
    }
    const bool keep = handler_(*this, connection, request);
    const std::lock_guard lock(mutex_);
    --running_;
    return keep;
  }

  bool ServeOrder(const std::shared_ptr<Connection>& connection,
                  const nlohmann::json& order) {
    if (options_.late_orders == nullptr || (*options_.late_orders)-- <= 0) {
      return connection->Write(Order(order));
    }
    record_.Write(options_.id + " leaves an order for version " +
                  std::to_string(order.value("version", 0)) +
                  " unanswered, and carries it out " +
                  std::to_string(options_.late_by.count()) + " ms later");
    const auto due = SteadyClock::now() + options_.late_by;
    while (!stopped_ && SteadyClock::now() < due) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    Order(order);
    return false;
  }

  std::string Order(const nlohmann::json& order) {
    const std::lock_guard lock(mutex_);
    const std::string model = order.value("model", "");
    const auto version = order.value("version", std::uint64_t{0});
    const auto fence = order.value("fenceToken", std::uint64_t{0});
    if (fence < fence_) {
      return FormatResponse(412, "{}");
    }
    fence_ = fence;
    if (options_.models[model] == version) {
      return FormatResponse(200, "{}");
    }
    if (loading_ || order.value("expect", orders_) != orders_) {
      return FormatResponse(409, "{}");
    }
    ++orders_;
    loading_ = true;
    hold_ = order.value("mode", "") == "hold";
    loaded_at_ = SteadyClock::now() + milliseconds(900);
    load_model_ = model;
    load_version_ = version;
    record_.Write(options_.id + " is ordered to load version " +
                  std::to_string(version) + ", " + order.value("mode", ""));
    return FormatResponse(202, "{}");
  }

  Store& store_;
  RunRecord& record_;
  Options options_;
  Handler handler_;
  std::int64_t started_;
  std::mutex mutex_;
  std::map<const Connection*, std::string> second_copies_;
  std::uint64_t beats_ = 0;
  std::uint64_t orders_ = 0;
  std::uint64_t fence_ = 0;
  int running_ = 0;
  bool loading_ = false;
  bool hold_ = false;
  SteadyClock::time_point loaded_at_;
  std::string load_model_;
  std::uint64_t load_version_ = 0;
  std::atomic<bool> stopped_ = false;
  std::thread beat_;
  // Last, so that its threads end before the state that they use.
  Server server_{
      [this](const std::shared_ptr<Connection>& connection,
             const Message& request) { return Serve(connection, request); }};
};

/// Returns the data of an event of an item; the same at every replica.
inline std::string EventData(const std::string& item, std::uint64_t number) {
  return item + " event " + std::to_string(number);
}

/// Returns the text of an item with this many events.
inline std::string WholeText(const std::string& item, std::uint64_t events) {
  std::string text;
  for (std::uint64_t i = 1; i <= events; ++i) {
    text += (i == 1 ? "" : "\n") + EventData(item, i);
  }
  return text;
}

/// Streams the events of an item after its Last-Event-Id.
/// @param interval time to make one event
/// @return false if the channel broke
inline bool StreamItem(Replica& replica, RunRecord& record,
                       const std::shared_ptr<Connection>& connection,
                       const Message& request, std::uint64_t events,
                       milliseconds interval) {
  const std::string id = request.header("Request-Id");
  const std::string model = request.header("Model");
  std::uint64_t number =
      std::strtoull(request.header("Last-Event-Id").c_str(), nullptr, 10);
  std::uint64_t version = replica.version(model);
  record.Write(replica.id() + " runs " + id + " after event " +
               std::to_string(number) + " under version " +
               std::to_string(version));
  const auto write_chunk = [&connection](const std::string& bytes) {
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return connection->Write(size + bytes + "\r\n");
  };
  connection->Write("HTTP/1.1 200 -\r\n" +
                    FormatHeaders({{"Request-Id", id},
                                   {"Server-Seal", replica.Seal(request)},
                                   {"Weight-Versions", std::to_string(version)},
                                   {"Content-Type", "text/event-stream"},
                                   {"Transfer-Encoding", "chunked"}}));
  while (number < events) {
    std::this_thread::sleep_for(interval);
    ++number;
    std::string event;
    if (const std::uint64_t now = replica.version(model); now != version) {
      version = now;
      event = "weight-versions: " + std::to_string(version) + "\n";
    }
    event += "id: " + std::to_string(number) +
             "\ndata: " + EventData(id, number) + "\n\n";
    if (connection->closed() || replica.stopped() || !write_chunk(event)) {
      record.Write(replica.id() + " drops " + id + " at event " +
                   std::to_string(number));
      return false;
    }
  }
  record.Write(replica.id() + " has completed " + id);
  return connection->Write("0\r\n\r\n");
}

}  // namespace review

#endif  // MULBERRYROAD_REVIEW_WORLD_H_
