#include "process/cluster.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "fakes/free_port.h"
#include "mulberryroad/platform.pb.h"

namespace mulberryroad::process {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPoll{10};
constexpr milliseconds kStartTimeout{20'000};
constexpr milliseconds kInForceTimeout{10'000};
constexpr milliseconds kCallTimeout{15'000};

std::string BinDir() {
  const char* value = std::getenv("MULBERRY_BIN_DIR");
  return value == nullptr ? "." : value;
}

}  // namespace

Endpoint FreeEndpoint() { return {"127.0.0.1", fakes::FreePort()}; }

std::string ReadFile(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

std::string ArmorDeclaration() {
  const std::string text =
      ReadFile(std::string(SAMPLES_DIR) + "/armor.textproto");
  return Replace(text, "window_seconds: 3600 grace_seconds: 60",
                 "window_seconds: 10 grace_seconds: 1");
}

Cluster::Cluster(ClusterOptions options)
    : options_(std::move(options)), bin_dir_(BinDir()), client_(loop_) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "mulberry-XXXXXX").string();
  work_dir_ = mkdtemp(pattern.data());
  for (std::size_t i = 0; i < options_.nodes; ++i) {
    AddNode();
  }
}

Cluster::~Cluster() {
  if (std::getenv("MULBERRY_KEEP_LOGS") != nullptr) {
    std::ofstream(work_dir_ + "/ordering.json")
        << Get(ordering_, "/stats").body;
    std::ofstream(work_dir_ + "/usage.json") << Get(usage_, "/stats").body;
    std::ofstream(work_dir_ + "/log.json") << Get(log_, "/stats").body;
  }
  nodes_.clear();
  stand_ins_.clear();
  if (std::getenv("MULBERRY_KEEP_LOGS") != nullptr) {
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(work_dir_, ignored);
}

std::size_t Cluster::AddNode() {
  const std::size_t index = nodes_.size();
  Node node;
  node.id = "node-" + std::to_string(index);
  node.failure_domain =
      options_.failure_domains[index % options_.failure_domains.size()];
  node.caller = FreeEndpoint();
  node.admin = FreeEndpoint();
  node.peer = FreeEndpoint();
  nodes_.push_back(std::move(node));
  return index;
}

ChildProcess& Cluster::StartStandIn(const std::string& name, Endpoint* endpoint,
                                    std::vector<std::string> flags) {
  *endpoint = FreeEndpoint();
  flags.push_back("--listen=" + ToString(*endpoint));
  stand_ins_.push_back(std::make_unique<ChildProcess>(
      bin_dir_ + "/test/" + name, flags, work_dir_ + "/" + name + ".log"));
  return *stand_ins_.back();
}

bool Cluster::Start() {
  second_log_ = FreeEndpoint();
  StartStandIn("fake_log", &log_, {"--second-listen=" + ToString(second_log_)});
  StartStandIn("fake_vms", &vms_, {});
  StartStandIn(
      "fake_ordering", &ordering_,
      {"--vms=" + ToString(vms_), "--control=" + options_.ordering_control});
  StartStandIn("fake_usage", &usage_, {});
  StartStandIn("fake_weights", &weights_, {});
  for (const Endpoint* stand_in :
       {&log_, &vms_, &ordering_, &usage_, &weights_}) {
    if (!WaitFor(kStartTimeout,
                 [&] { return Get(*stand_in, "/healthz").status == 200; })) {
      reason_ = "a stand-in does not answer at " + ToString(*stand_in);
      return false;
    }
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    List(nodes_[i], true);
    StartNode(i);
  }
  for (Node& node : nodes_) {
    if (!WaitFor(kStartTimeout,
                 [&] {
                   return Get(node.admin, "/admin/v1/status").status == 200 ||
                          !node.process->Running();
                 }) ||
        !node.process->Running()) {
      reason_ = node.id + " does not answer: " + node.process->Log();
      return false;
    }
  }
  return true;
}

std::vector<std::string> Cluster::FlagsOf(std::size_t index) const {
  const Node& node = nodes_[index];
  const bool second = options_.node_on_second_log == index;
  std::vector<std::string> flags = {
      "--node-id=" + node.id,
      "--failure-domain=" + node.failure_domain,
      "--listen-port=" + std::to_string(node.caller.port),
      "--admin-port=" + std::to_string(node.admin.port),
      "--peer-port=" + std::to_string(node.peer.port),
      "--log-service=" + ToString(second ? second_log_ : log_),
      "--vm-list=" + ToString(vms_),
      "--ordering-service=" + ToString(ordering_),
      "--usage-service=" + ToString(usage_),
      "--weight-store=" + ToString(weights_),
      "--upstream-credential=credential-of-the-service",
      "--seed=" + std::to_string(index + 1)};
  flags.insert(flags.end(), options_.node_flags.begin(),
               options_.node_flags.end());
  return flags;
}

void Cluster::StartNode(std::size_t index) {
  nodes_[index].process = std::make_unique<ChildProcess>(
      bin_dir_ + "/mulberryd", FlagsOf(index),
      work_dir_ + "/" + nodes_[index].id + ".log");
}

void Cluster::List(const Node& node, bool listed) {
  v1::VmList changes;
  v1::Vm* vm = changes.add_vms();
  vm->set_name(node.id);
  vm->set_state(listed ? v1::VM_LIVE : v1::VM_STATE_UNSPECIFIED);
  vm->set_endpoint(ToString(node.peer));
  vm->set_failure_domain(node.failure_domain);
  Post(vms_, "/vms", base::ToJson(changes));
}

http::Result Cluster::Call(http::ClientRequest request) {
  std::optional<http::Result> result;
  client_.Send(std::move(request), [&](http::Result answer) {
    result = std::move(answer);
    loop_.Stop();
  });
  while (!result.has_value()) {
    loop_.Run();
  }
  return *std::move(result);
}

http::Response Cluster::Get(const Endpoint& endpoint, const std::string& path) {
  http::ClientRequest request;
  request.endpoint = endpoint;
  request.path = path;
  request.timeout = kCallTimeout;
  const http::Result result = Call(std::move(request));
  const auto* response = std::get_if<http::Response>(&result);
  return response == nullptr ? http::Response() : *response;
}

http::Response Cluster::Post(const Endpoint& endpoint, const std::string& path,
                             const std::string& body,
                             const http::Headers& headers) {
  http::ClientRequest request;
  request.endpoint = endpoint;
  request.method = http::Method::kPost;
  request.path = path;
  request.headers = headers;
  request.body = body;
  request.timeout = kCallTimeout;
  const http::Result result = Call(std::move(request));
  const auto* response = std::get_if<http::Response>(&result);
  return response == nullptr ? http::Response() : *response;
}

bool Cluster::Control(const Endpoint& stand_in, const std::string& json) {
  return Post(stand_in, "/control", json).status == 200;
}

v1::NodeStatus Cluster::Status(std::size_t index) {
  return Fetch<v1::NodeStatus>(nodes_[index].admin, "/admin/v1/status");
}

v1::ApplyReply Cluster::Apply(std::size_t index, const std::string& text,
                              std::uint64_t base) {
  http::ClientRequest request;
  request.endpoint = nodes_[index].admin;
  request.method = http::Method::kPut;
  request.path =
      "/admin/v1/declaration?operator=test&base=" + std::to_string(base);
  request.body = text;
  request.timeout = kCallTimeout;
  const http::Result result = Call(std::move(request));
  v1::ApplyReply reply;
  if (const auto* response = std::get_if<http::Response>(&result)) {
    base::FromJson(response->body, &reply, nullptr);
    if (reply.reason().empty()) {
      reply.set_reason(response->body);
    }
  } else {
    reply.set_reason(std::get<http::Failure>(result).reason);
  }
  return reply;
}

bool Cluster::ApplyEverywhere(const std::string& text) {
  std::size_t first = 0;
  while (first < nodes_.size() && (nodes_[first].process == nullptr ||
                                   !nodes_[first].process->Running())) {
    ++first;
  }
  const v1::ApplyReply reply =
      Apply(first, text, Status(first).config_revision());
  if (!reply.accepted()) {
    reason_ = "not accepted: " + reply.reason();
    return false;
  }
  return WaitFor(kInForceTimeout, [&] {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const bool runs =
          nodes_[i].process != nullptr && nodes_[i].process->Running();
      if (runs && Status(i).config_revision() < reply.revision()) {
        reason_ = nodes_[i].id + " is behind revision " +
                  std::to_string(reply.revision());
        return false;
      }
    }
    return true;
  });
}

bool Cluster::WaitForUpstreams(const std::string& target, std::size_t count) {
  return WaitFor(kStartTimeout, [&] {
    std::size_t found = 0;
    const auto list = Fetch<v1::VmList>(vms_, "/vms?target=" + target);
    for (const v1::Vm& vm : list.vms()) {
      found += vm.endpoint().empty() ? 0 : 1;
    }
    return found >= count;
  });
}

std::optional<std::size_t> Cluster::Holder(const std::string& role,
                                           std::size_t at) {
  const v1::NodeStatus status = Status(at);
  for (const v1::RoleStatus& known : status.roles()) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (known.role() == role && known.holder() == nodes_[i].id) {
        return i;
      }
    }
  }
  return std::nullopt;
}

bool Cluster::WaitFor(milliseconds timeout,
                      const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    Pump(kPoll);
  }
  return true;
}

void Cluster::Pump(milliseconds duration) {
  const base::Timer timer = loop_.After(duration, [this] { loop_.Stop(); });
  loop_.Run();
}

}  // namespace mulberryroad::process
