#include "replay/trace.h"

#include <algorithm>
#include <array>
#include <random>

#include "base/json.h"

namespace mulberryroad::replay {

namespace {

constexpr double kTraceLengthMs = 900'000;
constexpr double kFaultStartMs = 300'000;
constexpr double kFaultEndMs = 600'000;
constexpr double kBatchIntervalMs = 150'000;
constexpr double kFloodFactor = 10;
// Fraction of the calls by organisation.
constexpr std::array kOrganisationShares{0.30, 0.25, 0.15, 0.10,
                                         0.08, 0.05, 0.04, 0.03};
// Index of the organisation whose call rate rises by kFloodFactor in the flood
// scenarios.
constexpr std::size_t kFloodingOrganisation = 2;
const char* const kScenarios[] = {"quiet",         "stragglers",   "flood",
                                  "weights",       "reclaim",      "no-cheap",
                                  "stale-reports", "flood-reclaim"};

struct Deployment {
  const char* name;
  std::vector<std::string> failure_domains;
  double calls_per_second;
  int groups;
};

const Deployment& FindDeployment(const std::string& name) {
  static const Deployment armor{
      "armor", {"finistere", "morbihan", "cotes-d-armor"}, 4.0, 16};
  static const Deployment coulee{
      "coulee", {"regina", "saskatoon", "brandon", "lethbridge"}, 2.0, 24};
  return name.starts_with("armor") ? armor : coulee;
}

class Generator {
 public:
  Generator(std::string name, std::uint64_t seed)
      : name_(std::move(name)), random_(seed), seed_(seed) {}

  Trace Run() {
    AddSetup();
    AddAllCalls();
    AddBatches();
    AddVersionsAndFaults();
    AddEvent(kTraceLengthMs).mutable_end();
    std::stable_sort(trace_.begin(), trace_.end(),
                     [](const v1::TraceEvent& a, const v1::TraceEvent& b) {
                       return a.at_ms() < b.at_ms();
                     });
    return std::move(trace_);
  }

 private:
  bool NameContains(const std::string& part) const {
    return name_.find(part) != std::string::npos;
  }
  v1::TraceEvent& AddEvent(double at_ms) {
    trace_.emplace_back().set_at_ms(static_cast<std::uint64_t>(at_ms));
    return trace_.back();
  }

  void AddSetup() {
    v1::TraceSetup& setup = *AddEvent(0).mutable_setup();
    setup.set_name(name_);
    setup.set_seed(seed_);
    for (const std::string& domain : deployment_.failure_domains) {
      setup.add_failure_domains(domain);
    }
    for (const bool reclaimable : {false, true}) {
      v1::UpstreamClass& kind = *setup.add_classes();
      kind.set_name(reclaimable ? "cheap" : "durable");
      kind.set_price_per_hour(reclaimable ? 1.2 : 4.0);
      kind.set_reclaimable(reclaimable);
      kind.set_slots(8);
      kind.set_start_up_seconds(45);
    }
    setup.set_upstreams_per_class(NameContains("coulee") ? 1 : 2);
    setup.set_max_per_class(4);
    setup.set_max_versions_behind(1);
    setup.set_max_age_seconds(600);
    setup.set_tokens_per_second(40);
    setup.set_prompt_tokens_per_second(4'000);
    setup.set_batch_cost(0.05);
    setup.set_swap_ms(8'000);
    setup.set_report_lag_ms(NameContains("stale-reports") ? 20'000 : 2'000);
    setup.set_flooding_organisation(
        NameContains("flood") ? OrganisationName(kFloodingOrganisation) : "");
  }

  static std::string OrganisationName(std::size_t organisation) {
    return "org-" + std::to_string(organisation + 1);
  }

  void AddAllCalls() {
    for (std::size_t i = 0; i < kOrganisationShares.size(); ++i) {
      const double rate = deployment_.calls_per_second * kOrganisationShares[i];
      AddCalls(i, rate, 0, kTraceLengthMs);
      if (NameContains("flood") && i == kFloodingOrganisation) {
        AddCalls(i, rate * (kFloodFactor - 1), kFaultStartMs, kFaultEndMs);
      }
    }
  }

  void AddCalls(std::size_t organisation, double per_second, double from_ms,
                double until_ms) {
    std::exponential_distribution<double> gap(per_second / 1'000);
    std::uniform_int_distribution<std::uint64_t> prefix(0, 19);
    std::lognormal_distribution<double> tokens(5.0, 0.6);
    std::bernoulli_distribution repeatable(0.6);
    double at = from_ms + gap(random_);
    while (at < until_ms) {
      v1::CallerArrival& call = *AddEvent(at).mutable_caller();
      call.set_organisation(OrganisationName(organisation));
      call.set_prefix(organisation * 100 + prefix(random_));
      call.set_prompt_tokens(800);
      call.set_tokens(static_cast<std::uint32_t>(tokens(random_)) + 1);
      call.set_repeatable(repeatable(random_));
      at += gap(random_);
    }
  }

  void AddBatches() {
    const double sigma = NameContains("stragglers") ? 0.9 : 0.4;
    std::lognormal_distribution<double> tokens(5.3, sigma);
    int step = 0;
    double at = 30'000;
    while (at < kTraceLengthMs - kBatchIntervalMs) {
      v1::BatchArrival& batch = *AddEvent(at).mutable_batch();
      batch.set_id("step-" + std::to_string(++step));
      batch.set_organisation(OrganisationName(0));
      batch.set_samples_per_group(8);
      batch.set_prompt_tokens(400);
      for (int i = 0; i < deployment_.groups * 8; ++i) {
        const double length = std::min(tokens(random_), 2'000.0);
        batch.add_sample_tokens(static_cast<std::uint32_t>(length) + 1);
      }
      at += kBatchIntervalMs;
    }
  }

  void AddVersionsAndFaults() {
    const auto& domains = deployment_.failure_domains;
    const double interval = NameContains("weights") ? 60'000 : 300'000;
    std::uint32_t version = 1;
    double at = interval;
    while (at < kTraceLengthMs) {
      AddEvent(at).mutable_version()->set_version(++version);
      at += interval;
    }
    if (NameContains("stragglers")) {
      v1::EngineSlowdown& slow = *AddEvent(60'000).mutable_slowdown();
      slow.set_failure_domain(domains[0]);
      slow.set_factor(6);
      slow.set_until_ms(static_cast<std::uint64_t>(kTraceLengthMs));
    }
    if (NameContains("reclaim")) {
      v1::DomainReclaim& reclaim =
          *AddEvent(kFaultStartMs + 40'000).mutable_reclaim();
      reclaim.set_failure_domain(domains[1]);
      reclaim.set_notice_ms(5'000);
    }
    if (NameContains("no-cheap")) {
      v1::ClassOutage& outage = *AddEvent(0).mutable_outage();
      outage.set_upstream_class("cheap");
      outage.set_until_ms(static_cast<std::uint64_t>(kFaultEndMs));
    }
  }

  std::string name_;
  std::mt19937_64 random_;
  std::uint64_t seed_;
  const Deployment& deployment_ = FindDeployment(name_);
  Trace trace_;
};

}  // namespace

std::optional<Trace> ReadTrace(std::istream& in, std::string* reason) {
  Trace trace;
  std::string line;
  while (std::getline(in, line)) {
    std::string cause;
    if (!base::FromJson(line, &trace.emplace_back(), &cause)) {
      *reason = "line " + std::to_string(trace.size()) + ": " + cause;
      return std::nullopt;
    }
  }
  if (trace.empty() || !trace.front().has_setup() || !trace.back().has_end()) {
    *reason = "a trace must start with its setup and stop with its end";
    return std::nullopt;
  }
  return trace;
}

std::vector<std::string> TraceNames() {
  std::vector<std::string> names;
  for (const char* deployment : {"armor-", "coulee-"}) {
    for (const char* scenario : kScenarios) {
      names.push_back(std::string(deployment) + scenario);
    }
  }
  return names;
}

std::optional<Trace> GenerateTrace(const std::string& name,
                                   std::uint64_t seed) {
  const std::vector<std::string> names = TraceNames();
  if (std::find(names.begin(), names.end(), name) == names.end()) {
    return std::nullopt;
  }
  return Generator(name, seed).Run();
}

}  // namespace mulberryroad::replay
