// Open-loop HTTP load with a bounded count and time; prints the percentiles of
// the answers' latency, counted from when each request was due.

#include <popt.h>

#include <algorithm>
#include <boost/histogram.hpp>
#include <chrono>
#include <cstdio>
#include <map>
#include <string>
#include <variant>

#include "base/event_loop.h"
#include "http/client.h"
#include "mulberryroad/clock.h"

namespace mulberryroad::fakes {
namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr double kLowestLatency = 0.01;
constexpr double kHighestLatency = 100'000;
constexpr unsigned kBins = 1'600;
constexpr std::chrono::milliseconds kTick{1};
constexpr int kLargestCount = 1'000'000;
constexpr int kLongestSeconds = 600;

struct LoadOptions {
  Endpoint target;
  std::string path = "/v1/completions";
  std::string key;
  std::string body;
  double rate = 100;
  int count = 1'000;
  int seconds = 60;
};

/// Latencies in milliseconds on a logarithmic axis.
class Latencies {
 public:
  void Add(Milliseconds latency) {
    histogram_(latency.count());
    largest_ = std::max(largest_, latency);
  }
  Milliseconds largest() const { return largest_; }
  Milliseconds Percentile(double share) const {
    const double total = boost::histogram::algorithm::sum(histogram_);
    double seen = 0;
    for (const auto& bin : boost::histogram::indexed(
             histogram_, boost::histogram::coverage::all)) {
      seen += *bin;
      if (total > 0 && seen >= share * total) {
        return std::min(Milliseconds(bin.bin().upper()), largest_);
      }
    }
    return largest_;
  }

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;

  decltype(boost::histogram::make_histogram(Axis())) histogram_ =
      boost::histogram::make_histogram(
          Axis(kBins, kLowestLatency, kHighestLatency));
  Milliseconds largest_{0};
};

class Load {
 public:
  Load(base::EventLoop& loop, LoadOptions options)
      : loop_(loop), options_(std::move(options)), client_(loop) {}

  int Run() {
    started_ = clock_.now();
    const base::Timer tick = loop_.Every(kTick, [this] { SendDue(); });
    const base::Timer limit = loop_.After(
        std::chrono::seconds(options_.seconds), [this] { loop_.Stop(); });
    loop_.Run();
    Print();
    return answered_ == options_.count ? 0 : 1;
  }

 private:
  void SendDue() {
    const std::chrono::duration<double> elapsed = clock_.now() - started_;
    const int due = std::min(
        options_.count, static_cast<int>(elapsed.count() * options_.rate) + 1);
    while (sent_ < due) {
      const std::chrono::duration<double> offset(sent_ / options_.rate);
      Send(started_ +
           std::chrono::duration_cast<std::chrono::nanoseconds>(offset));
      ++sent_;
    }
  }

  void Send(Instant due) {
    http::ClientRequest request;
    request.endpoint = options_.target;
    request.method = http::Method::kPost;
    request.path = options_.path;
    request.body = options_.body;
    request.timeout = std::chrono::seconds(options_.seconds);
    request.headers = {{"Content-Type", "application/json"}};
    if (!options_.key.empty()) {
      request.headers.push_back({"Authorization", "Bearer " + options_.key});
    }
    client_.Send(std::move(request), [this, due](const http::Result& result) {
      Take(due, result);
    });
  }

  void Take(Instant due, const http::Result& result) {
    const auto* response = std::get_if<http::Response>(&result);
    const int status = response == nullptr ? 0 : response->status;
    ++statuses_[status];
    constexpr int kOk = 200;
    if (status == kOk) {
      latencies_.Add(clock_.now() - due);
    }
    if (++answered_ == options_.count) {
      loop_.Stop();
    }
  }

  void Print() const {
    const std::chrono::duration<double> took = clock_.now() - started_;
    std::printf("{\"sent\":%d,\"answered\":%d,\"seconds\":%.2f,", sent_,
                answered_, took.count());
    std::printf("\"answers_per_second\":%.1f,\"statuses\":{",
                answered_ / took.count());
    const char* separator = "";
    for (const auto& [status, count] : statuses_) {
      std::printf("%s\"%d\":%d", separator, status, count);
      separator = ",";
    }
    std::printf(
        "},\"p50_ms\":%.2f,\"p90_ms\":%.2f,\"p99_ms\":%.2f,"
        "\"max_ms\":%.2f}\n",
        latencies_.Percentile(0.5).count(), latencies_.Percentile(0.9).count(),
        latencies_.Percentile(0.99).count(), latencies_.largest().count());
  }

  base::EventLoop& loop_;
  LoadOptions options_;
  http::Client client_;
  SystemClock clock_;
  Instant started_{};
  int sent_ = 0;
  int answered_ = 0;
  std::map<int, int> statuses_;
  Latencies latencies_;
};

/// Reads the flags.
/// @return false after printing what is wrong
bool ReadOptions(int argc, const char** argv, LoadOptions* options) {
  char* target = nullptr;
  char* path = nullptr;
  char* key = nullptr;
  char* body = nullptr;
  const poptOption table[] = {
      {"target", 0, POPT_ARG_STRING, &target, 0, "Node or engine", "IP:PORT"},
      {"path", 0, POPT_ARG_STRING, &path, 0, "Path to post to", "PATH"},
      {"key", 0, POPT_ARG_STRING, &key, 0, "Caller's key", "SECRET"},
      {"body", 0, POPT_ARG_STRING, &body, 0, "Body of each request", "TEXT"},
      {"rate", 0, POPT_ARG_DOUBLE, &options->rate, 0, "Requests a second", "N"},
      {"count", 0, POPT_ARG_INT, &options->count, 0, "Requests in all", "N"},
      {"seconds", 0, POPT_ARG_INT, &options->seconds, 0, "Longest run", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
  const int result = poptGetNextOpt(context);
  const auto endpoint = ParseEndpoint(target == nullptr ? "" : target);
  options->target = endpoint.value_or(Endpoint{});
  options->path = path == nullptr ? options->path : path;
  options->key = key == nullptr ? "" : key;
  options->body = body == nullptr ? "" : body;
  const bool valid = result == -1 && endpoint.has_value() &&
                     options->rate > 0 && options->count > 0 &&
                     options->count <= kLargestCount && options->seconds > 0 &&
                     options->seconds <= kLongestSeconds;
  if (!valid) {
    std::fprintf(stderr,
                 "needed: --target IP:PORT, a rate above 0, a count up to %d, "
                 "seconds up to %d\n",
                 kLargestCount, kLongestSeconds);
  }
  poptFreeContext(context);
  return valid;
}

}  // namespace
}  // namespace mulberryroad::fakes

int main(int argc, const char** argv) {
  mulberryroad::fakes::LoadOptions options;
  if (!mulberryroad::fakes::ReadOptions(argc, argv, &options)) {
    return 2;
  }
  mulberryroad::base::EventLoop loop;
  return mulberryroad::fakes::Load(loop, options).Run();
}
