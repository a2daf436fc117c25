#include "base/metrics.h"

#include <boost/histogram.hpp>
#include <set>
#include <sstream>
#include <utility>

namespace mulberryroad::base {

namespace internal {

namespace bh = boost::histogram;

constexpr unsigned kBucketCount = 48;
constexpr double kMinSeconds = 0.000'1;
constexpr double kMaxSeconds = 3'600;

/// Histogram of durations with buckets of logarithmic width.
class DurationHistogram {
 public:
  void Add(double seconds) {
    histogram_(seconds);
    sum_ += seconds;
    ++count_;
  }

  void Write(const std::string& name, const std::string& labels,
             std::ostream* out) const {
    const std::string prefix = labels.empty() ? "" : labels + ",";
    // Prometheus buckets are cumulative, so they include the underflow bin.
    double cumulative = histogram_.at(-1);
    const auto& axis = histogram_.axis();
    for (int i = 0; i < axis.size(); ++i) {
      cumulative += histogram_.at(i);
      *out << name << "_bucket{" << prefix << "le=\"" << axis.bin(i).upper()
           << "\"} " << cumulative << "\n";
    }
    *out << name << "_bucket{" << prefix << "le=\"+Inf\"} " << count_ << "\n";
    const std::string braces = labels.empty() ? "" : "{" + labels + "}";
    *out << name << "_sum" << braces << " " << sum_ << "\n";
    *out << name << "_count" << braces << " " << count_ << "\n";
  }

 private:
  using Axis = bh::axis::regular<double, bh::axis::transform::log>;
  using Histogram = decltype(bh::make_histogram(std::declval<Axis>()));

  Histogram histogram_ =
      bh::make_histogram(Axis(kBucketCount, kMinSeconds, kMaxSeconds));
  double sum_ = 0;
  std::uint64_t count_ = 0;
};

std::string EscapeLabelValue(const std::string& value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\\' || c == '"') {
      escaped.push_back('\\');
    }
    if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped.push_back(c);
    }
  }
  return escaped;
}

std::string FormatLabels(const Labels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    text += (text.empty() ? "" : ",") + name + "=\"" + EscapeLabelValue(value) +
            "\"";
  }
  return text;
}

/// Writes one "# TYPE" line per metric name.
class TypeLineWriter {
 public:
  explicit TypeLineWriter(std::ostream* out) : out_(out) {}

  void Write(const std::string& name, const char* type) {
    if (written_.insert(name).second) {
      *out_ << "# TYPE " << name << " " << type << "\n";
    }
  }

 private:
  std::ostream* out_;
  std::set<std::string> written_;
};

}  // namespace internal

Metrics::Metrics() = default;

Metrics::~Metrics() = default;

void Metrics::Count(const std::string& name, const Labels& labels,
                    std::uint64_t amount) {
  counters_[{name, internal::FormatLabels(labels)}] += amount;
}

void Metrics::Observe(const std::string& name, const Labels& labels,
                      std::chrono::nanoseconds duration) {
  auto& histogram = histograms_[{name, internal::FormatLabels(labels)}];
  if (histogram == nullptr) {
    histogram = std::make_unique<internal::DurationHistogram>();
  }
  histogram->Add(std::chrono::duration<double>(duration).count());
}

void Metrics::Gauge(const std::string& name, std::function<double()> read) {
  gauges_[name] = std::move(read);
}

std::uint64_t Metrics::counter(const std::string& name,
                               const Labels& labels) const {
  const auto found = counters_.find({name, internal::FormatLabels(labels)});
  return found == counters_.end() ? 0 : found->second;
}

std::string Metrics::ToPrometheus() const {
  std::ostringstream out;
  internal::TypeLineWriter types(&out);
  for (const auto& [series, value] : counters_) {
    const auto& [name, labels] = series;
    types.Write(name, "counter");
    out << name << (labels.empty() ? "" : "{" + labels + "}") << " " << value
        << "\n";
  }
  for (const auto& [name, read] : gauges_) {
    types.Write(name, "gauge");
    out << name << " " << read() << "\n";
  }
  for (const auto& [series, histogram] : histograms_) {
    const auto& [name, labels] = series;
    types.Write(name, "histogram");
    histogram->Write(name, labels, &out);
  }
  return out.str();
}

}  // namespace mulberryroad::base
