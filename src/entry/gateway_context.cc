#include "entry/gateway_context.h"

#include <array>
#include <charconv>
#include <string_view>

namespace mulberryroad::entry {

namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::chrono::milliseconds kIsolatedRetry = std::chrono::seconds{1};
constexpr int kHexadecimal = 16;

std::string ToHex(std::uint64_t number) {
  std::array<char, 2 * sizeof(number)> digits{};
  const auto [end, error] = std::to_chars(
      digits.data(), digits.data() + digits.size(), number, kHexadecimal);
  return {digits.data(), end};
}

RequestError Refuse(config::KeyRefusal refusal) {
  if (refusal == config::KeyRefusal::kIsolated) {
    return {kUnavailable, "this node cannot tell whether the key was withdrawn",
            Verdict::kNotRun, kIsolatedRetry};
  }
  return {kUnauthorised, "the key is not known", Verdict::kNotRun, {}};
}

}  // namespace

RequestId GatewayContext::NewRequestId() {
  return RequestId(options.node.value() + "-" + ToHex(random()) + "-" +
                   std::to_string(next_request++));
}

std::variant<Caller, RequestError> FindCaller(
    const config::Configuration& configuration, const http::Request& request) {
  const std::optional<std::string> header = request.header("authorization");
  if (!header.has_value() || !header->starts_with(kBearer)) {
    return RequestError{kUnauthorised,
                        "a key is needed: Authorization: Bearer KEY",
                        Verdict::kNotRun,
                        {}};
  }
  Caller caller;
  caller.secret = header->substr(kBearer.size());
  config::KeyRefusal refusal = config::KeyRefusal::kUnknown;
  const std::optional<OrganisationId> organisation =
      configuration.Authorise(caller.secret, &refusal);
  if (!organisation.has_value()) {
    return Refuse(refusal);
  }
  caller.organisation = *organisation;
  return caller;
}

std::optional<RequestError> CheckAgain(
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
  return Refuse(refusal);
}

void WriteRetry(GatewayContext& context, const RequestId& request_id,
                const Caller& caller, const TargetId& target, bool again,
                const std::string& reason, Verdict verdict) {
  v1::Decision line;
  line.set_kind(again ? "retry" : "give up");
  line.set_request_id(request_id.value());
  line.set_organisation(caller.organisation.value());
  line.set_target(target.value());
  line.set_reason(reason);
  line.set_verdict(std::string(ToString(verdict)));
  context.decisions.Write(std::move(line));
}

}  // namespace mulberryroad::entry
