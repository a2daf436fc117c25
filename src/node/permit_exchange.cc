#include "node/permit_exchange.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/digest.h"
#include "batches/batch_host.h"
#include "batches/batch_keys.h"

namespace mulberryroad::node {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr char kPermitPath[] = "/peer/permit";
constexpr char kAddressSeparator = '@';
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;

}  // namespace

std::string MemberName(const std::string& process,
                       const std::optional<Endpoint>& address) {
  return address.has_value() ? process + kAddressSeparator + ToString(*address)
                             : process;
}

std::optional<Endpoint> MemberAddress(const std::string& member) {
  const std::size_t separator = member.rfind(kAddressSeparator);
  return separator == std::string::npos
             ? std::nullopt
             : ParseEndpoint(member.substr(separator + 1));
}

PermitExchange::PermitExchange(
    base::EventLoop& loop, const Clock& clock, base::StructuredLog& log,
    base::Metrics& metrics, http::Client& client,
    platform::PartitionStore& store, std::mt19937_64& random,
    serving::UpstreamStatements& statements, int partitions,
    std::function<bool(int)> owns_partition, serving::ColdUpstreams* cold)
    : loop_(loop),
      clock_(clock),
      log_(log),
      metrics_(metrics),
      client_(client),
      store_(store),
      random_(random),
      statements_(statements),
      partitions_(partitions),
      owns_partition_(std::move(owns_partition)),
      cold_(cold) {
  statements_.on_limit_changed().connect(
      [this](const serving::LimitChange& change) {
        if (!change.requests_per_second.has_value() && !change.reported) {
          ReportEnd(change.upstream);
        }
      });
}

PermitExchange::~PermitExchange() { *alive_ = false; }

void PermitExchange::Register(http::Server& server) {
  server.Route(http::Method::kPost, kPermitPath,
               [this](const std::shared_ptr<http::Exchange>& exchange) {
                 ReplyToPeer(exchange);
               });
}

void PermitExchange::Start() {
  ReadOwners();
  owners_timer_ = loop_.Every(kOwnersInterval, [this] {
    allocator_.Expire(clock_.now());
    ReadOwners();
  });
  CheckOwnership();
  ownership_timer_ =
      loop_.Every(kOwnershipInterval, [this] { CheckOwnership(); });
}

void PermitExchange::CheckOwnership() {
  const Instant now = clock_.now();
  for (int partition = 0; partition < partitions_; ++partition) {
    if (owns_partition_(partition)) {
      owned_since_.try_emplace(partition, now);
    } else {
      owned_since_.erase(partition);
    }
  }
  allocator_.Retain([this](const UpstreamId& id) {
    return owned_since_.contains(PartitionOf(id));
  });
}

bool PermitExchange::IsCold(const UpstreamId& id) const {
  return statements_.cold_grant(id, clock_.now()).has_value();
}

std::set<Endpoint> PermitExchange::owner_addresses() const {
  std::set<Endpoint> addresses;
  for (const auto& [partition, address] : owners_) {
    addresses.insert(address);
  }
  return addresses;
}

int PermitExchange::PartitionOf(const UpstreamId& id) const {
  return static_cast<int>(base::StableHash(id.value()) %
                          static_cast<std::uint64_t>(partitions_));
}

v1::KnownLimit PermitExchange::MakeKnownLimit(const UpstreamId& id) const {
  v1::KnownLimit known;
  known.set_upstream(id.value());
  const auto statement = statements_.find(id);
  if (statement.has_value()) {
    known.set_limited(statement->requests_per_second.has_value());
    known.set_requests_per_second(statement->requests_per_second.value_or(0));
    known.set_started_ms(statement->started.count());
    known.set_age_ms(static_cast<std::uint64_t>(
        duration_cast<milliseconds>(clock_.now() - statement->learned)
            .count()));
  }
  const Instant now = clock_.now();
  const auto process = cold_ != nullptr ? cold_->find(id, now) : std::nullopt;
  if (!process.has_value() || !process->grant.has_value()) {
    return known;
  }
  v1::ColdUpstream* cold = known.mutable_cold();
  cold->set_left_ms(
      static_cast<std::uint64_t>(cold_->ReportedTime(id, now).count()));
  cold->set_requests_per_second(process->grant->requests_per_second);
  if (statement.has_value()) {
    cold->set_stated(true);
    cold->set_limited(known.limited());
    cold->set_stated_requests_per_second(known.requests_per_second());
    cold->set_stated_age_ms(known.age_ms());
    cold->set_stated_started_ms(known.started_ms());
  }
  known.set_limited(true);
  known.set_requests_per_second(
      statements_.limit(id, now).value_or(cold->requests_per_second()));
  known.set_started_ms(
      std::max<std::int64_t>(known.started_ms(), process->started.count()));
  // An older age would lose against a response without a limit that the
  // allocator received since.
  known.set_age_ms(0);
  return known;
}

void PermitExchange::RecordKnownLimit(const v1::KnownLimit& limit) {
  serving::KnownStatement known;
  const UpstreamId id(limit.upstream());
  if (limit.has_cold()) {
    const v1::ColdUpstream& cold = limit.cold();
    if (cold_ != nullptr) {
      constexpr auto kLongest = static_cast<std::uint64_t>(
          milliseconds(serving::ColdUpstreams::kMaxColdTime).count());
      cold_->OnReported(id, milliseconds(limit.started_ms()),
                        milliseconds(std::min(cold.left_ms(), kLongest)),
                        cold.requests_per_second(), clock_.now());
    }
    if (cold.stated()) {
      known.started = milliseconds(cold.stated_started_ms());
      if (cold.limited()) {
        known.requests_per_second = cold.stated_requests_per_second();
      }
      known.learned = clock_.now() - milliseconds(cold.stated_age_ms());
      statements_.OnReported(id, known);
    }
    return;
  }
  known.started = milliseconds(limit.started_ms());
  if (limit.limited()) {
    known.requests_per_second = limit.requests_per_second();
  }
  known.learned = clock_.now() - milliseconds(limit.age_ms());
  statements_.OnReported(id, known);
}

void PermitExchange::Acquire(
    std::vector<UpstreamId> candidates, serving::RequestPriority priority,
    milliseconds max_wait,
    std::function<void(serving::PermitResult)> on_result) {
  const auto pending = std::make_shared<Pending>();
  pending->priority = priority;
  pending->max_wait = max_wait;
  pending->on_result = std::move(on_result);
  for (UpstreamId& candidate : candidates) {
    pending->candidates[PartitionOf(candidate)].push_back(std::move(candidate));
  }
  for (const auto& [partition, ids] : pending->candidates) {
    pending->partitions.push_back(partition);
  }
  std::shuffle(pending->partitions.begin(), pending->partitions.end(), random_);
  AskNext(pending);
}

void PermitExchange::AskNext(const std::shared_ptr<Pending>& pending) {
  const std::size_t most =
      std::min(pending->partitions.size(), kMaxAllocatorsAsked);
  while (pending->asked < most) {
    const int partition = pending->partitions[pending->asked++];
    v1::PermitRequest request;
    request.set_partition(static_cast<std::uint32_t>(partition));
    request.set_background(pending->priority ==
                           serving::RequestPriority::kBackground);
    milliseconds max_wait = pending->max_wait;
    for (const UpstreamId& id : pending->candidates[partition]) {
      *request.add_candidates() = MakeKnownLimit(id);
      if (request.candidates().rbegin()->has_cold()) {
        pending->asked_cold.insert(id);
        // An allocator of an earlier version does not bound the delay.
        max_wait = std::min<milliseconds>(
            max_wait, serving::LimitAllocator::kMaxColdDelay);
      }
    }
    request.set_max_wait_ms(static_cast<std::uint64_t>(max_wait.count()));
    pending->asked_at = clock_.now();
    if (owns_partition_(partition)) {
      OnReply(pending, "self", Decide(request));
      return;
    }
    const auto owner = owners_.find(partition);
    if (owner == owners_.end()) {
      ReadOwners();
      continue;
    }
    Send(owner->second, request,
         [this, pending, partition, decided_by = ToString(owner->second)](
             const std::optional<v1::PermitReply>& reply) {
           if (reply.has_value()) {
             OnReply(pending, decided_by, *reply);
           } else {
             owners_.erase(partition);
             ReadOwners();
             AskNext(pending);
           }
         });
    return;
  }
  Deny(*pending);
}

void PermitExchange::Send(
    const Endpoint& owner, const v1::PermitRequest& request,
    std::function<void(std::optional<v1::PermitReply>)> on_reply) {
  http::ClientRequest call;
  call.endpoint = owner;
  call.method = http::Method::kPost;
  call.path = kPermitPath;
  call.body = request.SerializeAsString();
  call.connect_timeout = kRequestTimeout;
  call.timeout = kRequestTimeout;
  client_.Send(std::move(call), [this, alive = alive_, owner,
                                 on_reply = std::move(on_reply)](
                                    const http::Result& result) {
    if (!*alive) {
      return;
    }
    const auto* response = std::get_if<http::Response>(&result);
    v1::PermitReply reply;
    if (response != nullptr && response->status == kOk &&
        reply.ParseFromString(response->body)) {
      on_reply(std::move(reply));
      return;
    }
    const auto* failure = std::get_if<http::Failure>(&result);
    metrics_.Count("permit_requests_failed_total", {});
    log_.Write(
        "permit.no_reply",
        {{"owner", ToString(owner)},
         {"reason", failure != nullptr ? failure->reason
                                       : "it does not own the partition"}});
    on_reply(std::nullopt);
  });
}

void PermitExchange::OnReply(const std::shared_ptr<Pending>& pending,
                             const std::string& decided_by,
                             const v1::PermitReply& reply) {
  for (const v1::KnownLimit& limit : reply.ended()) {
    RecordKnownLimit(limit);
  }
  if (!reply.upstream().empty()) {
    OnGranted(pending, reply);
    return;
  }
  if (reply.ended_size() > 0) {
    // To this node, the upstream can still be cold.
    const bool ended =
        std::any_of(reply.ended().begin(), reply.ended().end(),
                    [this](const v1::KnownLimit& limit) {
                      return !IsCold(UpstreamId(limit.upstream()));
                    });
    if (ended) {
      pending->on_result(serving::PermitGranted{});
    } else {
      AskNext(pending);
    }
    return;
  }
  if (reply.next().has_cold()) {
    RecordKnownLimit(reply.next());
  }
  const serving::PermitDenied denied{
      milliseconds(reply.retry_ms()), UpstreamId(reply.next().upstream()),
      reply.next().requests_per_second(), milliseconds(reply.next().age_ms()),
      decided_by};
  if (!pending->denied.has_value() ||
      denied.retry_after < pending->denied->retry_after) {
    pending->denied = denied;
  }
  AskNext(pending);
}

void PermitExchange::OnGranted(const std::shared_ptr<Pending>& pending,
                               const v1::PermitReply& reply) {
  metrics_.Count("permits_total", {{"result", "granted"}});
  const UpstreamId id(reply.upstream());
  if (reply.granted().has_cold()) {
    RecordKnownLimit(reply.granted());
  }
  // An allocator of an earlier version knows the limit from the request only.
  const bool for_cold =
      reply.granted().has_cold() || pending->asked_cold.contains(id);
  // Counted from the request: this node may have been late to read the reply,
  // or to run the timer.
  const milliseconds delay(reply.delay_ms());
  const Instant usable_until =
      std::min(clock_.now() + kPermitLifetime,
               pending->asked_at + serving::kMaxPermitAge) +
      delay;
  const auto grant = [this, pending, id, usable_until, for_cold] {
    statements_.AddPermit(id, usable_until, for_cold);
    pending->on_result(serving::PermitGranted{});
  };
  if (delay == milliseconds(0)) {
    grant();
    return;
  }
  const auto timer = std::make_shared<base::Timer>();
  *timer = loop_.After(delay, [timer, alive = alive_, grant] {
    if (*alive) {
      grant();
    }
  });
}

void PermitExchange::Deny(const Pending& pending) {
  metrics_.Count(
      "permits_total",
      {{"result", pending.denied.has_value() ? "denied" : "no allocator"}});
  pending.on_result(pending.denied.value_or(
      serving::PermitDenied{.retry_after = kRetryAfterNoAllocator}));
}

v1::PermitReply PermitExchange::Decide(const v1::PermitRequest& request) {
  v1::PermitReply reply;
  std::vector<serving::LimitedUpstream> limited;
  const Instant now = clock_.now();
  for (const v1::KnownLimit& candidate : request.candidates()) {
    RecordKnownLimit(candidate);
    const UpstreamId id(candidate.upstream());
    if (const auto limit = statements_.limit(id, now)) {
      serving::LimitedUpstream upstream{id, *limit};
      if (const auto cold = statements_.cold_grant(id, now)) {
        const auto owned = owned_since_.find(PartitionOf(id));
        upstream.cold_burst = cold->burst;
        upstream.settled =
            owned != owned_since_.end() && owned->second + kSettleTime <= now;
      }
      limited.push_back(std::move(upstream));
    } else {
      *reply.add_ended() = MakeKnownLimit(id);
    }
  }
  if (request.report_only() || reply.ended_size() > 0 || limited.empty()) {
    return reply;
  }
  const serving::Allocation allocation = allocator_.Allocate(
      limited,
      request.background() ? serving::RequestPriority::kBackground
                           : serving::RequestPriority::kCaller,
      milliseconds(request.max_wait_ms()), now);
  if (const auto* allocated = std::get_if<serving::Allocated>(&allocation)) {
    reply.set_upstream(allocated->upstream.value());
    reply.set_delay_ms(static_cast<std::uint64_t>(allocated->delay.count()));
    if (IsCold(allocated->upstream)) {
      *reply.mutable_granted() = MakeKnownLimit(allocated->upstream);
    }
  } else {
    const auto& denied = std::get<serving::NotAllocated>(allocation);
    *reply.mutable_next() = MakeKnownLimit(denied.upstream);
    reply.set_retry_ms(static_cast<std::uint64_t>(denied.retry_after.count()));
  }
  return reply;
}

void PermitExchange::ReplyToPeer(
    const std::shared_ptr<http::Exchange>& exchange) {
  v1::PermitRequest request;
  if (!request.ParseFromString(exchange->request().body)) {
    exchange->Reply(kBadRequest, "");
    return;
  }
  if (!owns_partition_(static_cast<int>(request.partition()))) {
    exchange->Reply(kConflict, "");
    return;
  }
  exchange->Reply(kOk, Decide(request).SerializeAsString(),
                  {{"Content-Type", "application/octet-stream"}});
}

void PermitExchange::ReportEnd(const UpstreamId& id) {
  const int partition = PartitionOf(id);
  const auto owner = owners_.find(partition);
  if (owns_partition_(partition) || owner == owners_.end()) {
    return;
  }
  v1::PermitRequest request;
  request.set_partition(static_cast<std::uint32_t>(partition));
  request.set_report_only(true);
  *request.add_candidates() = MakeKnownLimit(id);
  // Without the report, the allocator learns of the end with the next request
  // for a permit.
  Send(owner->second, request, [](const std::optional<v1::PermitReply>&) {});
}

void PermitExchange::ReadOwners() {
  const Instant now = clock_.now();
  if (owners_read_at_.has_value() &&
      now < *owners_read_at_ + kMinOwnersInterval) {
    return;
  }
  owners_read_at_ = now;
  store_.ListOwners(
      batches::kOwnersGroup, kOwnersTimeout,
      [this, alive = alive_](const platform::OwnersOutcome& outcome) {
        const auto* listed = std::get_if<platform::PartitionOwners>(&outcome);
        if (!*alive || listed == nullptr) {
          return;
        }
        owners_.clear();
        for (const auto& [partition, member] : listed->owners) {
          if (const auto address = MemberAddress(member);
              address.has_value() && partition.topic == batches::kBatchTopic) {
            owners_.emplace(partition.number, *address);
          }
        }
      });
}

}  // namespace mulberryroad::node
