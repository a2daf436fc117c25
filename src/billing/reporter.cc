#include "billing/reporter.h"

#include <utility>
#include <variant>

#include "billing/usage_meter.h"
#include "billing/window_rules.h"

namespace mulberryroad::billing {

namespace {

constexpr std::chrono::milliseconds kAppendTimeout{10'000};
constexpr std::size_t kMaxReportsInFlight = 8;

}  // namespace

v1::UsageReport MakeReport(const v1::WindowClose& close,
                           const v1::UsageFigures& figures,
                           std::uint64_t fencing) {
  v1::UsageReport report;
  report.set_report_id(std::to_string(close.window()) + "/" +
                       figures.organisation());
  report.set_window(close.window());
  report.set_organisation(figures.organisation());
  report.set_requests(figures.requests());
  report.set_prompt_tokens(figures.prompt_tokens());
  report.set_generated_tokens(figures.generated_tokens());
  report.set_fencing(fencing);
  return report;
}

Reporter::Reporter(base::EventLoop& loop, const Clock& clock,
                   log::Journal& journal, lease::Leases& leases,
                   config::Configuration& configuration,
                   platform::UsageService& usage_service,
                   base::DecisionLog& decisions)
    : clock_(clock),
      journal_(journal),
      leases_(leases),
      configuration_(configuration),
      usage_service_(usage_service),
      decisions_(decisions) {
  journal_.Subscribe(kUsageStream,
                     [this, alive = std::weak_ptr(alive_)](
                         platform::Offset offset, const v1::Record& record) {
                       if (!alive.expired()) {
                         book_.OnRecord(offset, record);
                       }
                     });
  leases_.Want(role_, true);
  timer_ = loop.Every(kTickInterval, [this] { Tick(); });
}

void Reporter::Stop() {
  timer_.Cancel();
  leases_.Want(role_, false);
}

std::optional<std::uint64_t> Reporter::epoch() const {
  const std::optional<lease::Term> term = leases_.term(role_);
  return term ? std::optional(term->epoch) : std::nullopt;
}

void Reporter::Tick() {
  const std::optional<std::uint64_t> held = epoch();
  if (!held || !journal_.caught_up(kUsageStream)) {
    return;
  }
  CloseDueWindow(*held);
  SendReports(*held);
}

void Reporter::CloseDueWindow(std::uint64_t epoch) {
  const WindowRules rules = RulesOf(configuration_.declaration());
  const std::optional<WindowStart> due =
      WindowToClose(book_, clock_.wall_now(), rules);
  if (closing_ || !due || configuration_.declaration() == nullptr) {
    return;
  }
  v1::Record record;
  *record.mutable_window_close() = book_.Prepare(*due, epoch, organisations());
  LogClose(record.window_close());
  closing_ = true;
  journal_.Append(kUsageStream, std::move(record), kAppendTimeout,
                  [this, alive = std::weak_ptr(alive_)](
                      std::optional<platform::Offset>, const std::string&) {
                    if (!alive.expired()) {
                      closing_ = false;
                    }
                  });
}

void Reporter::SendReports(std::uint64_t epoch) {
  for (const ClosedWindow* window : book_.unreported()) {
    for (const v1::UsageFigures& figures : window->close.figures()) {
      if (in_flight_.size() >= kMaxReportsInFlight) {
        return;
      }
      if (!window->reported.contains(figures.organisation())) {
        Send(*window, figures, epoch);
      }
    }
  }
}

void Reporter::Send(const ClosedWindow& window, const v1::UsageFigures& figures,
                    std::uint64_t epoch) {
  const v1::UsageReport report = MakeReport(window.close, figures, epoch);
  if (!in_flight_.insert(report.report_id()).second) {
    return;
  }
  usage_service_.Report(
      report,
      [this, alive = std::weak_ptr(alive_), report](
          std::variant<v1::UsageReport, platform::PlatformFailure> answer) {
        if (alive.expired()) {
          return;
        }
        if (const auto* failure =
                std::get_if<platform::PlatformFailure>(&answer)) {
          LogReport(report, failure->reason, failure->verdict);
          in_flight_.erase(report.report_id());
          return;
        }
        LogReport(report, "taken", Verdict::kRan);
        AppendReported(report);
      });
}

void Reporter::AppendReported(const v1::UsageReport& report) {
  v1::Record record;
  record.mutable_window_reported()->set_window(report.window());
  record.mutable_window_reported()->set_organisation(report.organisation());
  journal_.Append(
      kUsageStream, std::move(record), kAppendTimeout,
      [this, alive = std::weak_ptr(alive_), id = report.report_id()](
          std::optional<platform::Offset>, const std::string&) {
        if (!alive.expired()) {
          in_flight_.erase(id);
        }
      });
}

std::vector<OrganisationId> Reporter::organisations() const {
  std::vector<OrganisationId> names;
  for (const auto& organisation :
       configuration_.declaration()->organisations()) {
    names.emplace_back(organisation.name());
  }
  return names;
}

void Reporter::LogClose(const v1::WindowClose& close) {
  v1::Decision decision;
  decision.set_kind("window_close");
  decision.set_chosen(std::to_string(close.window()));
  decision.set_reason("window and grace ended; covers offset " +
                      std::to_string(close.covered_offset()));
  decision.set_epoch(close.epoch());
  decisions_.Write(std::move(decision));
}

void Reporter::LogReport(const v1::UsageReport& report,
                         const std::string& reason, Verdict verdict) {
  v1::Decision decision;
  decision.set_kind("usage_report");
  decision.set_organisation(report.organisation());
  decision.set_chosen(report.report_id());
  decision.set_reason(reason);
  decision.set_verdict(std::string(ToString(verdict)));
  decision.set_epoch(report.fencing());
  decisions_.Write(std::move(decision));
}

}  // namespace mulberryroad::billing
