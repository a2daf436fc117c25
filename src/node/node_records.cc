// Records of the operator and registrations of upstreams, as the store and
// peers deliver them.

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "node/node_impl.h"
#include "platform/manifest_codec.h"
#include "platform/names.h"

namespace mulberryroad::node {

namespace {

using std::chrono::milliseconds;

// A registration that is removed within this time after a failed read may have
// expired because the store was unreachable.
constexpr milliseconds kStoreUnstablePeriod{3'500};
// Headers up to this multiple of the limit in the manifest are read and
// rejected with status 431; for larger ones the HTTP library closes the
// connection.
constexpr std::size_t kReadableHeadersFactor = 4;
// Keeps a manifest with a malformed time from closing all callers.
constexpr milliseconds kMinHeadTimeout{1'000};
// Callers reuse connections that were idle for up to four fifths of the idle
// timeout in the manifest; doubling it covers a newer manifest that has not
// reached this node yet.
constexpr int kIdleTimeoutFactor = 2;

http::ServerLimits LimitsFor(const serving::Limits& limits) {
  return {std::max(internal::kInitialServerLimits.max_body_bytes,
                   limits.max_body_bytes),
          std::max(internal::kInitialServerLimits.max_header_bytes,
                   kReadableHeadersFactor * limits.max_header_bytes),
          std::max(internal::kInitialServerLimits.client_timeout,
                   kIdleTimeoutFactor * limits.idle_timeout)};
}

// Returns the domain that a record of the operator evacuates, or nullopt if the
// record is of another kind or names no domain.
std::optional<FailureDomainId> EvacuatedDomain(const std::string& key) {
  const std::string_view prefix = platform_adapter::kEvacuationPrefix;
  return key.starts_with(prefix) && key.size() > prefix.size()
             ? std::optional(FailureDomainId(key.substr(prefix.size())))
             : std::nullopt;
}

}  // namespace

store::TailHandler Node::Impl::MakeOperatorHandler() {
  store::TailHandler handler;
  handler.on_read_succeeded = [this](Instant sent) {
    peers_.OnStoreAnswer(sent);
  };
  handler.on_snapshot =
      [this](const std::vector<platform::KeyedRecord>& records) {
        peers_.operator_records().Replace(records, operator_tail_->position());
        ApplyOperatorSnapshot(records, operator_tail_->position());
      };
  handler.on_record = [this](const platform::KeyedRecord& record) {
    peers_.operator_records().Apply(record);
    ApplyOperatorRecord(record);
  };
  return handler;
}

void Node::Impl::ApplyOperatorSnapshot(
    const std::vector<platform::KeyedRecord>& records, platform::Offset end) {
  std::map<FailureDomainId, std::uint64_t> evacuated;
  for (const platform::KeyedRecord& record : records) {
    const auto domain = EvacuatedDomain(record.key);
    if (domain.has_value() && record.value.has_value()) {
      evacuated.emplace(*domain, record.offset);
    }
  }
  // Before the manifest, which makes the node ready.
  for (const serving::EvacuationChange& change :
       directory_.evacuations().Replace(evacuated, end)) {
    OnEvacuationChanged(change);
  }
  for (const platform::KeyedRecord& record : records) {
    if (!EvacuatedDomain(record.key).has_value()) {
      ApplyOperatorRecord(record);
    }
  }
}

void Node::Impl::LogMissingPriorities(const serving::Manifest& manifest) {
  if (!manifest.uses_priorities) {
    return;
  }
  const auto has_none = [](const auto& entry) {
    return !entry.priority.has_value();
  };
  const auto& organisations = manifest.organisations;
  const auto routes =
      std::count_if(manifest.routes.begin(), manifest.routes.end(), has_none);
  const auto callers = organisations.has_value()
                           ? std::count_if(organisations->begin(),
                                           organisations->end(), has_none)
                           : 0;
  if (routes + callers > 0) {
    log_.Write("manifest.lowest_priority",
               {{"routes", static_cast<std::int64_t>(routes)},
                {"organisations", static_cast<std::int64_t>(callers)}});
  }
}

void Node::Impl::OnEvacuationChanged(const serving::EvacuationChange& change) {
  const auto& upstreams = directory_.all();
  const auto affected = std::count_if(
      upstreams.begin(), upstreams.end(), [&change](const auto& entry) {
        return entry.second.failure_domain == change.domain;
      });
  log_.Write(change.evacuated ? "domain.evacuated" : "domain.returned",
             {{"domain", change.domain.value()},
              {"upstreams", static_cast<std::int64_t>(affected)},
              {"evacuated_domains",
               static_cast<std::int64_t>(directory_.evacuations().size())}});
  if (!change.evacuated) {
    upstream_watch_.StartPaceOfDomain(change.domain);
  }
  batch_host_.OnManifestChanged();
}

void Node::Impl::ApplyOperatorRecord(const platform::KeyedRecord& record) {
  if (const auto domain = EvacuatedDomain(record.key)) {
    if (const auto change = directory_.evacuations().Apply(
            *domain, record.offset, record.value.has_value())) {
      OnEvacuationChanged(*change);
    }
    return;
  }
  const std::string value = record.value.value_or("");
  if (record.key == platform_adapter::kManifestKey) {
    auto manifest = platform_adapter::DecodeManifest(value);
    if (!manifest.has_value()) {
      log_.Write("manifest.malformed",
                 {{"offset", static_cast<std::int64_t>(record.offset)}});
      return;
    }
    const auto version = static_cast<std::int64_t>(manifest->version);
    const serving::Manifest* before = catalog_.manifest();
    const std::set<TargetId> left =
        before == nullptr ? std::set<TargetId>()
                          : serving::ServicesLeftByStreams(*before, *manifest);
    const bool newer = catalog_.Apply(*std::move(manifest));
    if (newer) {
      origins_.OnRoutesLeft(left);
      callers_.SetLimits(LimitsFor(catalog_.manifest()->limits));
      if (guard_ != nullptr) {
        guard_->budget().SetHeadTimeout(std::max(
            kMinHeadTimeout, catalog_.manifest()->limits.header_timeout));
      }
      batch_host_.OnManifestChanged();
      for (const TargetId& service :
           cold_.SetServices(catalog_.manifest()->services, clock_.now())) {
        log_.Write("manifest.cold_clamped", {{"service", service.value()}});
      }
      upstream_watch_.SetSlowStartServices(*catalog_.manifest());
      LogMissingPriorities(*catalog_.manifest());
    }
    log_.Write("manifest", {{"version", version}, {"in_force", newer}});
    return;
  }
  if (record.key == platform_adapter::kEvacuationPrefix) {
    log_.Write("domain.unnamed",
               {{"offset", static_cast<std::int64_t>(record.offset)}});
    return;
  }
  if (record.key.starts_with(platform_adapter::kPublishedVersionPrefix)) {
    if (const auto published =
            platform_adapter::DecodePublishedVersion(value)) {
      weights_.OnVersionPublished(published->model, published->version);
    }
  }
}

bool Node::Impl::store_unstable() const {
  const auto failure = registration_tail_->last_failure();
  return failure.has_value() && clock_.now() < *failure + kStoreUnstablePeriod;
}

store::TailHandler Node::Impl::MakeRegistrationHandler() {
  store::TailHandler handler;
  handler.on_read_succeeded = [this](Instant sent) {
    peers_.OnStoreAnswer(sent);
  };
  handler.on_snapshot =
      [this](const std::vector<platform::KeyedRecord>& records) {
        peers_.registrations().Replace(records, registration_tail_->position());
        upstream_watch_.ApplySnapshot(records, store_unstable());
        origins_.DeclareListedVersions();
      };
  handler.on_record = [this](const platform::KeyedRecord& record) {
    peers_.registrations().Apply(record);
    upstream_watch_.Apply(record, store_unstable());
    origins_.DeclareListedVersions();
  };
  return handler;
}

}  // namespace mulberryroad::node
