#include "daemon/measured.h"

#include <utility>

namespace mulberryroad::daemon {

namespace {

const std::string& KindName(v1::PeerRequest::KindCase kind) {
  return v1::PeerRequest::descriptor()->FindFieldByNumber(kind)->name();
}

/// Streams of batches and partitions are counted by what precedes the slash, so
/// that the number of time series does not grow with them.
std::string StreamKind(const std::string& stream) {
  return stream.substr(0, stream.find('/'));
}

}  // namespace

MeasuredTransport::MeasuredTransport(peer::Transport& inner, const Clock& clock,
                                     base::Metrics& metrics)
    : inner_(inner), clock_(clock), metrics_(metrics) {}

void MeasuredTransport::Count(const std::string& kind,
                              const std::string& direction, std::size_t bytes) {
  const base::Labels labels = {{"kind", kind}, {"direction", direction}};
  metrics_.Count("peer_messages_total", labels);
  metrics_.Count("peer_bytes_total", labels, bytes);
}

void MeasuredTransport::Call(const Endpoint& node, v1::PeerRequest request,
                             std::chrono::milliseconds timeout,
                             peer::OnReply on_reply) {
  const std::string& kind = KindName(request.kind_case());
  Count(kind, "sent", request.ByteSizeLong());
  const Instant started = clock_.now();
  inner_.Call(
      node, std::move(request), timeout,
      [this, kind, started, on_reply = std::move(on_reply)](
          std::optional<v1::PeerReply> reply, const std::string& reason) {
        metrics_.Observe("peer_call_seconds", {{"kind", kind}},
                         clock_.now() - started);
        if (reply.has_value()) {
          Count(kind, "received", reply->ByteSizeLong());
        } else {
          metrics_.Count("peer_failures_total", {{"kind", kind}});
        }
        on_reply(std::move(reply), reason);
      });
}

void MeasuredTransport::Handle(v1::PeerRequest::KindCase kind,
                               peer::CallHandler handler) {
  inner_.Handle(
      kind, [this, name = KindName(kind), handler = std::move(handler)](
                const v1::PeerRequest& request, peer::ReplyCallback respond) {
        Count(name, "received", request.ByteSizeLong());
        handler(request, [this, name,
                          respond = std::move(respond)](v1::PeerReply reply) {
          Count(name, "sent", reply.ByteSizeLong());
          respond(std::move(reply));
        });
      });
}

MeasuredLogService::MeasuredLogService(platform::LogService& inner,
                                       base::Metrics& metrics)
    : inner_(inner), metrics_(metrics) {}

void MeasuredLogService::Append(const std::string& stream, std::string record,
                                std::chrono::milliseconds timeout,
                                platform::OnAppended on_appended) {
  const base::Labels labels = {{"stream", StreamKind(stream)}};
  metrics_.Count("log_appends_total", labels);
  metrics_.Count("log_append_bytes_total", labels, record.size());
  inner_.Append(stream, std::move(record), timeout, std::move(on_appended));
}

void MeasuredLogService::Read(const std::string& stream, platform::Offset from,
                              std::uint32_t max_records,
                              std::chrono::milliseconds wait,
                              platform::OnPage on_page) {
  const base::Labels labels = {{"stream", StreamKind(stream)}};
  metrics_.Count("log_reads_total", labels);
  inner_.Read(
      stream, from, max_records, wait,
      [this, labels, on_page = std::move(on_page)](
          std::variant<platform::LogPage, platform::PlatformFailure> answer) {
        if (const auto* page = std::get_if<platform::LogPage>(&answer)) {
          std::size_t bytes = 0;
          for (const std::string& record : page->records) {
            bytes += record.size();
          }
          metrics_.Count("log_records_read_total", labels,
                         page->records.size());
          metrics_.Count("log_read_bytes_total", labels, bytes);
        } else {
          metrics_.Count("log_read_failures_total", labels);
        }
        on_page(std::move(answer));
      });
}

}  // namespace mulberryroad::daemon
