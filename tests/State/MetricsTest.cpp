#include "State/Metrics.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <thread>

using namespace amaranth;
using namespace amaranth::state;

// Guards against an export that a Prometheus parser rejects or reads as other
// labels.
TEST_CASE("label values and help are escaped in the export") {
  Metrics Registry({});
  Registry.describe("requests_total", "Requests\\by\noutcome");
  Registry.counter("requests_total", {{"service", "a\"b\\c\nd"}}).add(3);
  Registry.gauge("in_flight").set(2.5);
  CHECK(Registry.exportText() ==
        "# HELP requests_total Requests\\\\by\\noutcome\n"
        "# TYPE requests_total counter\n"
        "requests_total{service=\"a\\\"b\\\\c\\nd\"} 3\n"
        "# TYPE in_flight gauge\n"
        "in_flight 2.5\n");
}

// Guards against buckets that are not cumulative or do not agree with _count.
TEST_CASE("histogram buckets are cumulative and end with the count") {
  Metrics Registry({});
  LatencyHistogram &Latency =
      Registry.latency("latency_seconds", {{"stage", "x"}});
  Latency.record(Microseconds{10});
  Latency.record(Milliseconds{2});
  Latency.record(Milliseconds{500});
  Latency.record(Seconds{1000});
  LatencyBuckets Content = Latency.buckets();
  std::uint64_t Previous = 0;
  for (const auto &Bucket : Content.Buckets_) {
    CHECK(Bucket.Count_ >= Previous);
    Previous = Bucket.Count_;
  }
  CHECK(Content.Buckets_.front().Count_ == 1);
  CHECK(Previous == 4);
  std::string Text = Registry.exportText();
  auto Has = [&](const std::string &Line) {
    return Text.find(Line + "\n") != std::string::npos;
  };
  CAPTURE(Text);
  CHECK(Has("# TYPE latency_seconds histogram"));
  CHECK(Has("latency_seconds_bucket{stage=\"x\",le=\"0.0001\"} 1"));
  CHECK(Has("latency_seconds_bucket{stage=\"x\",le=\"0.01\"} 2"));
  CHECK(Has("latency_seconds_bucket{stage=\"x\",le=\"100\"} 3"));
  CHECK(Has("latency_seconds_bucket{stage=\"x\",le=\"+Inf\"} 4"));
  CHECK(Has("latency_seconds_sum{stage=\"x\"} 1000.50201"));
  CHECK(Has("latency_seconds_count{stage=\"x\"} 4"));
}

// Guards against hedging or admission acting on a quantile of the wrong bin.
TEST_CASE("quantiles are accurate to a bin") {
  LatencyHistogram Latency;
  CHECK_FALSE(Latency.quantile(0.5));
  for (int I = 1; I <= 1000; ++I)
    Latency.record(Milliseconds{I});
  for (double Rank : {0.1, 0.5, 0.95, 0.99}) {
    double Estimate =
        static_cast<double>(Latency.quantile(Rank)->count()) / 1e3;
    CAPTURE(Rank, Estimate);
    CHECK(std::abs(Estimate / (Rank * 1000) - 1) < 0.13);
  }
  LatencyHistogram Extreme;
  Extreme.record(Seconds{500});
  CHECK(*Extreme.quantile(0.5) == Seconds{100});
}

// Guards against counts lost when threads record or create series at once.
TEST_CASE("concurrent recording loses nothing") {
  Metrics Registry({});
  constexpr int Threads = 4, Rounds = 5000;
  {
    std::vector<std::jthread> Workers;
    for (int T = 0; T < Threads; ++T)
      Workers.emplace_back([&Registry] {
        for (int I = 0; I < Rounds; ++I) {
          std::string Label = std::to_string(I % 7);
          Registry.counter("n", {{"l", Label}}).add();
          Registry.gauge("g").add(1);
          Registry.latency("t_seconds", {{"l", Label}}).record(Milliseconds{I});
        }
      });
  }
  std::uint64_t Count = 0, Recorded = 0;
  for (int L = 0; L < 7; ++L) {
    Count += Registry.counter("n", {{"l", std::to_string(L)}}).value();
    Recorded +=
        Registry.latency("t_seconds", {{"l", std::to_string(L)}}).count();
  }
  CHECK(Count == Threads * Rounds);
  CHECK(Recorded == Threads * Rounds);
  CHECK(Registry.gauge("g").value() == Threads * Rounds);
}

// Guards against memory that grows with label values chosen by callers.
TEST_CASE("label sets beyond the limit share one series") {
  Metrics Registry({.MaxSeries_ = 2});
  for (const char *Value : {"a", "b", "c", "d"})
    Registry.counter("n", {{"l", Value}}).add();
  Registry.counter("n", {{"l", "a"}}).add();
  CHECK(Registry.exportText() == "# TYPE n counter\n"
                                 "n{l=\"a\"} 2\nn{l=\"b\"} 1\n"
                                 "n{overflow=\"true\"} 2\n");
}
