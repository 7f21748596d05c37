#include "Coordination/WorkScale.h"

#include <catch2/catch.hpp>

using namespace amaranth::coordination;

namespace {

/// Duration at an engine with 40 ms for each token and 10 ms before the first;
/// the work of a request is its tokens plus 8.
double durationSeconds(double Tokens) { return 0.010 + 0.040 * Tokens; }

WorkScale trained() {
  WorkScale Scale;
  for (int Round = 0; Round < 50; ++Round)
    for (double Tokens : {2.0, 20.0, 96.0})
      Scale.record(Tokens + 8, durationSeconds(Tokens));
  return Scale;
}

} // namespace

// Guards against short requests that seem several times faster than long ones
// on the same engine, as they do with the assumed fixed part of 8 tokens.
TEST_CASE("durations are proportional to the effective work") {
  WorkScale Scale = trained();
  double Short = durationSeconds(2) / Scale.effective(10);
  double Long = durationSeconds(96) / Scale.effective(104);
  CHECK(Short == Approx(Long).epsilon(0.02));
  CHECK(durationSeconds(2) / 10 < 0.3 * durationSeconds(96) / 104);
}

// Guards against comparing times per unit of work of the old and the new scale.
TEST_CASE("a changed scale is reported once") {
  WorkScale Scale;
  int Changes = 0;
  for (int Round = 0; Round < 50; ++Round)
    for (double Tokens : {2.0, 20.0, 96.0})
      Changes += Scale.record(Tokens + 8, durationSeconds(Tokens)) ? 1 : 0;
  CHECK(Changes == 1);
}

// Guards against a fit through samples of one size.
TEST_CASE("equal sizes leave the work as it is") {
  WorkScale Scale;
  for (int I = 0; I < 100; ++I)
    Scale.record(10, 0.09 + 0.0001 * (I % 3));
  CHECK(Scale.effective(10) == 10);
}

// Guards against a straggler that changes the scale for all targets, and
// against ignoring all durations after a lasting change.
TEST_CASE("single outliers are left out and lasting changes are followed") {
  WorkScale Scale = trained();
  double EffectiveBefore = Scale.effective(28);
  Scale.record(10, 30 * durationSeconds(2));
  CHECK(Scale.effective(28) == EffectiveBefore);
  for (int Round = 0; Round < 400; ++Round)
    for (double Tokens : {2.0, 20.0, 96.0})
      Scale.record(Tokens + 8, 10 * durationSeconds(Tokens) + 2);
  CHECK(Scale.effective(10) > 2 * trained().effective(10));
}
