#include "Integration/MixedFaults.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>
#include <numeric>

using namespace amaranth;
using namespace amaranth::integration;

namespace {

/// AMARANTH_SEED, or a fixed seed.
std::uint64_t firstSeed() {
  const char *Text = std::getenv("AMARANTH_SEED");
  return Text ? std::strtoull(Text, nullptr, 10) : 20261204;
}

int accounted(const OrderVerdict &Verdict) {
  return std::accumulate(
      Verdict.Outcomes_.begin(), Verdict.Outcomes_.end(), 0,
      [](int Sum, const auto &Outcome) { return Sum + Outcome.second; });
}

void print(std::uint64_t Seed, OrderVerdict Verdict) {
  int Orders = accounted(Verdict);
  std::printf("mixed faults: seed=%llu orders=%d completed=%d not_run=%d "
              "unknown=%d failed=%d unknown_share=%.1f%% doubled=%d "
              "not_run_but_ran=%d completed_but_missing=%d contradicted=%d\n",
              static_cast<unsigned long long>(Seed), Orders,
              Verdict.Outcomes_["completed"], Verdict.Outcomes_["not_run"],
              Verdict.Outcomes_["unknown"], Verdict.Outcomes_["failed"],
              100.0 * Verdict.Outcomes_["unknown"] / Orders, Verdict.Doubled_,
              Verdict.NotRunButRan_, Verdict.CompletedButMissing_,
              Verdict.Contradicted_);
  std::fflush(stdout);
}

void runMixed(const MixedFaultsSettings &Settings) {
  OrderDesk Desk;
  CAPTURE(Settings.Seed_);
  REQUIRE(MixedFaults(Desk, Settings).run());
  OrderVerdict Verdict = Desk.verdict();
  print(Settings.Seed_, Verdict);
  CHECK(accounted(Verdict) == Settings.Orders_);
  CHECK(Verdict.Outcomes_["completed"] > Settings.Orders_ / 4);
  CHECK(Verdict.Doubled_ == 0);
  CHECK(Verdict.NotRunButRan_ == 0);
  CHECK(Verdict.CompletedButMissing_ == 0);
  CHECK(Verdict.Contradicted_ == 0);
}

} // namespace

// Guards against doubled, lost and falsely refused orders when faults meet.
TEST_CASE("mixed faults neither double nor lose an order",
          "[proof][once][mixed]") {
  MixedFaultsSettings Settings;
  Settings.Seed_ = firstSeed();
  runMixed(Settings);
}

// The same over more seeds and orders; too long for every run.
TEST_CASE("mixed faults over several seeds", "[.][proof][once][long]") {
  for (std::uint64_t I = 0; I < 5; ++I) {
    MixedFaultsSettings Settings;
    Settings.Seed_ = firstSeed() + I;
    Settings.Orders_ = 600;
    Settings.Faults_ = 24;
    runMixed(Settings);
  }
}

// Shows that the schedule causes doubled executions without the mechanism: the
// same orders with the call declared repeatable. Keys are not sent again at the
// end, because that alone would double every order.
TEST_CASE("mixed faults double orders of a call declared repeatable",
          "[proof][once][mixed][counterpart]") {
  OrderDeskSettings Desk;
  Desk.Idempotent_ = true;
  OrderDesk Unprotected(Desk);
  MixedFaultsSettings Settings;
  Settings.Seed_ = firstSeed();
  Settings.AskAgain_ = false;
  REQUIRE(MixedFaults(Unprotected, Settings).run());
  OrderVerdict Verdict = Unprotected.verdict();
  print(Settings.Seed_, Verdict);
  CHECK(Verdict.Doubled_ > 0);
}
