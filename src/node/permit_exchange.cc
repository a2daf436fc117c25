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

PermitExchange::PermitExchange(base::EventLoop& loop, const Clock& clock,
                               base::StructuredLog& log, base::Metrics& metrics,
                               http::Client& client,
                               platform::PartitionStore& store,
                               std::mt19937_64& random,
                               serving::UpstreamStatements& statements,
                               int partitions,
                               std::function<bool(int)> owns_partition)
    : loop_(loop),
      clock_(clock),
      log_(log),
      metrics_(metrics),
      client_(client),
      store_(store),
      random_(random),
      statements_(statements),
      partitions_(partitions),
      owns_partition_(std::move(owns_partition)) {
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
  if (const auto statement = statements_.find(id)) {
    known.set_limited(statement->requests_per_second.has_value());
    known.set_requests_per_second(statement->requests_per_second.value_or(0));
    known.set_started_ms(statement->started.count());
    known.set_age_ms(static_cast<std::uint64_t>(
        duration_cast<milliseconds>(clock_.now() - statement->learned)
            .count()));
  }
  return known;
}

void PermitExchange::RecordKnownLimit(const v1::KnownLimit& limit) {
  serving::KnownStatement known;
  known.started = milliseconds(limit.started_ms());
  if (limit.limited()) {
    known.requests_per_second = limit.requests_per_second();
  }
  known.learned = clock_.now() - milliseconds(limit.age_ms());
  statements_.OnReported(UpstreamId(limit.upstream()), known);
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
    request.set_max_wait_ms(
        static_cast<std::uint64_t>(pending->max_wait.count()));
    for (const UpstreamId& id : pending->candidates[partition]) {
      *request.add_candidates() = MakeKnownLimit(id);
    }
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
    metrics_.Count("permits_total", {{"result", "granted"}});
    const UpstreamId id(reply.upstream());
    const auto grant = [this, pending, id] {
      statements_.AddPermit(id, clock_.now() + kPermitLifetime);
      pending->on_result(serving::PermitGranted{});
    };
    if (reply.delay_ms() == 0) {
      grant();
      return;
    }
    const auto timer = std::make_shared<base::Timer>();
    *timer = loop_.After(milliseconds(reply.delay_ms()),
                         [timer, alive = alive_, grant] {
                           if (*alive) {
                             grant();
                           }
                         });
    return;
  }
  if (reply.ended_size() > 0) {
    pending->on_result(serving::PermitGranted{});
    return;
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
  for (const v1::KnownLimit& candidate : request.candidates()) {
    RecordKnownLimit(candidate);
    const UpstreamId id(candidate.upstream());
    if (const auto limit = statements_.limit(id)) {
      limited.push_back({id, *limit});
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
      milliseconds(request.max_wait_ms()), clock_.now());
  if (const auto* allocated = std::get_if<serving::Allocated>(&allocation)) {
    reply.set_upstream(allocated->upstream.value());
    reply.set_delay_ms(static_cast<std::uint64_t>(allocated->delay.count()));
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
