// Starts the platform's stand-ins and several mulberryd for a test, and stops
// them.

#ifndef MULBERRYROAD_TEST_PROCESS_CLUSTER_H_
#define MULBERRYROAD_TEST_PROCESS_CLUSTER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "base/json.h"
#include "http/client.h"
#include "mulberryroad/api.pb.h"
#include "mulberryroad/endpoint.h"
#include "process/child_process.h"

namespace mulberryroad::process {

struct ClusterOptions {
  std::size_t nodes = 3;
  /// Given to the nodes in turn.
  std::vector<std::string> failure_domains = {"finistere", "morbihan",
                                              "cotes-darmor"};
  /// Further flags of every node.
  std::vector<std::string> node_flags;
  /// First control message of the ordering stand-in.
  std::string ordering_control =
      R"({"start_up_ms":50,"service_targets":["intake"],)"
      R"("fencing_class":"standard","engine":{"swap_ms":200}})";
  /// Node whose log can be cut off alone, by second_outage.
  std::optional<std::size_t> node_on_second_log;
};

struct Node {
  std::string id;
  std::string failure_domain;
  Endpoint caller;
  Endpoint admin;
  Endpoint peer;
  std::unique_ptr<ChildProcess> process;
};

class Cluster {
 public:
  /// With MULBERRY_KEEP_LOGS in the environment, logs and figures of the
  /// stand-ins stay in the temporary directory.
  explicit Cluster(ClusterOptions options = {});
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// Starts stand-ins and nodes and waits until each node answers. The reason
  /// of a failure is in reason().
  bool Start();
  /// Starts a node, or one that ended, under its old name and ports.
  void StartNode(std::size_t index);
  /// Adds a node with fresh ports; it is not started.
  std::size_t AddNode();
  /// Enters a node into the VM list, or takes it off.
  void List(const Node& node, bool listed);

  Node& node(std::size_t index) { return nodes_[index]; }
  std::size_t size() const { return nodes_.size(); }
  const Endpoint& log() const { return log_; }
  const Endpoint& vms() const { return vms_; }
  const Endpoint& ordering() const { return ordering_; }
  const Endpoint& usage() const { return usage_; }
  const Endpoint& weights() const { return weights_; }
  base::EventLoop& loop() { return loop_; }
  http::Client& client() { return client_; }
  const std::string& reason() const { return reason_; }

  /// Makes a call and waits for its end. Other calls on loop() go on meanwhile.
  http::Result Call(http::ClientRequest request);
  /// Returns the status and body of a call; status 0 if there is no answer.
  http::Response Get(const Endpoint& endpoint, const std::string& path);
  http::Response Post(const Endpoint& endpoint, const std::string& path,
                      const std::string& body,
                      const http::Headers& headers = {});
  /// Reads a JSON body; an empty message if there is none.
  template <typename Message>
  Message Fetch(const Endpoint& endpoint, const std::string& path) {
    Message message;
    const http::Response response = Get(endpoint, path);
    if (response.status == 200) {
      base::FromJson(response.body, &message, nullptr);
    }
    return message;
  }
  /// Switches faults of a stand-in.
  bool Control(const Endpoint& stand_in, const std::string& json);

  v1::NodeStatus Status(std::size_t index);
  /// Proposes a declaration at a node.
  v1::ApplyReply Apply(std::size_t index, const std::string& text,
                       std::uint64_t base);
  /// Applies a declaration on the node's own revision and waits until it is in
  /// force at all running nodes.
  bool ApplyEverywhere(const std::string& text);
  /// Waits until upstreams of a target can be reached through a node.
  bool WaitForUpstreams(const std::string& target, std::size_t count);
  /// Returns the node that holds a role as a node sees it, if it runs.
  std::optional<std::size_t> Holder(const std::string& role, std::size_t at);

  /// Waits for a condition while calls on loop() go on.
  bool WaitFor(std::chrono::milliseconds timeout,
               const std::function<bool()>& condition);
  /// Lets calls on loop() go on for some time.
  void Pump(std::chrono::milliseconds duration);

 private:
  ChildProcess& StartStandIn(const std::string& name, Endpoint* endpoint,
                             std::vector<std::string> flags);
  std::vector<std::string> FlagsOf(std::size_t index) const;

  ClusterOptions options_;
  std::string bin_dir_;
  std::string work_dir_;
  base::EventLoop loop_;
  http::Client client_;
  Endpoint log_;
  Endpoint second_log_;
  Endpoint vms_;
  Endpoint ordering_;
  Endpoint usage_;
  Endpoint weights_;
  std::vector<std::unique_ptr<ChildProcess>> stand_ins_;
  std::vector<Node> nodes_;
  std::string reason_;
};

/// Returns a free endpoint of the loopback address.
Endpoint FreeEndpoint();

/// Returns the text of a file.
std::string ReadFile(const std::string& path);

/// Returns the sample declaration of Armor with short usage windows.
std::string ArmorDeclaration();

/// Replaces every occurrence of a part of a text.
std::string Replace(std::string text, const std::string& from,
                    const std::string& to);

}  // namespace mulberryroad::process

#endif  // MULBERRYROAD_TEST_PROCESS_CLUSTER_H_
