// Blocking calls to the operators' interface of the nodes.

#ifndef MULBERRYROAD_SRC_CTL_ADMIN_CLIENT_H_
#define MULBERRYROAD_SRC_CTL_ADMIN_CLIENT_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "http/client.h"
#include "mulberryroad/endpoint.h"

namespace mulberryroad::ctl {

/// An answer of a node, or why there is none.
struct AdminAnswer {
  /// 0 if no node answered.
  int status = 0;
  std::string body;
  std::string reason;
  /// What is known of a request that no node answered.
  Verdict verdict = Verdict::kNotRun;
};

class AdminClient {
 public:
  /// @param nodes admin endpoints, tried in this order
  AdminClient(std::vector<Endpoint> nodes, std::chrono::milliseconds timeout);

  /// Asks the first node that can be reached. A request that may have run is
  /// not sent to the next node.
  AdminAnswer Ask(http::Method method, const std::string& path,
                  const std::string& body = "");

  /// Asks every node.
  std::vector<AdminAnswer> AskAll(const std::string& path);

 private:
  AdminAnswer AskOne(const Endpoint& node, http::Method method,
                     const std::string& path, const std::string& body);

  base::EventLoop loop_;
  http::Client client_;
  std::vector<Endpoint> nodes_;
  std::chrono::milliseconds timeout_;
};

}  // namespace mulberryroad::ctl

#endif  // MULBERRYROAD_SRC_CTL_ADMIN_CLIENT_H_
