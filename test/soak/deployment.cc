#include "soak/deployment.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <random>
#include <utility>

#include "fakes/free_port.h"

namespace mulberryroad::soak {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kWatchInterval{50};
constexpr milliseconds kCallTimeout{400};
constexpr milliseconds kRestartDelay{50};
constexpr int kOk = 200;
constexpr int kMissesOut = 2;
// Share of plain answers that are lost after the run.
constexpr double kFaultyAnswers = 0.02;
constexpr const char* kDomains[] = {"d1", "d2", "d3"};

// As the program of the stand-in reads them.
std::string ToJson(const fakes::ReplicaOptions& options) {
  return json{{"id", options.id},
              {"service", options.service},
              {"failure_domain", options.failure_domain},
              {"listen", ToString(options.listen)},
              {"advertised", ToString(options.advertised)},
              {"platform", ToString(options.platform)},
              {"software", options.software},
              {"slots", options.slots},
              {"models", options.models},
              {"fault_share", options.fault_share},
              {"requests_per_second", options.requests_per_second},
              {"leaving_after_ms", options.leaving_after.count()}}
      .dump();
}

}  // namespace

Deployment::Deployment(base::EventLoop& loop, http::Client& client,
                       DeploymentOptions options)
    : loop_(loop), client_(client), options_(std::move(options)) {}

Endpoint Deployment::NewEndpoint() { return {"127.0.0.1", fakes::FreePort()}; }

void Deployment::After(milliseconds delay, std::function<void()> step) {
  timers_.push_back(
      std::make_shared<base::Timer>(loop_.After(delay, std::move(step))));
}

bool Deployment::Start() {
  platform_address_ = NewEndpoint();
  platform_ = std::make_unique<process::ChildProcess>(
      options_.bin_dir + "/test/fake_platform",
      std::vector<std::string>{"--listen=" + ToString(platform_address_),
                               "--version=" + std::to_string(options_.seed)},
      options_.work_dir + "/platform.log");
  for (std::size_t i = 0; i < options_.engines + options_.services; ++i) {
    Upstream upstream;
    const bool engine = i < options_.engines;
    const Endpoint listen = NewEndpoint();
    const Endpoint advertised = NewEndpoint();
    upstream.options.id = "u" + std::to_string(i);
    upstream.options.service = engine ? "engines" : "desk";
    upstream.options.failure_domain = kDomains[i % 3];
    upstream.options.listen = listen;
    upstream.options.advertised = advertised;
    upstream.options.platform = platform_address_;
    if (i == 0) {
      upstream.options.leaving_after = options_.first_upstream_leaves_after;
    }
    if (engine) {
      upstream.options.models = {"m0", "m1"};
      if (i < options_.engine_software.size()) {
        upstream.options.software = options_.engine_software[i];
      }
    } else {
      upstream.options.fault_share = kFaultyAnswers;
      upstream.options.requests_per_second =
          options_.service_requests_per_second;
    }
    upstream.link = std::make_unique<Proxy>(loop_, advertised, listen);
    if (!upstream.link->Listen()) {
      return false;
    }
    upstreams_.push_back(std::move(upstream));
    StartUpstream(i, /*new_id=*/false);
  }
  std::vector<Endpoint> peers;
  nodes_.resize(options_.nodes);
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    NodeUnderTest& node = nodes_[i];
    node.name = "node-" + std::to_string(i);
    node.front = NewEndpoint();
    node.readiness = NewEndpoint();
    node.settings_path = options_.work_dir + "/" + node.name + ".toml";
    node.store_link =
        std::make_unique<Proxy>(loop_, NewEndpoint(), platform_address_);
    if (!node.store_link->Listen()) {
      return false;
    }
    peers.push_back(NewEndpoint());
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const NodeUnderTest& node = nodes_[i];
    json seeds = json::array();
    for (const Endpoint& peer : peers) {
      seeds.push_back(ToString(peer));
    }
    std::ofstream file(node.settings_path);
    file << "node = \"" << node.name << "\"\nzone = \"" << kDomains[i % 3]
         << "\"\nip = \"127.0.0.1\"\nbootstrap = false\ninternalPorts = ["
         << fakes::FreePort() << ", 0]\nseedNodes = " << seeds.dump()
         << "\n[listen]\nfront = \"" << ToString(node.front)
         << "\"\nreadiness = \"" << ToString(node.readiness)
         << "\"\ncontrol = \"" << ToString(peers[i])
         << "\"\n[limits]\ncpuShare = 1.0\ncores = 1\nmemoryMb = 512\nmaxFds = "
            "3075\n[bounds]\ngraceS = "
         << kGrace.count()
         << "\nleaseMs = 3000\nrevokeMs = 5000\nusageWindowS = 5\nstatusS = "
            "120\n[platform]\naddr = \""
         << ToString(node.store_link->endpoint())
         << "\"\nparts = 4\nrecordBytes = 262144\n[cloud]\naddr = \""
         << ToString(platform_address_) << "\"\n";
    file.close();
    StartNode(i);
  }
  watch_timer_ = loop_.Every(kWatchInterval, [this] { Watch(); });
  readiness_timer_ = loop_.Every(kReadinessInterval, [this] {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      AskReadiness(i);
    }
  });
  return true;
}

void Deployment::StartNode(std::size_t index) {
  NodeUnderTest& node = nodes_[index];
  node.expected_down = false;
  node.stopping = false;
  node.process = std::make_unique<process::ChildProcess>(
      options_.bin_dir + "/mulberry-node",
      std::vector<std::string>{"--settings", node.settings_path},
      options_.work_dir + "/" + node.name + ".log");
}

void Deployment::StartUpstream(std::size_t index, bool new_id) {
  Upstream& upstream = upstreams_[index];
  if (new_id) {
    upstream.options.id =
        "u" + std::to_string(index) + "-" + std::to_string(upstream.starts);
  }
  ++upstream.starts;
  upstream.expected_down = false;
  upstream.process = std::make_unique<process::ChildProcess>(
      options_.bin_dir + "/test/fake_replica",
      std::vector<std::string>{ToJson(upstream.options)},
      options_.work_dir + "/upstream-" + std::to_string(index) + ".log");
}

void Deployment::EndUpstream(std::size_t index) {
  upstreams_[index].expected_down = true;
  upstreams_[index].process->Kill();
}

void Deployment::ReplaceUpstream(std::size_t index,
                                 const std::string& software) {
  EndUpstream(index);
  upstreams_[index].options.software = software;
  After(kRestartDelay, [this, index] { StartUpstream(index, true); });
}

std::vector<std::string> Deployment::UpstreamLogs() const {
  std::vector<std::string> paths;
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    paths.push_back(options_.work_dir + "/upstream-" + std::to_string(i) +
                    ".log");
  }
  return paths;
}

void Deployment::Put(const std::string& key, const json& value) {
  http::ClientRequest request;
  request.endpoint = platform_address_;
  request.method = http::Method::kPost;
  request.path = "/operator/put?key=" + key;
  request.body = value.dump();
  client_.Send(std::move(request), [this, key](const http::Result& result) {
    const auto* response = std::get_if<http::Response>(&result);
    if (response == nullptr || response->status != kOk) {
      violations_.push_back("harness: the operator could not write " + key);
    }
  });
}

NodeUnderTest& Deployment::PickNode(std::mt19937_64& random) {
  std::vector<std::size_t> ready;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].ready) {
      ready.push_back(i);
    }
  }
  return ready.empty() ? nodes_[random() % nodes_.size()]
                       : nodes_[ready[random() % ready.size()]];
}

void Deployment::AskReadiness(std::size_t index) {
  http::ClientRequest request;
  request.endpoint = nodes_[index].readiness;
  request.path = "/v1/readyz";
  request.timeout = kCallTimeout;
  request.connect_timeout = kCallTimeout;
  client_.Send(std::move(request), [this, index](const http::Result& result) {
    NodeUnderTest& node = nodes_[index];
    const auto* response = std::get_if<http::Response>(&result);
    if (response != nullptr && response->status == kOk) {
      node.ready = true;
      node.readiness_misses = 0;
    } else if (++node.readiness_misses >= kMissesOut) {
      node.ready = false;
    }
  });
}

// A process that is down without a fault's doing ended by itself.
void Deployment::Watch() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    NodeUnderTest& node = nodes_[i];
    if (node.process == nullptr || node.process->Running()) {
      continue;
    }
    const int code = node.process->Wait(milliseconds(0)).value_or(-1);
    const bool clean_stop = node.stopping && code == 0;
    if (!node.expected_down && !clean_stop) {
      violations_.push_back(node.name + " ended by itself with code " +
                            std::to_string(code));
    }
    if (!node.expected_down) {
      node.disturbed = steady_clock::now();
      node.process.reset();
      After(kRestartDelay, [this, i] { StartNode(i); });
    }
  }
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    Upstream& upstream = upstreams_[i];
    if (!upstream.expected_down && upstream.process != nullptr &&
        !upstream.process->Running()) {
      StartUpstream(i, /*new_id=*/true);
    }
  }
}

void Deployment::KillNode(std::size_t index, milliseconds down) {
  NodeUnderTest& node = nodes_[index];
  if (node.process == nullptr || node.expected_down) {
    return;
  }
  node.expected_down = true;
  node.process->Kill();
  After(down, [this, index] {
    if (nodes_[index].expected_down) {
      StartNode(index);
    }
  });
}

// A node that does not stop by itself in its grace time is killed, which the
// platform would do as well.
void Deployment::StopNode(std::size_t index) {
  NodeUnderTest& node = nodes_[index];
  if (node.process == nullptr || node.expected_down || node.stopping) {
    return;
  }
  node.stopping = true;
  node.process->Signal(SIGTERM);
  const pid_t stopped = node.process->pid();
  After(kGrace, [this, index, stopped] {
    NodeUnderTest& late = nodes_[index];
    if (late.process != nullptr && late.process->pid() == stopped &&
        late.stopping && late.process->Running()) {
      const bool disturbed_meanwhile =
          steady_clock::now() < late.disturbed + kGrace;
      if (!disturbed_meanwhile) {
        violations_.push_back(late.name + " did not stop in its grace time");
      }
      late.stopping = false;
      KillNode(index, kRestartDelay);
    }
  });
}

void Deployment::SetLink(Proxy& link, LinkState state, milliseconds lasts) {
  link.Set(state);
  After(lasts, [&link] { link.Set(LinkState::kPass); });
}

void Deployment::Strike(const Fault& fault) {
  const auto until = steady_clock::now() + fault.lasts;
  if (fault.kind <= FaultKind::kReloadNode ||
      (fault.kind >= FaultKind::kStoreLinkSilent &&
       fault.kind <= FaultKind::kStoreLinkDelayed)) {
    NodeUnderTest& node = nodes_[fault.target];
    if (fault.kind != FaultKind::kReloadNode &&
        fault.kind != FaultKind::kStopNode) {
      node.disturbed = std::max(node.disturbed, until);
    }
    StrikeNode(fault, node);
    return;
  }
  disturbed_ = std::max(disturbed_, until);
  if (fault.kind == FaultKind::kKillAllNodes) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      nodes_[i].disturbed = until;
      KillNode(i, fault.lasts / 4);
    }
  } else if (fault.kind >= FaultKind::kStoreRefuses &&
             fault.kind <= FaultKind::kStoreRebalances) {
    StrikeStore(fault);
  } else {
    StrikeUpstream(fault, upstreams_[fault.target]);
  }
}

void Deployment::StrikeNode(const Fault& fault, NodeUnderTest& node) {
  switch (fault.kind) {
    case FaultKind::kKillNode:
      KillNode(fault.target, fault.lasts);
      break;
    case FaultKind::kPauseNode:
      if (node.process != nullptr && !node.expected_down) {
        node.process->Signal(SIGSTOP);
        After(fault.lasts, [this, index = fault.target] {
          if (nodes_[index].process != nullptr) {
            nodes_[index].process->Signal(SIGCONT);
          }
        });
      }
      break;
    case FaultKind::kStopNode:
      StopNode(fault.target);
      break;
    case FaultKind::kReloadNode:
      if (node.process != nullptr && !node.expected_down) {
        node.process->Signal(SIGHUP);
      }
      break;
    case FaultKind::kStoreLinkSilent:
      SetLink(*node.store_link, LinkState::kSilent, fault.lasts);
      break;
    case FaultKind::kStoreLinkReset:
      SetLink(*node.store_link, LinkState::kReset, fault.lasts);
      break;
    case FaultKind::kStoreLinkOneWay:
      SetLink(*node.store_link, LinkState::kOneWay, fault.lasts);
      break;
    default:
      SetLink(*node.store_link, LinkState::kDelay, fault.lasts);
      break;
  }
}

void Deployment::StrikeUpstream(const Fault& fault, Upstream& upstream) {
  switch (fault.kind) {
    case FaultKind::kKillUpstream:
      if (!upstream.expected_down) {
        upstream.expected_down = true;
        upstream.process->Kill();
        After(fault.lasts, [this, index = fault.target] {
          StartUpstream(index, /*new_id=*/index % 2 == 0);
        });
      }
      break;
    case FaultKind::kPauseUpstream:
      upstream.process->Signal(SIGSTOP);
      After(fault.lasts, [this, index = fault.target] {
        upstreams_[index].process->Signal(SIGCONT);
      });
      break;
    case FaultKind::kReplaceUpstream:
      upstream.process->Signal(SIGTERM);
      break;
    case FaultKind::kUpstreamLinkSilent:
      SetLink(*upstream.link, LinkState::kSilent, fault.lasts);
      break;
    case FaultKind::kUpstreamLinkReset:
      SetLink(*upstream.link, LinkState::kReset, fault.lasts);
      break;
    case FaultKind::kUpstreamLinkOneWay:
      SetLink(*upstream.link, LinkState::kOneWay, fault.lasts);
      break;
    default:
      SetLink(*upstream.link, LinkState::kDelay, fault.lasts);
      break;
  }
}

void Deployment::StrikeStore(const Fault& fault) {
  json change;
  switch (fault.kind) {
    case FaultKind::kStoreRefuses:
      change["refuse_ms"] = fault.lasts.count();
      break;
    case FaultKind::kStoreSilent:
      change["silent_ms"] = fault.lasts.count();
      break;
    case FaultKind::kStoreLosesAnswers:
      change["lose_ms"] = fault.lasts.count();
      break;
    case FaultKind::kStoreLate:
      change["late_ms"] = fault.lasts.count();
      break;
    case FaultKind::kStoreSlow:
      change["slow_ms"] = fault.lasts.count();
      break;
    case FaultKind::kStoreDropsHistory:
      change["drop_history"] = true;
      break;
    default:
      change["rebalance"] = true;
      break;
  }
  http::ClientRequest request;
  request.endpoint = platform_address_;
  request.method = http::Method::kPost;
  request.path = "/control";
  request.body = change.dump();
  client_.Send(std::move(request), [](const http::Result&) {});
}

void Deployment::Heal() {
  timers_.clear();
  http::ClientRequest request;
  request.endpoint = platform_address_;
  request.method = http::Method::kPost;
  request.path = "/control";
  request.body = R"({"heal":true})";
  client_.Send(std::move(request), [](const http::Result&) {});
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i].store_link->Set(LinkState::kPass);
    if (nodes_[i].process != nullptr) {
      nodes_[i].process->Signal(SIGCONT);
    }
    if (nodes_[i].expected_down || nodes_[i].process == nullptr) {
      StartNode(i);
    }
  }
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    upstreams_[i].link->Set(LinkState::kPass);
    if (upstreams_[i].expected_down) {
      StartUpstream(i, /*new_id=*/true);
    } else {
      upstreams_[i].process->Signal(SIGCONT);
    }
  }
}

void Deployment::Stop() {
  watch_timer_.Cancel();
  readiness_timer_.Cancel();
  timers_.clear();
  for (NodeUnderTest& node : nodes_) {
    node.process.reset();
  }
  for (Upstream& upstream : upstreams_) {
    upstream.process.reset();
  }
  platform_.reset();
}

}  // namespace mulberryroad::soak
