#include "node/upstream_watch.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "platform/manifest_codec.h"

namespace mulberryroad::node {

using std::chrono::milliseconds;

UpstreamWatch::UpstreamWatch(const Clock& clock, base::StructuredLog& log,
                             base::Metrics& metrics,
                             serving::UpstreamDirectory& directory,
                             serving::UpstreamLoads& request_loads,
                             serving::UpstreamLoads& item_loads,
                             serving::UpstreamStatements& statements,
                             serving::ColdUpstreams& cold)
    : clock_(clock),
      log_(log),
      metrics_(metrics),
      directory_(directory),
      request_loads_(request_loads),
      item_loads_(item_loads),
      statements_(statements),
      cold_(cold) {
  LogHealth(request_loads_, "requests");
  LogHealth(item_loads_, "items");
  LogPace(request_loads_, "requests");
  LogPace(item_loads_, "items");
  LogLimits();
  FollowLeaving();
  FollowCold();
  RegisterPaceGauge();
}

void UpstreamWatch::FollowCold() {
  metrics_.Gauge("upstreams_cold", [this] {
    return static_cast<double>(cold_.count(clock_.now()));
  });
  cold_.on_cold().connect([this](const serving::ColdPeriod& period) {
    log_.Write("upstream.cold", {{"upstream", period.upstream.value()},
                                 {"cold_ms", period.left.count()},
                                 {"source", ToString(period.source)}});
  });
}

void UpstreamWatch::RecordCold(const serving::Registration& registration,
                               platform::Offset offset) {
  // A process that this node reads for the first time has just started, unless
  // this node has, too.
  const bool just_started =
      has_snapshot_ || UnixTime(clock_.wall_now()) - registration.started <
                           milliseconds(serving::ColdUpstreams::kMaxColdTime);
  if (!cold_.OnRegistered(registration, static_cast<std::uint64_t>(offset),
                          just_started, clock_.now())) {
    log_.Write("upstream.cold_clamped",
               {{"upstream", registration.id.value()},
                {"cold_ms", registration.cold_left->count()}});
  }
}

void UpstreamWatch::LogPace(serving::UpstreamLoads& loads,
                            const std::string& work) {
  loads.on_pace_begun().connect([this, work](const serving::PaceBegin& begin) {
    log_.Write("upstream.pace",
               {{"upstream", begin.upstream.value()},
                {"work", work},
                {"cause", std::string(serving::PaceCauseName(begin.cause))}});
  });
  loads.on_settled().connect([this, work](const serving::PaceEnd& end) {
    log_.Write("upstream.settled", {{"upstream", end.upstream.value()},
                                    {"work", work},
                                    {"took_ms", end.took.count()}});
  });
}

void UpstreamWatch::RegisterPaceGauge() {
  metrics_.Gauge("upstreams_below_slots", [this] {
    return static_cast<double>(
        std::ranges::count_if(directory_.all(), [this](const auto& entry) {
          return request_loads_.below_slots(entry.first) ||
                 item_loads_.below_slots(entry.first);
        }));
  });
}

void UpstreamWatch::RecordRegistration(
    const serving::Registration& registration) {
  const Instant now = clock_.now();
  request_loads_.OnRegistered(registration, !has_snapshot_, now);
  item_loads_.OnRegistered(registration, !has_snapshot_, now);
}

// Where upstreams are at full speed at once, a slow start only leaves slots
// idle and delays the longest items of a step.
void UpstreamWatch::SetSlowStartServices(const serving::Manifest& manifest) {
  std::set<TargetId> services;
  for (const serving::Service& service : manifest.services) {
    if (service.cold_start.after_start > milliseconds(0)) {
      services.insert(service.name);
    }
  }
  request_loads_.SetSlowStartServices(services);
  item_loads_.SetSlowStartServices(std::move(services));
}

void UpstreamWatch::StartPaceOfDomain(const FailureDomainId& domain) {
  const Instant now = clock_.now();
  for (const auto& [id, registration] : directory_.all()) {
    if (registration.failure_domain == domain) {
      request_loads_.StartPace(id, serving::PaceCause::kReturned, now);
      item_loads_.StartPace(id, serving::PaceCause::kReturned, now);
    }
  }
}

void UpstreamWatch::FollowLeaving() {
  statements_.on_leaving().connect(
      [this](const serving::LeavingUpstream& leaving) {
        metrics_.Count("upstreams_leaving_total", {});
        log_.Write("upstream.leaving", {{"upstream", leaving.upstream.value()},
                                        {"started", leaving.started.count()}});
        directory_.MarkLeaving(leaving.upstream, leaving.started, clock_.now());
      });
}

void UpstreamWatch::LogLimits() {
  statements_.on_limit_changed().connect(
      [this](const serving::LimitChange& change) {
        metrics_.Count(
            "upstream_limit_changes_total",
            {{"limited",
              change.requests_per_second.has_value() ? "true" : "false"}});
        log_.Write(
            "upstream.limit",
            {{"upstream", change.upstream.value()},
             {"limited", change.requests_per_second.has_value()},
             {"requests_per_second", change.requests_per_second.value_or(0)}});
      });
}

void UpstreamWatch::LogHealth(serving::UpstreamLoads& loads,
                              const std::string& work) {
  loads.health().on_ejected().connect(
      [this, work](const serving::Ejection& ejection) {
        metrics_.Count("upstream_ejections_total", {{"work", work}});
        log_.Write("upstream.ejected",
                   {{"upstream", ejection.upstream.value()},
                    {"work", work},
                    {"failures_in_a_row",
                     static_cast<std::int64_t>(ejection.failures_in_a_row)},
                    {"failure_share", ejection.failure_share},
                    {"time_ms", ejection.duration.count()}});
      });
  loads.health().on_readmitted().connect([this, work](const UpstreamId& id,
                                                      Instant /*now*/) {
    log_.Write("upstream.returned", {{"upstream", id.value()}, {"work", work}});
  });
}

void UpstreamWatch::ApplySnapshot(
    const std::vector<platform::KeyedRecord>& records, bool store_unstable) {
  std::vector<serving::Registration> all;
  for (const platform::KeyedRecord& record : records) {
    if (auto registration = platform_adapter::DecodeRegistration(
            record.key, record.value.value_or(""))) {
      ResetLoadIfRestarted(*registration);
      RecordCold(*registration, record.offset);
      RecordRegistration(*registration);
      all.push_back(*std::move(registration));
    }
  }
  log_.Write("upstreams.list",
             {{"count", static_cast<std::int64_t>(all.size())}});
  directory_.Replace(std::move(all), store_unstable, clock_.now());
  has_snapshot_ = true;
}

void UpstreamWatch::Apply(const platform::KeyedRecord& record,
                          bool store_unstable) {
  const UpstreamId id(record.key);
  if (!record.value.has_value()) {
    log_.Write("upstream.removed",
               {{"upstream", id.value()}, {"store_unstable", store_unstable}});
    directory_.Remove(id, store_unstable, clock_.now());
    return;
  }
  auto registration =
      platform_adapter::DecodeRegistration(record.key, *record.value);
  if (!registration.has_value()) {
    log_.Write("upstream.malformed", {{"upstream", id.value()}});
    directory_.Remove(id, /*store_unstable=*/false, clock_.now());
    return;
  }
  const serving::Registration* known = directory_.find(id);
  if (ResetLoadIfRestarted(*registration) || known == nullptr ||
      known->draining != registration->draining) {
    log_.Write("upstream", {{"upstream", id.value()},
                            {"service", registration->service.value()},
                            {"software", registration->software},
                            {"draining", registration->draining}});
  }
  RecordCold(*registration, record.offset);
  RecordRegistration(*registration);
  directory_.Put(*std::move(registration));
}

// Load and failure data of the previous process do not apply to the new one.
bool UpstreamWatch::ResetLoadIfRestarted(
    const serving::Registration& registration) {
  // A statement can have arrived before the registration.
  statements_.OnRestarted(registration.id, registration.started);
  const serving::Registration* known = directory_.find(registration.id);
  if (known == nullptr || known->started == registration.started) {
    return false;
  }
  request_loads_.Reset(registration.id);
  item_loads_.Reset(registration.id);
  return true;
}

}  // namespace mulberryroad::node
