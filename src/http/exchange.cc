// The exchange of a server: one request and its response.

#include <utility>

#include "http/server.h"
#include "http/server_session.h"

namespace mulberryroad::http {

Exchange::Exchange(std::shared_ptr<ServerSession> session, Request request)
    : session_(std::move(session)), request_(std::move(request)) {}

Exchange::~Exchange() = default;

void Exchange::Reply(int status, std::string_view body,
                     const Headers& headers) {
  if (response_started_ || session_ == nullptr) {
    return;
  }
  response_started_ = true;
  // Counting the response may close the connection.
  const std::shared_ptr<Exchange> self = shared_from_this();
  const std::shared_ptr<ServerSession> session = session_;
  session->Respond(status, body, headers);
  Detach();
}

void Exchange::StartStream(int status, const Headers& headers) {
  if (response_started_ || session_ == nullptr) {
    return;
  }
  response_started_ = true;
  streaming_ = true;
  const std::shared_ptr<Exchange> self = shared_from_this();
  const std::shared_ptr<ServerSession> session = session_;
  session->StartStream(status, headers);
}

void Exchange::Write(std::string_view chunk) {
  if (streaming_ && session_ != nullptr) {
    const std::shared_ptr<Exchange> self = shared_from_this();
    const std::shared_ptr<ServerSession> session = session_;
    session->WriteStream(chunk);
  }
}

void Exchange::Finish() {
  if (streaming_ && session_ != nullptr) {
    const std::shared_ptr<Exchange> self = shared_from_this();
    const std::shared_ptr<ServerSession> session = session_;
    session->FinishStream();
    Detach();
  }
}

void Exchange::Abort() {
  if (session_ == nullptr) {
    return;
  }
  const std::shared_ptr<Exchange> self = shared_from_this();
  response_started_ = true;
  const std::shared_ptr<ServerSession> session = session_;
  Detach();
  session->Abort();
}

void Exchange::OnConnectionClosed() {
  const std::shared_ptr<Exchange> self = shared_from_this();
  response_started_ = true;
  closed_ = true;
  Detach();
  on_disconnected_.emit();
}

void Exchange::Detach() {
  session_.reset();
  if (on_detached_) {
    std::exchange(on_detached_, nullptr)();
  }
}

}  // namespace mulberryroad::http
