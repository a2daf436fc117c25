// Tests the export of metrics in the Prometheus text format.

#include "base/metrics.h"

#include <criterion/criterion.h>

#include <string>

namespace mulberryroad::base {
namespace {

void ExpectLine(const std::string& text, const std::string& line) {
  const bool found = text.starts_with(line + "\n") ||
                     text.find("\n" + line + "\n") != std::string::npos;
  cr_assert(found, "expected the line \"%s\", found:\n%s", line.c_str(),
            text.c_str());
}

Test(metrics, counters_are_summed_per_label_set) {
  Metrics metrics;
  metrics.Count("requests_total", {{"organisation", "a"}});
  metrics.Count("requests_total", {{"organisation", "a"}}, 2);
  metrics.Count("requests_total", {{"organisation", "b"}});
  const std::string text = metrics.ToPrometheus();
  ExpectLine(text, "requests_total{organisation=\"a\"} 3");
  ExpectLine(text, "requests_total{organisation=\"b\"} 1");
}

Test(metrics, label_values_are_escaped) {
  Metrics metrics;
  metrics.Count("odd_total", {{"name", "a\"b\\c"}});
  ExpectLine(metrics.ToPrometheus(), R"(odd_total{name="a\"b\\c"} 1)");
}

Test(metrics, gauge_is_read_on_export) {
  Metrics metrics;
  double value = 1;
  metrics.Gauge("open_requests", [&value] { return value; });
  value = 7;
  ExpectLine(metrics.ToPrometheus(), "open_requests 7");
}

Test(metrics, histogram_counts_every_duration_once) {
  Metrics metrics;
  metrics.Observe("wait_seconds", {}, std::chrono::microseconds(1));
  metrics.Observe("wait_seconds", {}, std::chrono::seconds(2));
  metrics.Observe("wait_seconds", {}, std::chrono::hours(5));
  const std::string text = metrics.ToPrometheus();
  ExpectLine(text, "wait_seconds_bucket{le=\"+Inf\"} 3");
  ExpectLine(text, "wait_seconds_count 3");
}

}  // namespace
}  // namespace mulberryroad::base
