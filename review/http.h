// HTTP/1.1 over blocking sockets for the stand-ins of the review: a server with
// one thread for each connection, and a client.

#ifndef MULBERRYROAD_REVIEW_HTTP_H_
#define MULBERRYROAD_REVIEW_HTTP_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

inline std::string LowerCase(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// A request or a response; the unused fields stay empty.
struct Message {
  std::string method;
  std::string target;
  /// Status of a response; 0 if none came.
  int status = 0;
  /// The head and the whole body were read.
  bool complete = false;
  HeaderList headers;
  std::string body;

  std::string header(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (LowerCase(key) == LowerCase(name)) {
        return value;
      }
    }
    return "";
  }
  std::string path() const { return target.substr(0, target.find('?')); }
  /// Returns a parameter of the query, decoded.
  std::optional<std::string> parameter(const std::string& name) const {
    const std::size_t mark = target.find('?');
    std::string rest =
        mark == std::string::npos ? "" : target.substr(mark + 1) + "&";
    for (std::size_t end = rest.find('&'); end != std::string::npos;
         end = rest.find('&')) {
      const std::string pair = rest.substr(0, end);
      rest.erase(0, end + 1);
      const std::size_t equals = pair.find('=');
      if (pair.substr(0, equals) == name && equals != std::string::npos) {
        return Unescape(pair.substr(equals + 1));
      }
    }
    return std::nullopt;
  }

  static std::string Unescape(const std::string& text) {
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        result += static_cast<char>(
            std::strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        result += text[i];
      }
    }
    return result;
  }
};

/// One connection. Reads with a deadline and writes blockingly.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Close() {
    if (fd_ >= 0) {
      close(std::exchange(fd_, -1));
    }
  }
  /// Ends blocking calls of other threads.
  void Shutdown() const { shutdown(fd_, SHUT_RDWR); }

  bool Write(const std::string& bytes) const {
    std::size_t written = 0;
    while (written < bytes.size()) {
      const ssize_t n = send(fd_, bytes.data() + written,
                             bytes.size() - written, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      written += static_cast<std::size_t>(n);
    }
    return true;
  }

  /// Reads a request, or a response if it is one.
  /// @return false at the end of the connection or at the deadline
  bool Read(Message* message, SteadyClock::time_point deadline) {
    std::size_t end = std::string::npos;
    while ((end = pending_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(deadline)) {
        return false;
      }
    }
    ParseHead(pending_.substr(0, end + 2), message);
    pending_.erase(0, end + 4);
    if (LowerCase(message->header("Transfer-Encoding")) == "chunked") {
      return ReadChunks(message, deadline);
    }
    const std::string length = message->header("Content-Length");
    const bool request = message->status == 0;
    if (length.empty() && !request && message->status != 204) {
      while (Fill(deadline)) {
      }
      message->body = std::exchange(pending_, "");
      message->complete = closed_;
      return closed_;
    }
    const std::size_t size = std::strtoull(length.c_str(), nullptr, 10);
    while (pending_.size() < size) {
      if (!Fill(deadline)) {
        return false;
      }
    }
    message->body = pending_.substr(0, size);
    pending_.erase(0, size);
    message->complete = true;
    return true;
  }

  /// Returns whether the peer has closed the connection.
  bool closed() const {
    char byte = 0;
    const ssize_t n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

 private:
  static void ParseHead(const std::string& head, Message* message) {
    std::size_t at = head.find("\r\n");
    const std::string first = head.substr(0, at);
    if (first.starts_with("HTTP/")) {
      message->status = std::atoi(first.c_str() + first.find(' ') + 1);
    } else {
      const std::size_t space = first.find(' ');
      message->method = first.substr(0, space);
      message->target = first.substr(space + 1, first.rfind(' ') - space - 1);
    }
    at += 2;
    while (at < head.size()) {
      const std::size_t end = head.find("\r\n", at);
      const std::string line = head.substr(at, end - at);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message->headers.emplace_back(
            line.substr(0, colon),
            value == std::string::npos ? "" : line.substr(value));
      }
      at = end + 2;
    }
  }

  bool ReadChunks(Message* message, SteadyClock::time_point deadline) {
    while (true) {
      std::size_t end = std::string::npos;
      while ((end = pending_.find("\r\n")) == std::string::npos) {
        if (!Fill(deadline)) {
          return false;
        }
      }
      const std::size_t size = std::strtoull(pending_.c_str(), nullptr, 16);
      while (pending_.size() < end + 2 + size + 2) {
        if (!Fill(deadline)) {
          return false;
        }
      }
      message->body += pending_.substr(end + 2, size);
      pending_.erase(0, end + 2 + size + 2);
      if (size == 0) {
        message->complete = true;
        return true;
      }
    }
  }

  bool Fill(SteadyClock::time_point deadline) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline - SteadyClock::now());
    pollfd poller{fd_, POLLIN, 0};
    if (left.count() <= 0 ||
        poll(&poller, 1, static_cast<int>(left.count())) <= 0) {
      return false;
    }
    char bytes[16'384];
    const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
    closed_ = n == 0;
    if (n <= 0) {
      return false;
    }
    pending_.append(bytes, static_cast<std::size_t>(n));
    return true;
  }

  int fd_;
  std::string pending_;
  bool closed_ = false;
};

inline std::string FormatHeaders(const HeaderList& headers) {
  std::string text;
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "\r\n";
}

inline std::string FormatResponse(int status, const std::string& body,
                                  HeaderList headers = {}) {
  headers.emplace_back("Content-Length", std::to_string(body.size()));
  return "HTTP/1.1 " + std::to_string(status) + " -\r\n" +
         FormatHeaders(headers) + body;
}

inline std::string FormatRequest(const std::string& method,
                                 const std::string& target, HeaderList headers,
                                 const std::string& body) {
  headers.emplace_back("Content-Length", std::to_string(body.size()));
  return method + " " + target + " HTTP/1.1\r\n" + FormatHeaders(headers) +
         body;
}

/// Returns a connected socket to a port of 127.0.0.1, or -1.
inline int Connect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return -1;
  }
  return fd;
}

/// Sends a request on a new connection; status 0 if no response came.
inline Message Call(int port, const std::string& method,
                    const std::string& target, HeaderList headers,
                    const std::string& body, milliseconds timeout) {
  Message response;
  const auto deadline = SteadyClock::now() + timeout;
  const int fd = Connect(port);
  if (fd < 0) {
    return response;
  }
  Connection connection(fd);
  headers.emplace_back("Connection", "close");
  connection.Write(FormatRequest(method, target, std::move(headers), body));
  if (!connection.Read(&response, deadline)) {
    response.complete = false;
  }
  return response;
}

/// Serves connections of 127.0.0.1 until it is destroyed.
class Server {
 public:
  /// Handles one request; returns false to close the connection.
  using Handler =
      std::function<bool(const std::shared_ptr<Connection>&, const Message&)>;

  explicit Server(Handler handler) : handler_(std::move(handler)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    listen(listener_, 512);
    socklen_t length = sizeof(address);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~Server() { Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  int port() const { return port_; }

  /// Closes the listener and all connections.
  void Stop() {
    if (stopped_.exchange(true)) {
      return;
    }
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    close(listener_);
    {
      const std::lock_guard lock(mutex_);
      for (const auto& connection : connections_) {
        connection->Shutdown();
      }
    }
    while (open_ > 0) {
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

 private:
  void Accept() {
    while (!stopped_) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const auto connection = std::make_shared<Connection>(fd);
      ++open_;
      {
        const std::lock_guard lock(mutex_);
        connections_.insert(connection);
      }
      std::thread([this, connection] {
        ServeConnection(connection);
        {
          const std::lock_guard lock(mutex_);
          connections_.erase(connection);
        }
        --open_;
      }).detach();
    }
  }

  void ServeConnection(const std::shared_ptr<Connection>& connection) {
    while (!stopped_) {
      Message request;
      if (!connection->Read(&request,
                            SteadyClock::now() + std::chrono::minutes(5)) ||
          !handler_(connection, request)) {
        connection->Shutdown();
        return;
      }
    }
  }

  Handler handler_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> open_ = 0;
  std::mutex mutex_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::thread acceptor_;
};

}  // namespace review

#endif  // MULBERRYROAD_REVIEW_HTTP_H_
