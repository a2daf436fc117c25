// Error answers: status, verdict and when to come back.

#ifndef MULBERRYROAD_SRC_ENTRY_API_ERROR_H_
#define MULBERRYROAD_SRC_ENTRY_API_ERROR_H_

#include <chrono>
#include <string>

#include "http/server.h"
#include "mulberryroad/api.pb.h"
#include "mulberryroad/ids.h"
#include "mulberryroad/verdict.h"

namespace mulberryroad::entry {

inline constexpr int kOk = 200;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorised = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kMethodNotAllowed = 405;
inline constexpr int kConflict = 409;
inline constexpr int kPayloadTooLarge = 413;
inline constexpr int kUnprocessable = 422;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

/// Why a request got no answer of its own.
struct RequestError {
  int status = kBadRequest;
  std::string reason;
  Verdict verdict = Verdict::kNotRun;
  /// Zero if coming back does not help.
  std::chrono::milliseconds retry_after{0};
};

/// Returns the message that stands in the answer's body.
v1::ApiError ToMessage(const RequestError& error, const RequestId& request_id);

/// Answers with an error, and with Retry-After in whole seconds, rounded up.
void ReplyError(http::Exchange& exchange, const RequestError& error,
                const RequestId& request_id);

}  // namespace mulberryroad::entry

#endif  // MULBERRYROAD_SRC_ENTRY_API_ERROR_H_
