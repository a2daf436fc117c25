#include "entry/gateway.h"

#include <array>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>

#include "base/json.h"
#include "entry/completion_session.h"
#include "entry/gateway_context.h"
#include "entry/route_table.h"
#include "entry/service_session.h"

namespace mulberryroad::entry {

namespace {

constexpr std::chrono::milliseconds kNoConfigurationRetryAfter =
    std::chrono::seconds{1};
constexpr double kMaxRetryBalance = 10;
// Path prefixes with built-in routes; unsupported methods get status 405 there.
constexpr std::array<std::string_view, 2> kBuiltInPathPrefixes = {
    kCompletionsPath, "/v1/batches"};

using SharedContext = std::shared_ptr<GatewayContext>;
using SharedExchange = std::shared_ptr<http::Exchange>;

RequestError BadRequest(std::string reason) {
  return {kBadRequest, std::move(reason), Verdict::kNotRun, {}};
}

bool IsBuiltInPath(const std::string& path) {
  for (const std::string_view built_in : kBuiltInPathPrefixes) {
    if (path.starts_with(built_in)) {
      return true;
    }
  }
  return false;
}

/// Parses and validates the body of a completion request.
std::variant<v1::CompletionRequest, RequestError> ParseCompletion(
    const GatewayContext& context, const http::Request& request) {
  v1::CompletionRequest completion;
  std::string reason;
  if (!base::FromJson(request.body, &completion, &reason)) {
    return BadRequest("malformed body: " + reason);
  }
  if (completion.prompt().empty()) {
    return BadRequest("prompt is missing");
  }
  if (!completion.resume_text().empty() || completion.resume_tokens() > 0) {
    return BadRequest("resume_text and resume_tokens are not for callers");
  }
  if (completion.max_tokens() > context.options.largest_max_tokens) {
    return BadRequest("max_tokens is over " +
                      std::to_string(context.options.largest_max_tokens));
  }
  if (completion.max_tokens() == 0) {
    completion.set_max_tokens(context.options.default_max_tokens);
  }
  return completion;
}

std::optional<RequestError> CheckModel(const v1::Declaration& declaration,
                                       const v1::CompletionRequest& request) {
  if (request.model().empty()) {
    return BadRequest("model is missing");
  }
  if (!HasModel(declaration, request.model())) {
    return RequestError{kNotFound,
                        "no model \"" + request.model() + "\" is declared",
                        Verdict::kNotRun,
                        {}};
  }
  return std::nullopt;
}

void ServeCompletion(const SharedContext& context,
                     const SharedExchange& exchange,
                     const RequestId& request_id, const Caller& caller,
                     const ResolvedRoute& route) {
  auto parsed = ParseCompletion(*context, exchange->request());
  if (const auto* error = std::get_if<RequestError>(&parsed)) {
    ReplyError(*exchange, *error, request_id);
    return;
  }
  auto& completion = std::get<v1::CompletionRequest>(parsed);
  const std::string& routed_model = route.target.value();
  if (!routed_model.empty() && !completion.model().empty() &&
      completion.model() != routed_model) {
    ReplyError(*exchange, BadRequest("this path serves model " + routed_model),
               request_id);
    return;
  }
  if (!routed_model.empty()) {
    completion.set_model(routed_model);
  }
  if (const auto error =
          CheckModel(*context->configuration.declaration(), completion)) {
    ReplyError(*exchange, *error, request_id);
    return;
  }
  std::make_shared<CompletionSession>(context, exchange, request_id, caller,
                                      std::move(completion), route.idempotent)
      ->Start();
}

/// Authenticates the caller and starts a session for the request.
void ServeRoute(const SharedContext& context, const SharedExchange& exchange,
                const RequestId& request_id, const ResolvedRoute& route) {
  context->budget.AddRequest();
  Caller caller;
  if (!route.open) {
    auto found =
        AuthenticateCaller(context->configuration, exchange->request());
    if (const auto* error = std::get_if<RequestError>(&found)) {
      ReplyError(*exchange, *error, request_id);
      return;
    }
    caller = std::get<Caller>(std::move(found));
  }
  if (route.kind == TargetKind::kModel) {
    ServeCompletion(context, exchange, request_id, caller, route);
    return;
  }
  std::make_shared<ServiceSession>(context, exchange, request_id,
                                   std::move(caller), route)
      ->Start();
}

/// Returns the route of a request, or the error to reply with.
std::variant<ResolvedRoute, RequestError> FindRoute(
    const GatewayContext& context, const http::Request& request) {
  const v1::Declaration* declaration = context.configuration.declaration();
  if (declaration == nullptr) {
    return RequestError{kUnavailable, "no configuration is in force yet",
                        Verdict::kNotRun, kNoConfigurationRetryAfter};
  }
  std::optional<ResolvedRoute> route = ResolveRoute(*declaration, request.path);
  if (!route.has_value() && request.path == kCompletionsPath) {
    // A generation has no side effects, so it is idempotent.
    route = ResolvedRoute{TargetKind::kModel, TargetId(), false, true};
  }
  if (!route.has_value() && !IsBuiltInPath(request.path)) {
    return RequestError{
        kNotFound, "no route leads to " + request.path, Verdict::kNotRun, {}};
  }
  const bool is_service =
      route.has_value() && route->kind == TargetKind::kService;
  if (!is_service &&
      (!route.has_value() || request.method != http::Method::kPost)) {
    return RequestError{kMethodNotAllowed,
                        "this method is not served at " + request.path,
                        Verdict::kNotRun,
                        {}};
  }
  return *route;
}

void Serve(const SharedContext& context, const SharedExchange& exchange) {
  const RequestId request_id = context->NewRequestId();
  auto found = FindRoute(*context, exchange->request());
  if (const auto* error = std::get_if<RequestError>(&found)) {
    ReplyError(*exchange, *error, request_id);
    return;
  }
  ServeRoute(context, exchange, request_id, std::get<ResolvedRoute>(found));
}

}  // namespace

Gateway::Gateway(base::EventLoop& loop, const Clock& clock,
                 http::Server& server, http::Client& client,
                 config::Configuration& configuration, dispatch::Broker& broker,
                 dispatch::Generator& generator, ledger::LedgerClient& ledger,
                 billing::Meter& meter, base::DecisionLog& decisions,
                 GatewayOptions options)
    : context_(std::make_shared<GatewayContext>(
          GatewayContext{loop, clock, client, configuration, broker, generator,
                         ledger, meter, decisions, options,
                         RetryBudget(options.retry_share, kMaxRetryBalance),
                         std::mt19937_64(options.seed)})) {
  const auto serve = [context = context_](const SharedExchange& exchange) {
    Serve(context, exchange);
  };
  server.Route(http::Method::kPost, kCompletionsPath, serve);
  server.SetFallbackHandler(serve);
  server.SetOversizeHandler(
      [context = context_](const SharedExchange& exchange) {
        ReplyError(
            *exchange,
            {kPayloadTooLarge, "the body is too large", Verdict::kNotRun, {}},
            context->NewRequestId());
      });
}

Gateway::~Gateway() = default;

std::size_t Gateway::open_requests() const { return context_->open_requests; }

}  // namespace mulberryroad::entry
