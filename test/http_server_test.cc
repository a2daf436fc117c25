// Tests that the HTTP server handles callers that disconnect.

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "fakes/free_port.h"
#include "http/connection_guard.h"
#include "http/server.h"

using mulberryroad::Endpoint;
using mulberryroad::base::EventLoop;
using mulberryroad::base::Timer;
using mulberryroad::http::BudgetLimits;
using mulberryroad::http::CloseReason;
using mulberryroad::http::ConnectionGuard;
using mulberryroad::http::Exchange;
using mulberryroad::http::Method;
using mulberryroad::http::Server;
using mulberryroad::http::ServerLimits;

namespace {

constexpr std::chrono::milliseconds kPollInterval{5};
constexpr std::chrono::seconds kTimeout{10};

int Connect(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int connected =
      connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  cr_assert(connected == 0, "cannot connect to the server");
  return fd;
}

/// Closes a connection with a reset, as the kernel does if a process exits with
/// unread data.
void Reset(int fd) {
  const linger at_once{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  close(fd);
}

struct DisconnectCase {
  const char* name;
  bool streamed;
  bool reset;
  /// Sends another request while the first one runs.
  bool pipelined = false;
};

class StreamingHandler {
 public:
  explicit StreamingHandler(EventLoop* loop) : loop_(*loop) {}

  void Serve(const std::shared_ptr<Exchange>& exchange, bool streamed) {
    exchange_ = exchange;
    exchange->on_disconnected().connect([this] { ++closed_; });
    if (!streamed) {
      return;
    }
    exchange->StartStream(200);
    writer_ = loop_.Every(std::chrono::milliseconds(1),
                          [this] { exchange_->Write(std::string(4096, 'x')); });
  }
  int closed() const { return closed_; }

 private:
  EventLoop& loop_;
  std::shared_ptr<Exchange> exchange_;
  Timer writer_;
  int closed_ = 0;
};

void RunDisconnectCase(const DisconnectCase& test_case) {
  EventLoop loop;
  Server server(loop, ServerLimits());
  const std::uint16_t port = mulberryroad::fakes::FreePort();
  cr_assert(server.Listen(Endpoint{"127.0.0.1", port}));
  StreamingHandler streaming_handler(&loop);
  server.Route(Method::kGet, "/", [&](const auto& exchange) {
    streaming_handler.Serve(exchange, test_case.streamed);
  });
  const int caller = Connect(port);
  const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  cr_assert(send(caller, request.data(), request.size(), 0) ==
            static_cast<ssize_t>(request.size()));
  const Timer next_request = loop.After(std::chrono::milliseconds(20), [&] {
    if (test_case.pipelined) {
      send(caller, request.data(), request.size(), 0);
    }
  });
  const Timer disconnect = loop.After(std::chrono::milliseconds(50), [&] {
    test_case.reset ? Reset(caller) : static_cast<void>(close(caller));
  });
  const Timer poll = loop.Every(kPollInterval, [&] {
    if (streaming_handler.closed() > 0) {
      loop.Stop();
    }
  });
  const Timer timeout = loop.After(kTimeout, [&] { loop.Stop(); });
  loop.Run();
  const Timer settle_timer =
      loop.After(std::chrono::milliseconds(50), [&] { loop.Stop(); });
  loop.Run();
  cr_expect(streaming_handler.closed() == 1,
            "%s: expected 1 on_disconnected signal, found %d", test_case.name,
            streaming_handler.closed());
  cr_expect(server.open_exchanges() == 0,
            "%s: expected 0 open exchanges, found %zu", test_case.name,
            server.open_exchanges());
}

}  // namespace

Test(http_server, survives_caller_disconnects) {
  const DisconnectCase cases[] = {{"before the response, closed", false, false},
                                  {"before the response, reset", false, true},
                                  {"during the response, closed", true, false},
                                  {"during the response, reset", true, true}};
  for (const DisconnectCase& test_case : cases) {
    RunDisconnectCase(test_case);
  }
}

// Guards against a request that runs on, and a loop that spins, since a reset
// is not reported behind bytes that are not read.
Test(http_server, reset_behind_a_pipelined_request) {
  const DisconnectCase cases[] = {
      {"before the response, closed", false, false, true},
      {"before the response, reset", false, true, true},
      {"during the response, closed", true, false, true},
      {"during the response, reset", true, true, true}};
  for (const DisconnectCase& test_case : cases) {
    RunDisconnectCase(test_case);
  }
}

// Guards against a server that ends when a connection is closed before its
// first request begins.
Test(http_server, new_connection_while_all_others_run_requests) {
  EventLoop loop;
  Server server(loop, ServerLimits());
  constexpr std::size_t kConnections = 16;
  int refused = 0;
  server.SetGuard(std::make_shared<ConnectionGuard>(
                      loop, BudgetLimits{.connections = kConnections},
                      [&refused](CloseReason /*reason*/) { ++refused; }),
                  /*protected_peer=*/false);
  const std::uint16_t port = mulberryroad::fakes::FreePort();
  cr_assert(server.Listen(Endpoint{"127.0.0.1", port}));
  std::vector<std::shared_ptr<Exchange>> running;
  server.SetFallbackHandler(
      [&running](const auto& exchange) { running.push_back(exchange); });
  std::vector<int> clients;
  const std::string request = "GET / HTTP/1.1\r\n\r\n";
  const Timer connect = loop.Every(kPollInterval, [&] {
    clients.push_back(Connect(port));
    send(clients.back(), request.data(), request.size(), 0);
    if (clients.size() == 2 * kConnections) {
      loop.Stop();
    }
  });
  loop.Run();
  cr_expect_gt(refused, 0);
  cr_expect_lt(running.size(), kConnections);
  running.front()->Reply(200, "");
  for (const int client : clients) {
    close(client);
  }
}

std::size_t OpenDescriptors() {
  const std::filesystem::directory_iterator list("/proc/self/fd");
  return static_cast<std::size_t>(std::distance(begin(list), end(list)));
}

// Guards against closed connections whose sockets stay open until the server
// has accepted all that wait.
Test(http_server, burst_of_connections_exceeds_the_limit_of_descriptors) {
  EventLoop loop;
  Server server(loop, ServerLimits());
  constexpr std::size_t kConnections = 16;
  // Fewer than the listener's backlog.
  constexpr int kClients = 100;
  // The newest connection, and the one that is being closed.
  constexpr std::size_t kInTransit = 2;
  std::size_t most = 0;
  server.SetGuard(std::make_shared<ConnectionGuard>(
                      loop, BudgetLimits{.connections = kConnections},
                      [&most](CloseReason /*reason*/) {
                        most = std::max(most, OpenDescriptors());
                      }),
                  /*protected_peer=*/false);
  const std::uint16_t port = mulberryroad::fakes::FreePort();
  cr_assert(server.Listen(Endpoint{"127.0.0.1", port}));
  std::vector<int> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(Connect(port));
  }
  const std::size_t before = OpenDescriptors();
  const Timer stop =
      loop.After(std::chrono::milliseconds(100), [&] { loop.Stop(); });
  loop.Run();
  cr_expect_gt(most, before, "no connection was closed");
  cr_expect_leq(most, before + kConnections + kInTransit,
                "%zu descriptors, %zu before", most, before);
  for (const int client : clients) {
    close(client);
  }
}

// Guards against an incomplete stream that looks complete: in HTTP/1.0 the end
// of the connection ends the response.
Test(http_server, aborted_stream_ends_like_a_complete_one) {
  EventLoop loop;
  Server server(loop, ServerLimits());
  const std::uint16_t port = mulberryroad::fakes::FreePort();
  cr_assert(server.Listen(Endpoint{"127.0.0.1", port}));
  Timer abort;
  server.Route(Method::kGet, "/", [&](const auto& exchange) {
    exchange->StartStream(200);
    exchange->Write("id: 1\n\n");
    abort = loop.After(std::chrono::milliseconds(20),
                       [exchange] { exchange->Abort(); });
  });
  const int caller = Connect(port);
  const std::string request = "GET / HTTP/1.0\r\nHost: x\r\n\r\n";
  cr_assert(send(caller, request.data(), request.size(), 0) ==
            static_cast<ssize_t>(request.size()));
  const Timer stop =
      loop.After(std::chrono::milliseconds(200), [&] { loop.Stop(); });
  loop.Run();
  std::string buffer(1'024, '\0');
  ssize_t received = 0;
  do {
    received = recv(caller, buffer.data(), buffer.size(), MSG_DONTWAIT);
  } while (received > 0);
  cr_assert_eq(received, -1, "the connection must end with a reset");
  cr_assert_eq(errno, ECONNRESET);
  close(caller);
}

namespace {

/// A server whose default handler answers with the size of the body.
class EchoServer {
 public:
  EchoServer() {
    server_.SetFallbackHandler([](const std::shared_ptr<Exchange>& exchange) {
      exchange->Reply(200, std::to_string(exchange->request().body.size()));
    });
    cr_assert(server_.Listen(Endpoint{"127.0.0.1", port_}));
  }

  /// Sends bytes and returns what the server answers until it pauses.
  std::string Send(int client, const std::string& bytes) {
    cr_assert(send(client, bytes.data(), bytes.size(), 0) ==
              static_cast<ssize_t>(bytes.size()));
    const Timer stop =
        loop_.After(std::chrono::milliseconds(100), [this] { loop_.Stop(); });
    loop_.Run();
    std::string received(64U << 10U, '\0');
    const ssize_t size =
        recv(client, received.data(), received.size(), MSG_DONTWAIT);
    received.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return received;
  }
  std::uint16_t port() const { return port_; }

 private:
  EventLoop loop_;
  Server server_{loop_, ServerLimits{.max_body_bytes = 1'000}};
  std::uint16_t port_ = mulberryroad::fakes::FreePort();
};

std::string Status(const std::string& response) {
  return response.substr(0, response.find("\r\n"));
}

}  // namespace

Test(http_server, interim_response_precedes_an_expected_body) {
  EchoServer server;
  const int client = Connect(server.port());
  const std::string head =
      "POST / HTTP/1.1\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n";
  cr_expect(server.Send(client, head) == "HTTP/1.1 100 Continue\r\n\r\n");
  cr_expect(server.Send(client, "abc").ends_with("\r\n\r\n3"));
  // No interim response if the body is there, or if the request is refused.
  cr_expect(Status(server.Send(client, head + "abc")) == "HTTP/1.1 200 OK");
  cr_expect(Status(server.Send(client,
                               "POST / HTTP/1.1\r\nContent-Length: 1001\r\n"
                               "Expect: 100-continue\r\n\r\n")) ==
            "HTTP/1.1 413 Payload Too Large");
  close(client);
}

// Guards against responses in another order, or to a part of a body.
Test(http_server, pipelined_requests_are_answered_in_order) {
  EchoServer server;
  const int client = Connect(server.port());
  std::string sent;
  for (int size = 1; size <= 9; ++size) {
    sent += "GET / HTTP/1.1\r\nContent-Length: " + std::to_string(size) +
            "\r\n\r\n" + std::string(static_cast<std::size_t>(size), 'x');
  }
  const std::string received = server.Send(client, sent);
  std::string sizes;
  for (std::size_t at = received.find("\r\n\r\n"); at != std::string::npos;
       at = received.find("\r\n\r\n", at + 1)) {
    sizes += received.substr(at + 4, 1);
  }
  cr_expect_str_eq(sizes.c_str(), "123456789");
  close(client);
}

// Guards against a refusal that is lost in the reset of its connection.
Test(http_server, refused_client_reads_the_response) {
  EchoServer server;
  const int client = Connect(server.port());
  const std::string response =
      server.Send(client, "POST / HTTP/1.1\r\nContent-Length: 500000\r\n\r\n" +
                              std::string(400'000, 'x'));
  cr_expect(Status(response) == "HTTP/1.1 413 Payload Too Large");
  cr_expect_neq(response.find("not run"), std::string::npos);
  close(client);
}

Test(http_server, http_1_0_connections_end_with_the_response) {
  EchoServer server;
  int client = Connect(server.port());
  std::string response = server.Send(client, "GET / HTTP/1.0\r\n\r\n");
  cr_expect(Status(response) == "HTTP/1.0 200 OK");
  char byte = 0;
  cr_expect_eq(recv(client, &byte, 1, MSG_DONTWAIT), 0);
  close(client);
  client = Connect(server.port());
  response =
      server.Send(client, "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
  cr_expect_neq(response.find("Connection: keep-alive"), std::string::npos);
  cr_expect_eq(recv(client, &byte, 1, MSG_DONTWAIT), -1);
  close(client);
}

// Guards against a client that waits for the rest of a response, or for the end
// of a connection that the response announced.
Test(http_server, connection_stays_open_after_a_handler_closes_it) {
  EventLoop loop;
  Server server(loop, ServerLimits());
  const std::uint16_t port = mulberryroad::fakes::FreePort();
  cr_assert(server.Listen(Endpoint{"127.0.0.1", port}));
  server.SetFallbackHandler([](const std::shared_ptr<Exchange>& exchange) {
    exchange->Reply(200, "part",
                    {{"connection", "close"}, {"Content-Length", "9"}});
  });
  const int client = Connect(port);
  const std::string request = "GET / HTTP/1.1\r\n\r\n";
  send(client, request.data(), request.size(), 0);
  const Timer stop =
      loop.After(std::chrono::milliseconds(100), [&] { loop.Stop(); });
  loop.Run();
  std::string received(1'024, '\0');
  received.resize(static_cast<std::size_t>(
      std::max<ssize_t>(0, recv(client, received.data(), received.size(), 0))));
  cr_expect(received.ends_with("\r\n\r\npart"));
  cr_expect_neq(received.find("Connection: close"), std::string::npos);
  char byte = 0;
  cr_expect_eq(recv(client, &byte, 1, MSG_DONTWAIT), 0);
  close(client);
}

// Guards against a response that is lost with the reset of a connection that is
// closed with unread bytes: the caller sent another request ahead.
Test(http_server, last_response_of_a_pipelining_caller_arrives_whole) {
  constexpr std::size_t kBodyBytes = 2U << 20U;
  EventLoop loop;
  Server server(loop, ServerLimits());
  const std::uint16_t port = mulberryroad::fakes::FreePort();
  cr_assert(server.Listen(Endpoint{"127.0.0.1", port}));
  Timer reply;
  server.Route(Method::kGet, "/", [&](const auto& exchange) {
    reply = loop.After(std::chrono::milliseconds(50), [exchange] {
      exchange->Reply(200, std::string(kBodyBytes, 'x'),
                      {{"Connection", "close"}});
    });
  });
  const int caller = Connect(port);
  const int receive_buffer = 128 << 10;
  setsockopt(caller, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
             sizeof(receive_buffer));
  const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  send(caller, request.data(), request.size(), 0);
  const Timer next = loop.After(std::chrono::milliseconds(20), [&] {
    send(caller, request.data(), request.size(), 0);
  });
  std::size_t received = 0;
  bool ended = false;
  std::vector<char> buffer(64U << 10U);
  // Begins to read once the response is in the buffers of the kernel.
  Timer reader;
  const Timer start = loop.After(std::chrono::milliseconds(200), [&] {
    reader = loop.Every(std::chrono::milliseconds(1), [&] {
      const ssize_t got =
          recv(caller, buffer.data(), buffer.size(), MSG_DONTWAIT);
      received += got > 0 ? static_cast<std::size_t>(got) : 0;
      ended = got == 0 || (got < 0 && errno != EAGAIN);
      if (ended) {
        loop.Stop();
      }
    });
  });
  const Timer timeout = loop.After(kTimeout, [&] { loop.Stop(); });
  loop.Run();
  cr_expect(received > kBodyBytes, "only %zu bytes arrived", received);
  cr_expect(ended, "the connection stays open");
  close(caller);
}
