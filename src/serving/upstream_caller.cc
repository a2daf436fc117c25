#include "serving/upstream_caller.h"

#include <initializer_list>

#include "base/digest.h"

namespace mulberryroad::serving {

namespace {

// Characters of the hexadecimal digest that are kept: 96 bits.
constexpr std::size_t kDigestLength = 24;
constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

}  // namespace

bool PromisesNotRun(int status) {
  return status == kRequestTimeout || status == kMisdirected ||
         status == kTooManyRequests || status == kServiceUnavailable;
}

std::string ContentDigest(const OutgoingRequest& request) {
  const std::string& body = request.body;
  std::string head;
  for (const std::string& part :
       {request.organisation.value(),
        std::to_string(static_cast<int>(request.method)), request.host,
        request.target}) {
    head += std::to_string(part.size()) + ':' + part;
  }
  head += std::to_string(body.size()) + ':';
  return base::Sha256Hex(head, body).substr(0, kDigestLength);
}

}  // namespace mulberryroad::serving
