#include "http/client_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <sys/socket.h>

#include <cstring>
#include <utility>

#include "http/socket_options.h"

namespace mulberryroad::http {

ClientConnection::ClientConnection(base::EventLoop& loop, Endpoint endpoint)
    : endpoint_(std::move(endpoint)),
      stream_(bufferevent_socket_new(loop.base(), -1, /*options=*/0)) {
  bufferevent_setcb(stream_, OnReadable, nullptr, OnEvent, this);
  evbuffer_add_cb(bufferevent_get_output(stream_), OnOutputChanged, this);
}

ClientConnection::~ClientConnection() {
  evbuffer_remove_cb(bufferevent_get_output(stream_), OnOutputChanged, this);
  FreeAndClose(stream_);
}

void ClientConnection::SetUser(User* user) {
  user_ = user;
  first_byte_sent_ = false;
}

void ClientConnection::Connect() {
  bufferevent_socket_connect_hostname(
      stream_, nullptr, AF_UNSPEC, endpoint_.address.c_str(), endpoint_.port);
}

void ClientConnection::Write(std::string_view head, std::string body) {
  evbuffer* output = bufferevent_get_output(stream_);
  evbuffer_add(output, head.data(), head.size());
  if (body.empty()) {
    return;
  }
  // Not copied: the buffer owns the body.
  auto* sent = new std::string(std::move(body));
  evbuffer_add_reference(
      output, sent->data(), sent->size(),
      [](const void*, std::size_t, void* text) {
        delete static_cast<std::string*>(text);
      },
      sent);
}

void ClientConnection::Stop() {
  broken_ = true;
  bufferevent_disable(stream_, EV_READ | EV_WRITE);
}

void ClientConnection::ResetOnClose() {
  const linger discard{.l_onoff = 1, .l_linger = 0};
  const evutil_socket_t socket = bufferevent_getfd(stream_);
  if (socket >= 0) {
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
  }
}

evbuffer* ClientConnection::input() const {
  return bufferevent_get_input(stream_);
}

bool ClientConnection::reusable() const {
  return connected_ && !broken_ && evbuffer_get_length(input()) == 0 &&
         evbuffer_get_length(bufferevent_get_output(stream_)) == 0;
}

void ClientConnection::OnOutputChanged(evbuffer* /*buffer*/,
                                       const evbuffer_cb_info* info,
                                       void* self) {
  auto* connection = static_cast<ClientConnection*>(self);
  if (info->n_deleted > 0 && connection->user_ != nullptr &&
      !std::exchange(connection->first_byte_sent_, true)) {
    connection->user_->OnFirstByteSent();
  }
}

void ClientConnection::OnReadable(bufferevent* /*stream*/, void* self) {
  auto* connection = static_cast<ClientConnection*>(self);
  if (connection->user_ != nullptr) {
    connection->user_->OnReadable();
  } else {
    // Nothing more is read from a connection that will not be used.
    connection->Stop();
  }
}

void ClientConnection::OnEvent(bufferevent* stream, base::EventFlags events,
                               void* self) {
  auto* connection = static_cast<ClientConnection*>(self);
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    connection->connected_ = true;
    CloseWhenCutOff(bufferevent_getfd(stream), SocketSide::kClient);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
    if (connection->user_ != nullptr) {
      connection->user_->OnConnected();
    }
    return;
  }
  connection->broken_ = true;
  if ((events & BEV_EVENT_WRITING) != 0) {
    // A response that the server sent before can still be read; the end of the
    // connection follows.
    connection->write_error_ =
        evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR());
    return;
  }
  if (connection->user_ == nullptr) {
    return;
  }
  // The kernel reports a reset once. If a write got it, the reader sees an
  // ordinary end.
  if (!connection->write_error_.empty()) {
    connection->user_->OnClosed(connection->write_error_);
    return;
  }
  const bool in_order = (events & BEV_EVENT_EOF) != 0;
  connection->user_->OnClosed(
      in_order ? "" : evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
}

// Reuses the connection that was idle the longest, so that with bursts of
// varying size no connection reaches its idle timeout.
std::unique_ptr<ClientConnection> ConnectionPool::Acquire(
    const Endpoint& endpoint, bool fresh) {
  auto& idle = idle_[endpoint];
  while (!fresh && !idle.empty()) {
    IdleConnection candidate = std::move(idle.front());
    idle.pop_front();
    if (candidate.connection->reusable() &&
        std::chrono::steady_clock::now() < candidate.usable_until) {
      return std::move(candidate.connection);
    }
  }
  return std::make_unique<ClientConnection>(loop_, endpoint);
}

void ConnectionPool::Release(const Endpoint& endpoint,
                             std::unique_ptr<ClientConnection> connection,
                             std::chrono::milliseconds keep_alive) {
  auto& idle = idle_[endpoint];
  if (connection->reusable() && idle.size() < kMaxIdlePerEndpoint) {
    connection->SetUser(nullptr);
    idle.push_back(
        {std::move(connection), std::chrono::steady_clock::now() + keep_alive});
  }
}

}  // namespace mulberryroad::http
