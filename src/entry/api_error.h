// Error responses with status, verdict and retry delay.

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

/// The error response for a request that failed or was refused.
struct RequestError {
  int status = kBadRequest;
  std::string reason;
  Verdict verdict = Verdict::kNotRun;
  /// Suggested delay before a retry; zero if a retry would not help.
  std::chrono::milliseconds retry_after{0};
};

/// Converts an error to the message in the response body.
v1::ApiError ToMessage(const RequestError& error, const RequestId& request_id);

/// Sends an error response. A nonzero retry_after is sent in a Retry-After
/// header, in seconds, rounded up.
void ReplyError(http::Exchange& exchange, const RequestError& error,
                const RequestId& request_id);

}  // namespace mulberryroad::entry

#endif  // MULBERRYROAD_SRC_ENTRY_API_ERROR_H_
