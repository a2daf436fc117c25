#include "ctl/admin_client.h"

#include <utility>
#include <variant>

namespace mulberryroad::ctl {

AdminClient::AdminClient(std::vector<Endpoint> nodes,
                         std::chrono::milliseconds timeout)
    : client_(loop_), nodes_(std::move(nodes)), timeout_(timeout) {}

AdminAnswer AdminClient::AskOne(const Endpoint& node, http::Method method,
                                const std::string& path,
                                const std::string& body) {
  http::ClientRequest request;
  request.endpoint = node;
  request.method = method;
  request.path = path;
  request.body = body;
  request.timeout = timeout_;
  AdminAnswer answer;
  client_.Send(std::move(request), [this, &answer, &node](http::Result result) {
    if (const auto* response = std::get_if<http::Response>(&result)) {
      answer.status = response->status;
      answer.body = response->body;
      answer.verdict = Verdict::kRan;
    } else {
      const auto& failure = std::get<http::Failure>(result);
      answer.reason = ToString(node) + ": " + failure.reason;
      answer.verdict = failure.verdict;
    }
    loop_.Stop();
  });
  loop_.Run();
  return answer;
}

AdminAnswer AdminClient::Ask(http::Method method, const std::string& path,
                             const std::string& body) {
  AdminAnswer answer;
  for (const Endpoint& node : nodes_) {
    AdminAnswer next = AskOne(node, method, path, body);
    if (!answer.reason.empty()) {
      next.reason = answer.reason + "; " + next.reason;
    }
    answer = std::move(next);
    if (answer.status != 0 || answer.verdict != Verdict::kNotRun) {
      break;
    }
  }
  return answer;
}

std::vector<AdminAnswer> AdminClient::AskAll(const std::string& path) {
  std::vector<AdminAnswer> answers;
  for (const Endpoint& node : nodes_) {
    answers.push_back(AskOne(node, http::Method::kGet, path, ""));
  }
  return answers;
}

}  // namespace mulberryroad::ctl
