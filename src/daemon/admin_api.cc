#include "daemon/admin_api.h"

#include <charconv>
#include <optional>
#include <utility>

#include "base/json.h"

namespace mulberryroad::daemon {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr const char* kExplainPath = "/admin/v1/explain/";
constexpr const char* kRetrySeconds = "1";

void ReplyError(const std::shared_ptr<http::Exchange>& exchange, int status,
                const std::string& error) {
  v1::ApiError body;
  body.set_error(error);
  body.set_verdict(std::string(ToString(Verdict::kNotRun)));
  exchange->Reply(status, base::ToJson(body));
}

std::optional<std::uint64_t> ParseRevision(const std::string& text) {
  std::uint64_t revision = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, revision);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return revision;
}

}  // namespace

AdminApi::AdminApi(http::Server& server, config::Configuration& configuration,
                   const membership::Members& members,
                   const lease::Leases& leases, const log::Journal& journal,
                   const base::DecisionLog& decisions,
                   const base::Metrics& metrics, AdminSources sources)
    : configuration_(configuration),
      members_(members),
      leases_(leases),
      journal_(journal),
      decisions_(decisions),
      metrics_(metrics),
      sources_(std::move(sources)) {
  using http::Method;
  server.Route(Method::kPut, "/admin/v1/declaration",
               [this](const auto& exchange) { PutDeclaration(exchange); });
  server.Route(Method::kGet, "/admin/v1/declaration",
               [this](const auto& exchange) { GetDeclaration(exchange); });
  server.Route(Method::kGet, "/admin/v1/status",
               [this](const auto& exchange) { GetStatus(exchange); });
  server.Route(Method::kGet, "/admin/v1/usage",
               [this](const auto& exchange) { GetUsage(exchange); });
  server.Route(Method::kGet, kExplainPath,
               [this](const auto& exchange) { GetExplanation(exchange); });
  server.Route(Method::kGet, "/metrics", [this](const auto& exchange) {
    exchange->Reply(kOk, metrics_.ToPrometheus(),
                    {{"Content-Type", "text/plain; version=0.0.4"}});
  });
  ServeHealth(server);
}

void AdminApi::ServeHealth(http::Server& server) {
  server.Route(http::Method::kGet, "/healthz",
               [this](const auto& exchange) { GetHealth(exchange); });
}

void AdminApi::PutDeclaration(const ExchangePointer& exchange) {
  const http::Request& request = exchange->request();
  const auto base = ParseRevision(request.parameter("base").value_or(""));
  const std::string operator_name = request.parameter("operator").value_or("");
  if (!base.has_value() || operator_name.empty()) {
    ReplyError(exchange, kBadRequest,
               "give ?base=REVISION&operator=NAME; the base is 0 for the first "
               "declaration");
    return;
  }
  configuration_.Apply(request.body, *base, operator_name,
                       [exchange](const v1::ApplyReply& reply) {
                         exchange->Reply(reply.accepted() ? kOk : kConflict,
                                         base::ToJson(reply));
                       });
}

void AdminApi::GetDeclaration(const ExchangePointer& exchange) const {
  v1::ConfigRevision revision;
  revision.set_revision(configuration_.revision());
  if (const v1::Declaration* declaration = configuration_.declaration()) {
    *revision.mutable_declaration() = *declaration;
  }
  exchange->Reply(kOk, base::ToJson(revision));
}

v1::NodeStatus AdminApi::Status() const {
  v1::NodeStatus status;
  status.set_node_id(members_.self().node_id());
  status.set_failure_domain(members_.self().failure_domain());
  status.set_config_revision(configuration_.revision());
  status.set_leaving(sources_.leaving());
  status.set_open_requests(sources_.open_requests());
  status.set_log_silence_ms(
      static_cast<std::uint64_t>(journal_.silence().count()));
  for (v1::Member& member : members_.all()) {
    *status.add_members() = std::move(member);
  }
  for (v1::PoolStatus& pool : sources_.pools()) {
    *status.add_pools() = std::move(pool);
  }
  for (const v1::LeaseState& state : leases_.states()) {
    v1::RoleStatus* role = status.add_roles();
    role->set_role(state.role());
    role->set_holder(state.released() ? "" : state.holder());
    role->set_epoch(state.epoch());
  }
  return status;
}

void AdminApi::GetStatus(const ExchangePointer& exchange) const {
  exchange->Reply(kOk, base::ToJson(Status()));
}

void AdminApi::GetUsage(const ExchangePointer& exchange) const {
  v1::UsageAppend usage;
  for (v1::UsageCounter& counter : sources_.usage()) {
    *usage.add_counters() = std::move(counter);
  }
  exchange->Reply(kOk, base::ToJson(usage));
}

void AdminApi::GetExplanation(const ExchangePointer& exchange) const {
  const std::string id =
      exchange->request().path.substr(std::string(kExplainPath).size());
  v1::Explanation explanation;
  for (v1::Decision& decision : decisions_.Explain(id)) {
    *explanation.add_decisions() = std::move(decision);
  }
  if (explanation.decisions().empty()) {
    ReplyError(exchange, kNotFound,
               "this node keeps no decision about \"" + id + "\"");
    return;
  }
  exchange->Reply(kOk, base::ToJson(explanation));
}

void AdminApi::GetHealth(const ExchangePointer& exchange) const {
  std::string cause;
  if (sources_.leaving()) {
    cause = "the node is leaving";
  } else if (configuration_.declaration() == nullptr) {
    cause = "no declaration is in force";
  }
  if (cause.empty()) {
    exchange->Reply(kOk, R"({"status":"ok"})");
    return;
  }
  v1::ApiError body;
  body.set_error(cause);
  body.set_verdict(std::string(ToString(Verdict::kNotRun)));
  exchange->Reply(kUnavailable, base::ToJson(body),
                  {{"Retry-After", kRetrySeconds}});
}

}  // namespace mulberryroad::daemon
