// Counters, gauges and histograms, exported in the Prometheus text format.

#ifndef MULBERRYROAD_SRC_BASE_METRICS_H_
#define MULBERRYROAD_SRC_BASE_METRICS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace mulberryroad::base {

/// Labels of one time series. They are exported in the order of their names.
using Labels = std::map<std::string, std::string>;

namespace internal {
class DurationHistogram;
}

/// The metrics of a process. Belongs to the event loop's thread.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Increments a counter, which is created on first use.
  void Count(const std::string& name, const Labels& labels,
             std::uint64_t amount = 1);
  /// Records a duration in a histogram, which is exported in seconds.
  void Observe(const std::string& name, const Labels& labels,
               std::chrono::nanoseconds duration);
  /// Registers a gauge.
  /// @param read returns the current value; called on every export
  void Gauge(const std::string& name, std::function<double()> read);

  /// Returns the value of a counter; 0 if it was never incremented.
  std::uint64_t counter(const std::string& name, const Labels& labels) const;
  /// Returns all metrics in the Prometheus text format.
  std::string ToPrometheus() const;

 private:
  using SeriesKey = std::pair<std::string, std::string>;

  std::map<SeriesKey, std::uint64_t> counters_;
  std::map<SeriesKey, std::unique_ptr<internal::DurationHistogram>> histograms_;
  std::map<std::string, std::function<double()>> gauges_;
};

}  // namespace mulberryroad::base

#endif  // MULBERRYROAD_SRC_BASE_METRICS_H_
