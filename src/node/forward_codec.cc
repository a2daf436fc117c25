#include "node/forward_codec.h"

#include <array>
#include <utility>
#include <variant>

namespace mulberryroad::node {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;
constexpr std::array<std::pair<http::Method, const char*>, 4> kMethods = {
    {{http::Method::kGet, "GET"},
     {http::Method::kPost, "POST"},
     {http::Method::kPut, "PUT"},
     {http::Method::kDelete, "DELETE"}}};

void EncodeHeaders(
    const http::Headers& headers,
    google::protobuf::RepeatedPtrField<v1::ForwardedHeader>* out) {
  for (const http::Header& header : headers) {
    v1::ForwardedHeader* encoded = out->Add();
    encoded->set_name(header.name);
    encoded->set_value(header.value);
  }
}

http::Headers DecodeHeaders(
    const google::protobuf::RepeatedPtrField<v1::ForwardedHeader>& headers) {
  http::Headers decoded;
  for (const v1::ForwardedHeader& header : headers) {
    decoded.push_back({header.name(), header.value()});
  }
  return decoded;
}

}  // namespace

v1::ForwardRequest EncodeForward(const serving::Registration& upstream,
                                 const serving::OutgoingRequest& request,
                                 const serving::CallOptions& options,
                                 std::chrono::milliseconds deadline) {
  v1::ForwardRequest forward;
  forward.set_upstream(upstream.id.value());
  forward.set_started_ms(upstream.started.count());
  forward.set_request(request.id.value());
  for (const auto& [method, name] : kMethods) {
    if (method == request.method) {
      forward.set_method(name);
    }
  }
  forward.set_host(request.host);
  forward.set_target(request.target);
  EncodeHeaders(request.headers, forward.mutable_headers());
  forward.set_body(request.body.text());
  forward.set_organisation(request.organisation.value());
  forward.set_deadline_ms(static_cast<std::uint64_t>(deadline.count()));
  forward.set_resume_after(options.resume_after);
  forward.set_version(options.version);
  forward.set_stream(options.stream.has_value());
  return forward;
}

std::optional<serving::OutgoingRequest> DecodeForward(
    const v1::ForwardRequest& forward) {
  serving::OutgoingRequest request;
  bool known_method = false;
  for (const auto& [method, name] : kMethods) {
    if (forward.method() == name) {
      request.method = method;
      known_method = true;
    }
  }
  if (!known_method) {
    return std::nullopt;
  }
  request.id = RequestId(forward.request());
  request.host = forward.host();
  request.target = forward.target();
  request.headers = DecodeHeaders(forward.headers());
  request.body = forward.body();
  request.organisation = OrganisationId(forward.organisation());
  return request;
}

v1::ForwardFrame EncodeHead(const serving::StreamStart& start) {
  v1::ForwardFrame frame;
  frame.mutable_head()->set_status(start.status);
  EncodeHeaders(start.headers, frame.mutable_head()->mutable_headers());
  frame.mutable_head()->set_version(start.version);
  return frame;
}

v1::ForwardFrame EncodeEvent(const serving::StreamEvent& event) {
  v1::ForwardFrame frame;
  v1::ForwardedEvent* encoded = frame.mutable_event();
  encoded->set_bytes(event.bytes);
  encoded->set_id(event.id);
  encoded->set_data(event.data);
  if (event.version.has_value()) {
    encoded->set_version(*event.version);
  }
  return frame;
}

v1::ForwardFrame EncodeOutcome(const serving::UpstreamOutcome& outcome) {
  struct Visitor {
    v1::ForwardedOutcome* encoded;
    void operator()(const serving::NotRun& result) const {
      encoded->set_kind(result.unreachable ? v1::ForwardedOutcome::UNREACHABLE
                                           : v1::ForwardedOutcome::NOT_RUN);
      encoded->set_reason(result.reason);
      encoded->set_full(result.full);
    }
    void operator()(const serving::MayHaveRun& result) const {
      encoded->set_kind(v1::ForwardedOutcome::MAY_HAVE_RUN);
      encoded->set_reason(result.reason);
      encoded->set_connection_lost(result.connection_lost);
    }
    void operator()(const serving::CompleteResponse& result) const {
      encoded->set_kind(v1::ForwardedOutcome::COMPLETE);
      encoded->set_status(result.status);
      EncodeHeaders(result.headers, encoded->mutable_headers());
      encoded->set_body(result.body);
      encoded->set_signature(result.signature);
    }
  };
  v1::ForwardFrame frame;
  std::visit(Visitor{frame.mutable_outcome()}, outcome);
  return frame;
}

v1::ForwardFrame MakeRefusal(const std::string& reason) {
  v1::ForwardFrame frame;
  frame.mutable_outcome()->set_kind(v1::ForwardedOutcome::REFUSED);
  frame.mutable_outcome()->set_reason(reason);
  return frame;
}

serving::StreamStart DecodeHead(const v1::ForwardedHead& head) {
  return {head.status(), DecodeHeaders(head.headers()), head.version()};
}

serving::StreamEvent DecodeEvent(const v1::ForwardedEvent& event) {
  return {event.bytes(), event.id(), event.data(),
          event.has_version() ? std::optional(event.version()) : std::nullopt};
}

serving::UpstreamOutcome DecodeOutcome(const v1::ForwardedOutcome& outcome) {
  switch (outcome.kind()) {
    case v1::ForwardedOutcome::NOT_RUN:
      return serving::NotRun{outcome.reason(), outcome.full()};
    case v1::ForwardedOutcome::UNREACHABLE:
      return serving::NotRun{outcome.reason(), /*full=*/false,
                             /*unreachable=*/true};
    case v1::ForwardedOutcome::COMPLETE:
      if (serving::PromisesNotRun(outcome.status())) {
        // A peer of an earlier release.
        return serving::MayHaveRun{"the upstream of a peer answered status " +
                                   std::to_string(outcome.status())};
      }
      return serving::CompleteResponse{outcome.status(),
                                       DecodeHeaders(outcome.headers()),
                                       outcome.body(), outcome.signature()};
    default:
      return serving::MayHaveRun{outcome.reason(), outcome.connection_lost()};
  }
}

std::string Serialize(const v1::ForwardFrame& frame) {
  const std::string content = frame.SerializeAsString();
  std::string bytes;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    const std::size_t shift = (kLengthBytes - 1 - i) * kBitsPerByte;
    bytes.push_back(static_cast<char>((content.size() >> shift) & 0xFFU));
  }
  return bytes + content;
}

bool FrameReader::Feed(std::string_view bytes,
                       std::vector<v1::ForwardFrame>* frames) {
  pending_.append(bytes);
  std::size_t start = 0;
  while (pending_.size() - start >= kLengthBytes) {
    std::size_t length = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i) {
      length = (length << kBitsPerByte) |
               static_cast<unsigned char>(pending_[start + i]);
    }
    if (length > kMaxFrameBytes) {
      return false;
    }
    if (pending_.size() - start - kLengthBytes < length) {
      break;
    }
    v1::ForwardFrame frame;
    if (!frame.ParseFromArray(pending_.data() + start + kLengthBytes,
                              static_cast<int>(length))) {
      return false;
    }
    frames->push_back(std::move(frame));
    start += kLengthBytes + length;
  }
  pending_.erase(0, start);
  return true;
}

}  // namespace mulberryroad::node
