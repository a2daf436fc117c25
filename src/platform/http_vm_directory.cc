#include "platform/http_vm_directory.h"

#include <event2/http.h>

#include <cstdlib>
#include <memory>
#include <utility>

#include "base/json.h"

namespace mulberryroad::platform {

namespace {

constexpr std::chrono::milliseconds kRequestTimeout{3'000};
constexpr int kOk = 200;

std::string EncodeUri(const std::string& text) {
  const std::unique_ptr<char, decltype(&std::free)> encoded(
      evhttp_encode_uri(text.c_str()), std::free);
  return encoded.get();
}

std::variant<v1::VmList, PlatformFailure> ParseVmList(
    const http::Result& result) {
  if (const auto* failure = std::get_if<http::Failure>(&result)) {
    return PlatformFailure{failure->verdict, failure->reason};
  }
  const auto& response = std::get<http::Response>(result);
  if (response.status != kOk) {
    return PlatformFailure{Verdict::kRan, "VM directory returned status " +
                                              std::to_string(response.status)};
  }
  v1::VmList list;
  std::string reason;
  if (!base::FromJson(response.body, &list, &reason)) {
    return PlatformFailure{Verdict::kRan, "malformed VM list: " + reason};
  }
  return list;
}

}  // namespace

HttpVmDirectory::HttpVmDirectory(http::Client& client, Endpoint endpoint)
    : client_(client), endpoint_(std::move(endpoint)) {}

void HttpVmDirectory::ListNodes(ResponseCallback<v1::VmList> on_response) {
  FetchList("/vms?nodes=1", std::move(on_response));
}

void HttpVmDirectory::ListPool(const PoolId& pool,
                               ResponseCallback<v1::VmList> on_response) {
  FetchList("/vms?target=" + EncodeUri(pool.target.value()) +
                "&failure_domain=" + EncodeUri(pool.failure_domain.value()),
            std::move(on_response));
}

void HttpVmDirectory::FetchList(std::string path,
                                ResponseCallback<v1::VmList> on_response) {
  http::ClientRequest request;
  request.endpoint = endpoint_;
  request.path = std::move(path);
  request.timeout = kRequestTimeout;
  client_.Send(std::move(request),
               [on_response = std::move(on_response)](http::Result result) {
                 on_response(ParseVmList(result));
               });
}

}  // namespace mulberryroad::platform
