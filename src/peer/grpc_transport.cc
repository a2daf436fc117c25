#include "peer/grpc_transport.h"

#include <grpcpp/grpcpp.h>

#include <map>
#include <thread>
#include <utility>

#include "mulberryroad/peer.grpc.pb.h"

namespace mulberryroad::peer {

namespace {

constexpr int kMaxMessageBytes = 64 << 20;
constexpr int kKeepaliveIntervalMs = 20'000;
constexpr int kKeepaliveTimeoutMs = 5'000;
constexpr int kMaxReconnectBackoffMs = 1'000;

/// An operation in the completion queue. Its address is the queue's tag.
class Operation {
 public:
  virtual ~Operation() = default;
  /// Called on the event loop's thread when the operation completes.
  virtual void Complete(bool ok) = 0;
};

/// A call to another node. Deletes itself in Complete.
class OutgoingCall final : public Operation {
 public:
  explicit OutgoingCall(OnReply on_reply) : on_reply_(std::move(on_reply)) {}

  void Start(v1::Peer::Stub* stub, grpc::CompletionQueue* queue,
             const v1::PeerRequest& request,
             std::chrono::milliseconds timeout) {
    context_.set_deadline(std::chrono::system_clock::now() + timeout);
    reader_ = stub->PrepareAsyncCall(&context_, request, queue);
    reader_->StartCall();
    reader_->Finish(&reply_, &status_, static_cast<Operation*>(this));
  }

  void Complete(bool ok) override {
    const std::unique_ptr<OutgoingCall> self(this);
    if (ok && status_.ok()) {
      on_reply_(std::move(reply_), "");
    } else {
      on_reply_(std::nullopt, status_.error_message());
    }
  }

 private:
  OnReply on_reply_;
  grpc::ClientContext context_;
  v1::PeerReply reply_;
  grpc::Status status_;
  std::unique_ptr<grpc::ClientAsyncResponseReader<v1::PeerReply>> reader_;
};

using Handlers = std::map<v1::PeerRequest::KindCase, CallHandler>;

/// A call from another node. Its address is a tag in the completion queue until
/// a request arrives, and again until the reply is sent.
class IncomingCall final : public Operation,
                           public std::enable_shared_from_this<IncomingCall> {
 public:
  IncomingCall(v1::Peer::AsyncService* service,
               grpc::ServerCompletionQueue* queue, const Handlers* handlers)
      : service_(service),
        queue_(queue),
        handlers_(handlers),
        writer_(&context_) {}

  static void RequestNextCall(v1::Peer::AsyncService* service,
                              grpc::ServerCompletionQueue* queue,
                              const Handlers* handlers) {
    auto call = std::make_shared<IncomingCall>(service, queue, handlers);
    call->self_ = call;
    service->RequestCall(&call->context_, &call->request_, &call->writer_,
                         queue, queue, static_cast<Operation*>(call.get()));
  }

  void Complete(bool ok) override {
    const std::shared_ptr<IncomingCall> self = std::move(self_);
    if (!ok || replied_) {
      return;
    }
    RequestNextCall(service_, queue_, handlers_);
    const auto handler = handlers_->find(request_.kind_case());
    if (handler == handlers_->end()) {
      self_ = self;
      replied_ = true;
      writer_.FinishWithError(grpc::Status(grpc::StatusCode::UNIMPLEMENTED,
                                           "no handler of this kind"),
                              static_cast<Operation*>(this));
      return;
    }
    handler->second(request_, [self](const v1::PeerReply& reply) {
      self->SendReply(reply);
    });
  }

 private:
  void SendReply(const v1::PeerReply& reply) {
    if (replied_) {
      return;
    }
    replied_ = true;
    self_ = shared_from_this();
    writer_.Finish(reply, grpc::Status::OK, static_cast<Operation*>(this));
  }

  v1::Peer::AsyncService* service_;
  grpc::ServerCompletionQueue* queue_;
  const Handlers* handlers_;
  grpc::ServerContext context_;
  v1::PeerRequest request_;
  grpc::ServerAsyncResponseWriter<v1::PeerReply> writer_;
  bool replied_ = false;
  // Set while the completion queue holds a pointer to this call.
  std::shared_ptr<IncomingCall> self_;
};

grpc::ChannelArguments MakeChannelArguments() {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                   kMaxReconnectBackoffMs / 10);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveIntervalMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveTimeoutMs);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  return arguments;
}

}  // namespace

class GrpcTransport::Implementation {
 public:
  explicit Implementation(base::EventLoop& loop) : loop_(loop) {}

  ~Implementation() {
    if (server_ != nullptr) {
      server_->Shutdown(std::chrono::system_clock::now());
    }
    if (queue_ != nullptr) {
      queue_->Shutdown();
      polling_thread_.join();
    }
  }

  bool Listen(const Endpoint& endpoint) {
    grpc::ServerBuilder builder;
    int bound_port = 0;
    builder.AddListeningPort(ToString(endpoint),
                             grpc::InsecureServerCredentials(), &bound_port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(
        GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
        kKeepaliveIntervalMs / 2);
    builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
    builder.RegisterService(&service_);
    queue_ = builder.AddCompletionQueue();
    server_ = builder.BuildAndStart();
    polling_thread_ = std::thread([this] { PollQueue(); });
    if (server_ == nullptr || bound_port == 0) {
      return false;
    }
    IncomingCall::RequestNextCall(&service_, queue_.get(), &handlers_);
    return true;
  }

  void Call(const Endpoint& node, const v1::PeerRequest& request,
            std::chrono::milliseconds timeout, OnReply on_reply) {
    auto* call = new OutgoingCall(std::move(on_reply));  // Deleted in Complete.
    call->Start(StubFor(node), queue_.get(), request, timeout);
  }

  void Handle(v1::PeerRequest::KindCase kind, CallHandler handler) {
    handlers_[kind] = std::move(handler);
  }

  void CloseChannel(const Endpoint& node) { stubs_.erase(node); }

 private:
  v1::Peer::Stub* StubFor(const Endpoint& node) {
    std::unique_ptr<v1::Peer::Stub>& stub = stubs_[node];
    if (stub == nullptr) {
      stub = v1::Peer::NewStub(grpc::CreateCustomChannel(
          ToString(node), grpc::InsecureChannelCredentials(),
          MakeChannelArguments()));
    }
    return stub.get();
  }

  // Polls the completion queue on a separate thread. Uses only the queue and
  // EventLoop::Post, which are thread-safe.
  void PollQueue() {
    void* tag = nullptr;
    bool ok = false;
    while (queue_->Next(&tag, &ok)) {
      loop_.Post([tag, ok] { static_cast<Operation*>(tag)->Complete(ok); });
    }
  }

  base::EventLoop& loop_;
  Handlers handlers_;
  std::map<Endpoint, std::unique_ptr<v1::Peer::Stub>> stubs_;
  v1::Peer::AsyncService service_;
  std::unique_ptr<grpc::ServerCompletionQueue> queue_;
  std::unique_ptr<grpc::Server> server_;
  std::thread polling_thread_;
};

GrpcTransport::GrpcTransport(base::EventLoop& loop)
    : implementation_(std::make_unique<Implementation>(loop)) {}

GrpcTransport::~GrpcTransport() = default;

bool GrpcTransport::Listen(const Endpoint& endpoint) {
  return implementation_->Listen(endpoint);
}

void GrpcTransport::CloseChannel(const Endpoint& node) {
  implementation_->CloseChannel(node);
}

void GrpcTransport::Call(const Endpoint& node, v1::PeerRequest request,
                         std::chrono::milliseconds timeout, OnReply on_reply) {
  implementation_->Call(node, request, timeout, std::move(on_reply));
}

void GrpcTransport::Handle(v1::PeerRequest::KindCase kind,
                           CallHandler handler) {
  implementation_->Handle(kind, std::move(handler));
}

}  // namespace mulberryroad::peer
