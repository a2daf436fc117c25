// Interface for sending HTTP requests, independent of the connection used.

#ifndef MULBERRYROAD_SRC_HTTP_SENDER_H_
#define MULBERRYROAD_SRC_HTTP_SENDER_H_

#include "http/client.h"

namespace mulberryroad::http {

class Sender {
 public:
  virtual ~Sender() = default;
  /// Sends a request. on_done is never called before Send returns.
  virtual void Send(ClientRequest request, ResultCallback on_done) = 0;
};

}  // namespace mulberryroad::http

#endif  // MULBERRYROAD_SRC_HTTP_SENDER_H_
