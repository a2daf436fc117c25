// Counters, gauges and histograms, written in the Prometheus text format.

#ifndef MULBERRYROAD_SRC_BASE_METRICS_H_
#define MULBERRYROAD_SRC_BASE_METRICS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace mulberryroad::base {

/// Labels of one time series, in the order in which they are written.
using Labels = std::map<std::string, std::string>;

namespace internal {
class DurationHistogram;
}

/// All measurements of a process. Belongs to the loop's thread.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds to a counter, which exists from its first use on.
  void Count(const std::string& name, const Labels& labels,
             std::uint64_t amount = 1);
  /// Adds a duration to a histogram, whose unit in the output is seconds.
  void Observe(const std::string& name, const Labels& labels,
               std::chrono::nanoseconds duration);
  /// Registers a value that is read whenever the metrics are written.
  void Gauge(const std::string& name, std::function<double()> read);

  /// Returns a counter's value; 0 if it was never used.
  std::uint64_t counter(const std::string& name, const Labels& labels) const;
  /// Returns everything in the Prometheus text format.
  std::string ToPrometheus() const;

 private:
  using Series = std::pair<std::string, std::string>;

  std::map<Series, std::uint64_t> counters_;
  std::map<Series, std::unique_ptr<internal::DurationHistogram>> histograms_;
  std::map<std::string, std::function<double()>> gauges_;
};

}  // namespace mulberryroad::base

#endif  // MULBERRYROAD_SRC_BASE_METRICS_H_
