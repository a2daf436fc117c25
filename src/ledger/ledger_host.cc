#include "ledger/ledger_host.h"

#include <chrono>
#include <optional>
#include <utility>

#include "ledger/ledger_partition.h"

namespace mulberryroad::ledger {

namespace {

constexpr std::chrono::milliseconds kUpkeepInterval = std::chrono::seconds{1};

}  // namespace

std::string PartitionName(std::uint32_t partition) {
  return "ledger/" + std::to_string(partition);
}

LedgerHost::LedgerHost(base::EventLoop& loop, const Clock& clock,
                       peer::Transport& transport, membership::Members& members,
                       lease::Leases& leases, log::Journal& journal,
                       std::uint32_t partitions)
    : clock_(clock), members_(members), leases_(leases) {
  for (std::uint32_t number = 0; number < partitions; ++number) {
    partitions_.push_back(
        std::make_shared<Partition>(leases, journal, PartitionName(number)));
  }
  transport.Handle(
      v1::PeerRequest::kLedger,
      [this](const v1::PeerRequest& request, peer::ReplyCallback respond) {
        Serve(request.ledger(),
              [respond = std::move(respond)](v1::LedgerReply ledger_reply) {
                v1::PeerReply reply;
                *reply.mutable_ledger() = std::move(ledger_reply);
                respond(std::move(reply));
              });
      });
  connections_.push_back(
      leases_.gained().connect([this](const RoleId& role, std::uint64_t epoch) {
        if (Partition* partition = Find(role)) {
          partition->Open(epoch);
        }
      }));
  connections_.push_back(leases_.lost().connect([this](const RoleId& role) {
    if (Partition* partition = Find(role)) {
      partition->Close();
    }
  }));
  connections_.push_back(members_.changed().connect([this] { Rebalance(); }));
  upkeep_timer_ = loop.Every(kUpkeepInterval, [this] {
    Rebalance();
    for (const std::shared_ptr<Partition>& partition : partitions_) {
      partition->Maintain(clock_.wall_now());
    }
  });
  Rebalance();
}

LedgerHost::~LedgerHost() {
  for (sigc::connection& connection : connections_) {
    connection.disconnect();
  }
}

void LedgerHost::Rebalance() {
  for (const std::shared_ptr<Partition>& partition : partitions_) {
    const std::optional<v1::Member> owner = members_.Owner(partition->name());
    const bool own =
        owner.has_value() && owner->node_id() == members_.self().node_id();
    leases_.Want(RoleId(partition->name()), own);
  }
}

LedgerHost::Partition* LedgerHost::Find(const RoleId& role) const {
  for (const std::shared_ptr<Partition>& partition : partitions_) {
    if (partition->name() == role.value()) {
      return partition.get();
    }
  }
  return nullptr;
}

void LedgerHost::Serve(const v1::LedgerCall& call, OnLedgerReply on_reply) {
  if (call.partition() >= partitions_.size()) {
    v1::LedgerReply reply;
    reply.set_outcome(v1::LedgerReply::NOT_HOLDER);
    on_reply(std::move(reply));
    return;
  }
  const std::shared_ptr<Partition> partition = partitions_[call.partition()];
  if (call.has_begin()) {
    partition->Begin(call.begin(), std::move(on_reply));
  } else {
    partition->Finish(call.finish(), std::move(on_reply));
  }
}

std::vector<log::LedStream> LedgerHost::led_streams() const {
  std::vector<log::LedStream> led;
  for (const std::shared_ptr<Partition>& partition : partitions_) {
    if (partition->serving()) {
      led.push_back({partition->name(), [partition](v1::Snapshot* snapshot) {
                       partition->Save(snapshot);
                     }});
    }
  }
  return led;
}

bool LedgerHost::serves(std::uint32_t partition) const {
  return partition < partitions_.size() && partitions_[partition]->serving();
}

}  // namespace mulberryroad::ledger
