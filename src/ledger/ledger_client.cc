#include "ledger/ledger_client.h"

#include <chrono>
#include <optional>
#include <utility>

#include "ledger/ledger_table.h"

namespace mulberryroad::ledger {

namespace {

constexpr std::chrono::milliseconds kCallTimeout = std::chrono::seconds{5};
constexpr std::uint64_t kRetryAfterMs = 1'000;

v1::LedgerReply Unreachable() {
  v1::LedgerReply reply;
  reply.set_outcome(v1::LedgerReply::NOT_HOLDER);
  reply.set_retry_after_ms(kRetryAfterMs);
  return reply;
}

}  // namespace

LedgerClient::LedgerClient(peer::Transport& transport,
                           membership::Members& members, LedgerHost& local,
                           std::uint32_t partitions)
    : transport_(transport),
      members_(members),
      local_(local),
      partitions_(partitions) {}

void LedgerClient::Begin(v1::LedgerIntent intent, OnLedgerReply on_reply) {
  v1::LedgerCall call;
  call.set_partition(PartitionOf(KeyOf(intent), partitions_));
  *call.mutable_begin() = std::move(intent);
  Call(std::move(call), std::move(on_reply));
}

void LedgerClient::Finish(v1::LedgerOutcome outcome, OnLedgerReply on_reply) {
  v1::LedgerCall call;
  call.set_partition(PartitionOf(KeyOf(outcome), partitions_));
  *call.mutable_finish() = std::move(outcome);
  Call(std::move(call), std::move(on_reply));
}

void LedgerClient::Call(v1::LedgerCall call, OnLedgerReply on_reply) {
  const std::optional<v1::Member> owner =
      members_.Owner(PartitionName(call.partition()));
  const bool local =
      owner.has_value() && owner->node_id() == members_.self().node_id();
  if (local || local_.serves(call.partition())) {
    local_.Serve(call, std::move(on_reply));
    return;
  }
  const std::optional<Endpoint> endpoint =
      owner.has_value() ? ParseEndpoint(owner->peer_endpoint()) : std::nullopt;
  if (!endpoint.has_value()) {
    on_reply(Unreachable());
    return;
  }
  v1::PeerRequest request;
  *request.mutable_ledger() = std::move(call);
  transport_.Call(
      *endpoint, std::move(request), kCallTimeout,
      [on_reply = std::move(on_reply)](
          const std::optional<v1::PeerReply>& reply, const std::string&) {
        on_reply(reply.has_value() && reply->has_ledger() ? reply->ledger()
                                                          : Unreachable());
      });
}

}  // namespace mulberryroad::ledger
