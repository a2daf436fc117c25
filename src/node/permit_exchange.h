// Permits for requests to upstreams with a rate limit: asks the allocator of
// each upstream and runs those of this node.
//
// The allocator of an upstream runs on the node that owns the batch partition
// to which the id of the upstream hashes. Its address is part of the name with
// which that node joined the group of owners.

#ifndef MULBERRYROAD_SRC_NODE_PERMIT_EXCHANGE_H_
#define MULBERRYROAD_SRC_NODE_PERMIT_EXCHANGE_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "base/metrics.h"
#include "base/structured_log.h"
#include "http/client.h"
#include "http/server.h"
#include "mulberryroad/clock.h"
#include "mulberryroad/endpoint.h"
#include "mulberryroad/permit.pb.h"
#include "platform/partition_store.h"
#include "serving/cold_upstreams.h"
#include "serving/limit_allocator.h"
#include "serving/permit_source.h"
#include "serving/upstream_statements.h"

namespace mulberryroad::node {

/// Returns the name with which a process joins the group of owners. It contains
/// the address, which other members read with MemberAddress().
/// @param process unique name of the process
/// @param address address for other nodes; nullopt if it has none
std::string MemberName(const std::string& process,
                       const std::optional<Endpoint>& address);
/// Returns the address in a member name, or nullopt if there is none.
std::optional<Endpoint> MemberAddress(const std::string& member);

/// Runs on the event loop thread.
class PermitExchange final : public serving::PermitSource {
 public:
  /// @param partitions number of batch partitions
  /// @param owns_partition returns whether this node owns a batch partition
  ///     and no other node can own it at the same time
  /// @param cold cold upstreams, which are reported in permit messages; null if
  ///     none has a limit. The statements must use the same.
  PermitExchange(base::EventLoop& loop, const Clock& clock,
                 base::StructuredLog& log, base::Metrics& metrics,
                 http::Client& client, platform::PartitionStore& store,
                 std::mt19937_64& random,
                 serving::UpstreamStatements& statements, int partitions,
                 std::function<bool(int)> owns_partition,
                 serving::ColdUpstreams* cold = nullptr);
  ~PermitExchange() override;
  PermitExchange(const PermitExchange&) = delete;
  PermitExchange& operator=(const PermitExchange&) = delete;

  /// Serves the requests of other nodes on this server.
  void Register(http::Server& server);
  /// Starts to follow the owners of the partitions.
  void Start();
  /// Returns the addresses of the nodes that own partitions.
  std::set<Endpoint> owner_addresses() const;

  void Acquire(std::vector<UpstreamId> candidates,
               serving::RequestPriority priority,
               std::chrono::milliseconds max_wait,
               std::function<void(serving::PermitResult)> on_result) override;

  /// Timeout of a request to another node; twenty times the usual response
  /// time.
  static constexpr std::chrono::milliseconds kRequestTimeout{100};
  /// Number of allocators that are asked before a permit is denied.
  static constexpr std::size_t kMaxAllocatorsAsked = 3;
  /// How long a permit may be used after its delay. Items are placed every 50
  /// ms.
  static constexpr std::chrono::milliseconds kPermitLifetime{200};
  static_assert(kRequestTimeout + kPermitLifetime <= serving::kMaxPermitAge);
  /// Time after which no permit of an earlier owner of a partition is in use:
  /// its longest delay and kMaxPermitAge, doubled.
  static constexpr std::chrono::milliseconds kSettleTime{1'100};
  /// Interval at which the ownership of the partitions is checked; shorter than
  /// a node can lose a partition and get it back.
  static constexpr std::chrono::milliseconds kOwnershipInterval{250};
  /// Interval at which the owners of the partitions are read.
  static constexpr std::chrono::milliseconds kOwnersInterval{10'000};
  /// Minimum interval after an owner that was read did not answer.
  static constexpr std::chrono::milliseconds kMinOwnersInterval{500};
  /// Timeout for reading the owners.
  static constexpr std::chrono::milliseconds kOwnersTimeout{800};
  /// Retry-After if no allocator answered: the time in which another node takes
  /// over the partitions of one that stopped.
  static constexpr std::chrono::milliseconds kRetryAfterNoAllocator{1'000};

 private:
  /// A permit that is being asked for.
  struct Pending {
    serving::RequestPriority priority = serving::RequestPriority::kCaller;
    std::chrono::milliseconds max_wait{0};
    std::function<void(serving::PermitResult)> on_result;
    /// Candidates by partition, and the order in which these are asked.
    std::map<int, std::vector<UpstreamId>> candidates;
    std::vector<int> partitions;
    std::size_t asked = 0;
    /// Candidates that were cold when their allocator was asked.
    std::set<UpstreamId> asked_cold;
    /// Time at which the last of them was asked.
    Instant asked_at{};
    /// Denial with the shortest retry delay so far.
    std::optional<serving::PermitDenied> denied;
  };

  int PartitionOf(const UpstreamId& id) const;
  v1::KnownLimit MakeKnownLimit(const UpstreamId& id) const;
  void RecordKnownLimit(const v1::KnownLimit& limit);
  void AskNext(const std::shared_ptr<Pending>& pending);
  void Send(const Endpoint& owner, const v1::PermitRequest& request,
            std::function<void(std::optional<v1::PermitReply>)> on_reply);
  void OnReply(const std::shared_ptr<Pending>& pending,
               const std::string& decided_by, const v1::PermitReply& reply);
  void Deny(const Pending& pending);
  /// Decides as the owner of the partition.
  v1::PermitReply Decide(const v1::PermitRequest& request);
  void ReplyToPeer(const std::shared_ptr<http::Exchange>& exchange);
  /// Reports to the allocator of an upstream that its limit has ended.
  void ReportEnd(const UpstreamId& id);
  void ReadOwners();
  /// Updates `owned_since_` and discards the state of upstreams of other
  /// partitions.
  void CheckOwnership();
  bool IsCold(const UpstreamId& id) const;
  /// Adds the permit after its delay.
  void OnGranted(const std::shared_ptr<Pending>& pending,
                 const v1::PermitReply& reply);

  base::EventLoop& loop_;
  const Clock& clock_;
  base::StructuredLog& log_;
  base::Metrics& metrics_;
  http::Client& client_;
  platform::PartitionStore& store_;
  std::mt19937_64& random_;
  serving::UpstreamStatements& statements_;
  int partitions_;
  std::function<bool(int)> owns_partition_;
  serving::LimitAllocator allocator_;
  std::map<int, Endpoint> owners_;
  std::optional<Instant> owners_read_at_;
  base::Timer owners_timer_;
  serving::ColdUpstreams* cold_;
  /// Partitions of this node, with the time since when it is known to own them.
  std::map<int, Instant> owned_since_;
  base::Timer ownership_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mulberryroad::node

#endif  // MULBERRYROAD_SRC_NODE_PERMIT_EXCHANGE_H_
