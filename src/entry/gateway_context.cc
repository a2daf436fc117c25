#include "entry/gateway_context.h"

#include <array>
#include <charconv>
#include <string_view>

namespace mulberryroad::entry {

namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::chrono::milliseconds kIsolatedRetryAfter =
    std::chrono::seconds{1};
constexpr int kHexBase = 16;

std::string ToHex(std::uint64_t number) {
  std::array<char, 2 * sizeof(number)> digits{};
  const auto [end, error] = std::to_chars(
      digits.data(), digits.data() + digits.size(), number, kHexBase);
  return {digits.data(), end};
}

RequestError ToRequestError(config::KeyRefusal refusal) {
  if (refusal == config::KeyRefusal::kIsolated) {
    return {kUnavailable, "this node cannot tell whether the key was withdrawn",
            Verdict::kNotRun, kIsolatedRetryAfter};
  }
  return {kUnauthorised, "the key is not known", Verdict::kNotRun, {}};
}

}  // namespace

RequestId GatewayContext::NewRequestId() {
  return RequestId(options.node.value() + "-" + ToHex(random()) + "-" +
                   std::to_string(next_request_number++));
}

std::variant<Caller, RequestError> AuthenticateCaller(
    const config::Configuration& configuration, const http::Request& request) {
  const std::optional<std::string> header = request.header("authorization");
  if (!header.has_value() || !header->starts_with(kBearerPrefix)) {
    return RequestError{kUnauthorised,
                        "a key is needed: Authorization: Bearer KEY",
                        Verdict::kNotRun,
                        {}};
  }
  Caller caller;
  caller.secret = header->substr(kBearerPrefix.size());
  config::KeyRefusal refusal = config::KeyRefusal::kUnknown;
  const std::optional<OrganisationId> organisation =
      configuration.Authorise(caller.secret, &refusal);
  if (!organisation.has_value()) {
    return ToRequestError(refusal);
  }
  caller.organisation = *organisation;
  return caller;
}

std::optional<RequestError> ReauthoriseCaller(
    const config::Configuration& configuration, const Caller& caller) {
  if (caller.secret.empty()) {
    return std::nullopt;
  }
  config::KeyRefusal refusal = config::KeyRefusal::kUnknown;
  const std::optional<OrganisationId> organisation =
      configuration.Authorise(caller.secret, &refusal);
  if (organisation.has_value() && *organisation == caller.organisation) {
    return std::nullopt;
  }
  return ToRequestError(refusal);
}

void WriteRetryDecision(GatewayContext& context, const RequestId& request_id,
                        const Caller& caller, const TargetId& target,
                        bool will_retry, const std::string& reason,
                        Verdict verdict) {
  v1::Decision decision;
  decision.set_kind(will_retry ? "retry" : "give up");
  decision.set_request_id(request_id.value());
  decision.set_organisation(caller.organisation.value());
  decision.set_target(target.value());
  decision.set_reason(reason);
  decision.set_verdict(std::string(ToString(verdict)));
  context.decisions.Write(std::move(decision));
}

}  // namespace mulberryroad::entry
