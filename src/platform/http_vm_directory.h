// VmDirectory over HTTP with JSON bodies.

#ifndef MULBERRYROAD_SRC_PLATFORM_HTTP_VM_DIRECTORY_H_
#define MULBERRYROAD_SRC_PLATFORM_HTTP_VM_DIRECTORY_H_

#include <string>

#include "http/client.h"
#include "mulberryroad/endpoint.h"
#include "platform/platform.h"

namespace mulberryroad::platform {

class HttpVmDirectory final : public VmDirectory {
 public:
  HttpVmDirectory(http::Client& client, Endpoint endpoint);

  void ListNodes(ResponseCallback<v1::VmList> on_response) override;
  void ListPool(const PoolId& pool,
                ResponseCallback<v1::VmList> on_response) override;

 private:
  void FetchList(std::string path, ResponseCallback<v1::VmList> on_response);

  http::Client& client_;
  Endpoint endpoint_;
};

}  // namespace mulberryroad::platform

#endif  // MULBERRYROAD_SRC_PLATFORM_HTTP_VM_DIRECTORY_H_
