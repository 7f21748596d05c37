#include "Coordination/FleetModel.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace amaranth;
using namespace amaranth::testing;

namespace {

constexpr int Short = 20;
constexpr int Long = 200;

/// Requests per second with \p Tokens tokens that use \p Share of the capacity
/// of 18 targets.
double rate(double Share, int Tokens) {
  return Share * 18 * 8 / 0.005 / Tokens;
}

void report(const char *Name, double Predicted, double Random) {
  std::printf("policy %s: predicted %.4f random %.4f\n", Name, Predicted,
              Random);
}

/// p99 of short requests at \p Load with \p Slowed targets ten times slower.
double stragglerP99(bool Predicted, int Slowed, double Load) {
  FleetModel Model({.UsePrediction_ = Predicted, .Seed_ = 7});
  Model.addArrivals({0, 40, rate(Load, Short), Short});
  for (int I = 0; I < Slowed; ++I)
    Model.addSlowPeriod(I * 7, 10, 40, 10);
  Model.run();
  if (Predicted)
    CHECK(Model.extraWork() <= 0.05);
  return Model.quantile(0.99, 10, 40, Short);
}

} // namespace

// Guards against sending work to stragglers whose load reports are delayed.
TEST_CASE("two stragglers of 18 raise p99 at most 1.5 times") {
  for (double Load : {0.3, 0.5, 0.65}) {
    double Predicted =
        stragglerP99(true, 2, Load) / stragglerP99(true, 0, Load);
    double Random = stragglerP99(false, 2, Load) / stragglerP99(false, 0, Load);
    std::printf("load %.2f ", Load);
    report("straggler p99 ratio", Predicted, Random);
    CHECK(Predicted <= 1.5);
    CHECK(Predicted < Random);
  }
}

// Guards against avoiding a straggler for ever after it has recovered.
TEST_CASE("a straggler gets its share again within seconds of recovery") {
  FleetModel Model({.Seed_ = 3});
  Model.addArrivals({0, 50, rate(0.5, Short), Short});
  Model.addSlowPeriod(4, 10, 25, 10);
  Model.run();
  double RateBefore = Model.attemptsAt(4, 2, 10) / 8.0;
  double RateDuring = Model.attemptsAt(4, 12, 25) / 13.0;
  double RateAfter = Model.attemptsAt(4, 32, 50) / 18.0;
  std::printf(
      "policy straggler attempts/s: before %.1f during %.1f after %.1f\n",
      RateBefore, RateDuring, RateAfter);
  CHECK(RateDuring <= 0.2 * RateBefore);
  CHECK(RateAfter >= 0.7 * RateBefore);
}

// Guards against a target that fails immediately, therefore looks idle and
// fast, and attracts the work of the others.
TEST_CASE("a target that fails fast does not attract work") {
  auto Run = [](bool Predicted) {
    FleetModel Model({.UsePrediction_ = Predicted, .Seed_ = 5});
    Model.addArrivals({0, 40, rate(0.5, Short), Short});
    Model.addFailurePeriod(3, 10, 30);
    Model.run();
    double Share =
        Model.attemptsAt(3, 10, 30) / std::max(1.0, 20 * rate(0.5, Short));
    if (Predicted)
      CHECK(Model.attemptsAt(3, 35, 40) >= 0.5 * 5 * rate(0.5, Short) / 18);
    return std::pair(Share, Model.completedShare("a"));
  };
  auto Predicted = Run(true);
  auto Random = Run(false);
  report("fail-fast share of attempts", Predicted.first, Random.first);
  report("fail-fast served share", Predicted.second, Random.second);
  CHECK(Predicted.first <= 0.01);
  CHECK(Random.first >= 0.04);
  CHECK(Predicted.second >= Random.second);
}

// Guards against daemons that all choose the same target because they have the
// same delayed load reports.
TEST_CASE("several daemons with late reports do not herd") {
  auto Run = [](bool Predicted) {
    FleetModel Model({.Daemons_ = 8, .UsePrediction_ = Predicted, .Seed_ = 11});
    Model.addArrivals({0, 30, rate(0.8, Short), Short});
    Model.run();
    return std::pair(Model.quantile(0.99, 5, 30, Short), Model.longestQueue());
  };
  auto Predicted = Run(true);
  auto Random = Run(false);
  report("herd p99 s", Predicted.first, Random.first);
  report("herd longest queue", Predicted.second, Random.second);
  CHECK(Predicted.first < Random.first);
  CHECK(Predicted.second <= Random.second);
}

// Guards against distributing work so widely that prefix caches are useless.
TEST_CASE("work stays with its candidates while they are not late") {
  for (double Load : {0.3, 0.5, 0.65}) {
    FleetModel Model({.Seed_ = 29});
    Model.addArrivals({0, 15, rate(Load, Short), Short});
    Model.run();
    std::printf("load %.2f ", Load);
    report("share at candidates", Model.candidateShare(), 2.0 / 18);
    CHECK(Model.candidateShare() >= 0.8);
  }
}

// Guards against low goodput during a demand peak and slow recovery after it.
TEST_CASE("goodput at a peak of three times capacity stays at 90 %") {
  auto Run = [](bool Managed) {
    auto Model = std::make_unique<FleetModel>(ModelSettings{
        .UsePrediction_ = Managed, .UseAdmission_ = Managed, .Seed_ = 13});
    Model->addArrivals({0, 30, rate(0.4, Short), Short});
    Model->addArrivals({0, 30, rate(0.2, Long), Long});
    Model->addArrivals({10, 20, rate(1.6, Short), Short});
    Model->addArrivals({10, 20, rate(0.8, Long), Long});
    Model->run();
    return Model;
  };
  auto Managed = Run(true);
  auto Baseline = Run(false);
  report("peak goodput", Managed->goodput(10, 20), Baseline->goodput(10, 20));
  report("goodput after peak", Managed->goodput(22, 30),
         Baseline->goodput(22, 30));
  report("peak attainment of accepted", Managed->attainment("a"),
         Baseline->attainment("a"));
  report("p99 s from 2 s after the peak",
         Managed->quantile(0.99, 22, 30, Short),
         Baseline->quantile(0.99, 22, 30, Short));
  CHECK(Managed->goodput(10, 20) >= 0.9);
  CHECK(Managed->goodput(10, 20) > Baseline->goodput(10, 20));
  double P99BeforePeak = Managed->quantile(0.99, 2, 10, Short);
  CHECK(Managed->quantile(0.99, 22, 30, Short) <= 1.3 * P99BeforePeak);
}

// Guards against short work that waits behind long work.
TEST_CASE("long work raises p99 of short work at most 1.3 times") {
  auto Run = [](bool Managed, bool WithLong) {
    FleetModel Model(
        {.UsePrediction_ = Managed, .UseAdmission_ = Managed, .Seed_ = 17});
    Model.addArrivals({0, 30, rate(0.3, Short), Short});
    if (WithLong)
      Model.addArrivals({0, 30, rate(0.35, Long), Long});
    Model.run();
    return Model.quantile(0.99, 5, 30, Short);
  };
  double Managed = Run(true, true) / Run(true, false);
  double Baseline = Run(false, true) / Run(false, false);
  report("short p99 with/without long work", Managed, Baseline);
  CHECK(Managed <= 1.3);
  CHECK(Managed < Baseline);
}

// Guards against a large account that takes the capacity of a small one.
TEST_CASE("a small account keeps its attainment beside an overload") {
  auto Run = [](bool Managed, bool Overload) {
    FleetModel Model(
        {.UsePrediction_ = Managed, .UseAdmission_ = Managed, .Seed_ = 19});
    Model.addArrivals({0, 15, rate(0.05, Short), Short, "small"});
    if (Overload)
      Model.addArrivals({5, 15, rate(2, Short), Short, "large"});
    Model.run();
    return Model.completedShare("small");
  };
  double Unloaded = Run(true, false);
  double Managed = Run(true, true);
  double Baseline = Run(false, true);
  report("small account beside overload", Managed, Baseline);
  CHECK(Managed >= Unloaded - 0.01);
  CHECK(Baseline < Unloaded - 0.01);
}

// Guards against retries that prolong an overload or an outage.
TEST_CASE("retries stay within the budget while targets fail") {
  FleetModel Model({.Seed_ = 23});
  Model.addArrivals({0, 30, rate(0.5, Short), Short});
  for (int I = 0; I < 18; ++I)
    Model.addFailurePeriod(I, 10, 15);
  Model.run();
  std::printf("policy retry storm extra work: %.4f\n", Model.extraWork());
  CHECK(Model.extraWork() <= 0.05);
  CHECK(Model.quantile(0.99, 22, 30, Short) <=
        1.5 * Model.quantile(0.99, 2, 10, Short));
}
