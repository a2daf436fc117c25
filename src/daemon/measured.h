// Decorators that count the messages and bytes of control traffic.

#ifndef MULBERRYROAD_SRC_DAEMON_MEASURED_H_
#define MULBERRYROAD_SRC_DAEMON_MEASURED_H_

#include <string>

#include "base/metrics.h"
#include "mulberryroad/clock.h"
#include "peer/transport.h"
#include "platform/log_service.h"

namespace mulberryroad::daemon {

/// Counts calls between nodes by kind and direction:
/// peer_messages_total and peer_bytes_total, and observes peer_call_seconds.
class MeasuredTransport final : public peer::Transport {
 public:
  MeasuredTransport(peer::Transport& inner, const Clock& clock,
                    base::Metrics& metrics);

  void Call(const Endpoint& node, v1::PeerRequest request,
            std::chrono::milliseconds timeout, peer::OnReply on_reply) override;
  void Handle(v1::PeerRequest::KindCase kind,
              peer::CallHandler handler) override;

 private:
  void Count(const std::string& kind, const std::string& direction,
             std::size_t bytes);

  peer::Transport& inner_;
  const Clock& clock_;
  base::Metrics& metrics_;
};

/// Counts appends and reads of the log by kind of stream:
/// log_appends_total, log_append_bytes_total, log_read_bytes_total,
/// log_records_read_total.
class MeasuredLogService final : public platform::LogService {
 public:
  MeasuredLogService(platform::LogService& inner, base::Metrics& metrics);

  void Append(const std::string& stream, std::string record,
              std::chrono::milliseconds timeout,
              platform::OnAppended on_appended) override;
  void Read(const std::string& stream, platform::Offset from,
            std::uint32_t max_records, std::chrono::milliseconds wait,
            platform::OnPage on_page) override;

 private:
  platform::LogService& inner_;
  base::Metrics& metrics_;
};

}  // namespace mulberryroad::daemon

#endif  // MULBERRYROAD_SRC_DAEMON_MEASURED_H_
