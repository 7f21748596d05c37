#include "Coordination/Targets/TargetPacer.h"

#include "Coordination/Targets/PaceModel.h"

#include <catch2/catch.hpp>

#include <map>

using namespace amaranth;
using namespace amaranth::coordination;
using namespace amaranth::testing;

namespace {

const SteadyTime Start{Seconds{1000}};
constexpr double ColdPerSecond = 12;
constexpr int MaxCold = 23; ///< 1.5 times the rate and 5.

PaceRequest request(double Known = 0, SteadyTime ColdUntil = {}) {
  PaceRequest Request;
  Request.Target_ = "t";
  Request.KnownPerSecond_ = Known;
  Request.PacedSince_ = Start;
  Request.ColdUntil_ = ColdUntil;
  Request.ColdPerSecond_ = ColdPerSecond;
  return Request;
}

/// Asks every millisecond until \p Until; each place granted is answered at
/// once. Returns the places.
int placesUntil(TargetPacer &Pacer, const PaceRequest &Request, SteadyTime From,
                SteadyTime Until, PaceOutcome Outcome = PaceOutcome::Usual) {
  int Places = 0;
  for (SteadyTime Now = From; Now < Until; Now += Milliseconds{1})
    if (Pacer.reserve(Request, Now).Granted_) {
      ++Places;
      Pacer.report("t", Outcome, Now);
    }
  return Places;
}

/// The policy that hosts use.
struct PacerPolicy : PacePolicy {
  explicit PacerPolicy(TargetPacerSettings Settings = {}) : Pacer_(Settings) {}
  bool take(int Target, bool IsCold, SteadyTime Now) override {
    PaceRequest Request = request(0, IsCold ? Now + Seconds{1} : SteadyTime{});
    Request.Target_ = std::to_string(Target);
    return Pacer_.reserve(Request, Now).Granted_;
  }
  void report(int Target, PaceOutcome Outcome, double,
              SteadyTime Now) override {
    Pacer_.report(std::to_string(Target), Outcome, Now);
  }
  TargetPacer Pacer_;
};

/// Places at a rate that the subclass computes; all approaches start at 8/s.
struct RatePolicy : PacePolicy {
  bool take(int Target, bool IsCold, SteadyTime Now) override {
    double Rate = std::min(rate(Target, Now), IsCold ? ColdPerSecond : 1e9);
    Microseconds Interval(static_cast<std::int64_t>(1e6 / Rate));
    SteadyTime &Next = Next_.try_emplace(Target, Now).first->second;
    SteadyTime PlaceAt = std::max(Next, Now - Interval);
    if (PlaceAt > Now)
      return false;
    Next = PlaceAt + Interval;
    return true;
  }
  void report(int, PaceOutcome, double, SteadyTime) override {}
  virtual double rate(int Target, SteadyTime Now) = 0;
  std::map<int, SteadyTime> Next_;
};

struct Ramp : RatePolicy {
  double rate(int, SteadyTime Now) override {
    return 8 + 5 * std::chrono::duration<double>(Now - Start).count();
  }
};

/// The rate follows the usual time over the measured one.
struct Gradient : RatePolicy {
  double rate(int Target, SteadyTime) override { return of(Target); }
  void report(int Target, PaceOutcome Outcome, double Ratio,
              SteadyTime) override {
    double Change = Outcome == PaceOutcome::Refused
                        ? 0.5
                        : std::clamp(1.5 / Ratio, 0.5, 1.0);
    double Rate = of(Target);
    Rates_[Target] =
        std::clamp(Rate + (Rate * (Change - 1) + 2) / 4, 1.0, 2000.0);
  }
  double &of(int Target) { return Rates_.try_emplace(Target, 8).first->second; }
  std::map<int, double> Rates_;
};

struct Unpaced : PacePolicy {
  bool take(int, bool, SteadyTime) override { return true; }
  void report(int, PaceOutcome, double, SteadyTime) override {}
};

} // namespace

// Guards against a cold target that gets more than it accepts, at a change of
// the elected host too, and against a rate that stays low after that.
TEST_CASE("target pacer: a cold target never gets more than its rate") {
  TargetPacer Former, Successor;
  SteadyTime Change = Start + Seconds{4};
  PaceRequest Cold = request(0, Start + Seconds{8});
  placesUntil(Former, Cold, Start, Change - Seconds{1});
  int Last = placesUntil(Former, Cold, Change - Seconds{1}, Change);
  CHECK(Last >= ColdPerSecond - 1);
  Cold.KnownPerSecond_ = Former.reserve(Cold, Change).PerSecond_;
  CHECK(Cold.KnownPerSecond_ <= ColdPerSecond);
  // Some hosts still ask the former host.
  int Both = placesUntil(Former, Cold, Change, Change + Seconds{1}) +
             placesUntil(Successor, Cold, Change, Change + Seconds{1});
  CHECK(Both <= ColdPerSecond * 1.25 + 2);
  placesUntil(Successor, Cold, Change + Seconds{1}, Change + Seconds{2});
  CHECK(placesUntil(Successor, Cold, Change + Seconds{2}, Start + Seconds{7}) >=
        ColdPerSecond - 1);
  // Half of the hosts are out of reach and may have elected another host.
  Successor.setReach(0.5);
  CHECK(placesUntil(Successor, Cold, Start + Seconds{7}, Start + Seconds{8}) <=
        ColdPerSecond / 2 + 2);
  CHECK(placesUntil(Successor, request(), Start + Seconds{9},
                    Start + Seconds{12}) > 5 * ColdPerSecond);
}

// Guards against a cold target that stays idle for seconds because the elected
// host gave a place while it reached no other host, at a twenty-fifth of the
// usual rate, and kept the interval of that rate.
TEST_CASE("target pacer: a small rate does not outlast its cause") {
  TargetPacer Pacer;
  PaceRequest Cold = request(0, Start + Seconds{20});
  placesUntil(Pacer, Cold, Start, Start + Seconds{4});
  SteadyTime Resumed = Start + Seconds{6};
  Pacer.onHostsChanged(Resumed);
  Pacer.setReach(1.0 / 25);
  CHECK(placesUntil(Pacer, Cold, Resumed, Resumed + Milliseconds{500}) <= 2);
  SteadyTime Reached = Resumed + Milliseconds{500};
  Pacer.setReach(1);
  Pacer.onHostsChanged(Reached);
  // A quarter of 12 a second for 1.5 s, after a burst.
  int Places = placesUntil(Pacer, Cold, Reached, Reached + Milliseconds{1500});
  CHECK(Places >= 4);
  CHECK(Places <= 7);
}

// Guards against a rate that rises while the target refuses or is slow, and
// against a successor that starts a warm target anew.
TEST_CASE("target pacer: the rate follows how the target responds") {
  TargetPacer Pacer, Refused, Slow;
  double Usual = placesUntil(Pacer, request(), Start, Start + Seconds{4});
  CHECK(Usual > 40);
  CHECK(placesUntil(Refused, request(), Start, Start + Seconds{4},
                    PaceOutcome::Refused) < 12);
  CHECK(placesUntil(Slow, request(), Start, Start + Seconds{4},
                    PaceOutcome::Slow) < 16);
  double Rate = Pacer.reserve(request(), Start + Seconds{4}).PerSecond_;
  TargetPacer Successor;
  PaceRequest Known = request(Rate);
  CHECK(Successor.reserve(Known, Start + Seconds{4}).PerSecond_ == Rate);
  // Ends after a second in which every request got its place at once, and
  // begins anew for a host that has seen the target restart since.
  SteadyTime Now = Start + Seconds{4};
  for (int I = 0; I < 30; ++I, Now += Milliseconds{100}) {
    Pacer.reserve(request(), Now);
    Pacer.report("t", PaceOutcome::Usual, Now);
  }
  CHECK_FALSE(Pacer.reserve(request(), Now).IsPaced_);
  PaceRequest Restarted = request();
  Restarted.PacedSince_ = Now;
  CHECK(Pacer.reserve(Restarted, Now).IsPaced_);
  // It becomes cold while it is paced.
  placesUntil(Pacer, Restarted, Now, Now + Seconds{4});
  PaceRequest Cold = request(0, Now + Seconds{8});
  CHECK(placesUntil(Pacer, Cold, Now + Seconds{4}, Now + Seconds{5}) <=
        ColdPerSecond + 2);
}

// Guards against pacing that costs more than it protects: the table of
// docs/design/target-pace.md. Prints it.
TEST_CASE("target pacer: 23 targets return at once in a burst of requests") {
  auto Print = [](const char *Name, double Slowdown, const PaceFigures &F) {
    std::printf(
        "%-9s slowdown=%g even_s=%.1f refused=%d crashes=%d late=%d again=%ld "
        "cold_max=%d\n",
        Name, Slowdown, F.EvenShareSeconds_, F.Refused_, F.Crashes_, F.Late_,
        F.ReadAgain_, F.MaxColdInSecond_);
  };
  for (double Slowdown : {1.0, 3.0}) {
    PacerPolicy Additive;
    Gradient OnLatency;
    Ramp Fixed;
    Unpaced None;
    PaceFigures Paced = replay(Additive, 4, Slowdown);
    PaceFigures Free = replay(None, 4, Slowdown);
    Print("additive", Slowdown, Paced);
    Print("gradient", Slowdown, replay(OnLatency, 4, Slowdown));
    Print("ramp", Slowdown, replay(Fixed, 4, Slowdown));
    Print("none", Slowdown, Free);
    CHECK(Paced.MaxColdInSecond_ <= MaxCold);
    CHECK(Free.MaxColdInSecond_ > MaxCold);
    CHECK(Paced.Late_ < Free.Late_ / 2);
    if (Slowdown == 1.0)
      CHECK(Paced.EvenShareSeconds_ <= 10);
  }
}
