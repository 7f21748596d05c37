#include "State/Metrics.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <thread>

using namespace amaranth;
using namespace amaranth::state;

// Guards against an export that a Prometheus parser rejects or reads with other
// label values.
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

// Guards against buckets that are not cumulative or do not match _count.
TEST_CASE("histogram buckets are cumulative and end with the count") {
  Metrics Registry({});
  LatencyHistogram &Latency =
      Registry.latency("latency_seconds", {{"stage", "x"}});
  Latency.record(Microseconds{10});
  Latency.record(Milliseconds{2});
  Latency.record(Milliseconds{500});
  Latency.record(Seconds{1000});
  LatencyBuckets Buckets = Latency.buckets();
  std::uint64_t Previous = 0;
  for (const auto &Bucket : Buckets.Buckets_) {
    CHECK(Bucket.Count_ >= Previous);
    Previous = Bucket.Count_;
  }
  CHECK(Buckets.Buckets_.front().Count_ == 1);
  CHECK(Previous == 4);
  std::string Text = Registry.exportText();
  auto HasLine = [&](const std::string &Line) {
    return Text.find(Line + "\n") != std::string::npos;
  };
  CAPTURE(Text);
  CHECK(HasLine("# TYPE latency_seconds histogram"));
  CHECK(HasLine("latency_seconds_bucket{stage=\"x\",le=\"0.0001\"} 1"));
  CHECK(HasLine("latency_seconds_bucket{stage=\"x\",le=\"0.01\"} 2"));
  CHECK(HasLine("latency_seconds_bucket{stage=\"x\",le=\"100\"} 3"));
  CHECK(HasLine("latency_seconds_bucket{stage=\"x\",le=\"+Inf\"} 4"));
  CHECK(HasLine("latency_seconds_sum{stage=\"x\"} 1000.50201"));
  CHECK(HasLine("latency_seconds_count{stage=\"x\"} 4"));
}

// Guards against hedging or admission control that uses a quantile from the
// wrong bin.
TEST_CASE("quantiles are accurate to a bin") {
  LatencyHistogram Latency;
  CHECK_FALSE(Latency.quantile(0.5));
  for (int Index = 1; Index <= 1000; ++Index)
    Latency.record(Milliseconds{Index});
  for (double Rank : {0.1, 0.5, 0.95, 0.99}) {
    double Estimate =
        static_cast<double>(Latency.quantile(Rank)->count()) / 1e3;
    CAPTURE(Rank, Estimate);
    CHECK(std::abs(Estimate / (Rank * 1000) - 1) < 0.13);
  }
  LatencyHistogram BeyondAxis;
  BeyondAxis.record(Seconds{500});
  CHECK(*BeyondAxis.quantile(0.5) == Seconds{100});
}

// Guards against lost counts when threads record or create series concurrently.
TEST_CASE("concurrent recording loses nothing") {
  Metrics Registry({});
  constexpr int ThreadCount = 4, RoundCount = 5000;
  {
    std::vector<std::jthread> Workers;
    for (int Thread = 0; Thread < ThreadCount; ++Thread)
      Workers.emplace_back([&Registry] {
        for (int Index = 0; Index < RoundCount; ++Index) {
          std::string Label = std::to_string(Index % 7);
          Registry.counter("n", {{"l", Label}}).add();
          Registry.gauge("g").add(1);
          Registry.latency("t_seconds", {{"l", Label}})
              .record(Milliseconds{Index});
        }
      });
  }
  std::uint64_t CounterSum = 0, RecordedCount = 0;
  for (int LabelIndex = 0; LabelIndex < 7; ++LabelIndex) {
    CounterSum +=
        Registry.counter("n", {{"l", std::to_string(LabelIndex)}}).value();
    RecordedCount +=
        Registry.latency("t_seconds", {{"l", std::to_string(LabelIndex)}})
            .count();
  }
  CHECK(CounterSum == ThreadCount * RoundCount);
  CHECK(RecordedCount == ThreadCount * RoundCount);
  CHECK(Registry.gauge("g").value() == ThreadCount * RoundCount);
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
