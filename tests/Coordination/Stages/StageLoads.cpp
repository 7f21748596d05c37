#include "StageLoadReplay.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <sstream>

namespace amaranth::testing {

namespace {

bool isWithin(double Time, Seconds Begin, Seconds End) {
  return Time >= static_cast<double>(Begin.count()) &&
         Time < static_cast<double>(End.count());
}

} // namespace

std::vector<ReplayArrival> drawArrivals(const StageLoad &Load,
                                        std::mt19937 &Random) {
  std::uniform_real_distribution<double> Uniform(0, 1);
  std::vector<ReplayArrival> Arrivals;
  double Time = 0;
  while (Time < static_cast<double>(Load.Duration_.count())) {
    double Wave =
        1 + Load.WaveAmplitude_ *
                std::sin(2 * std::numbers::pi * Time /
                         static_cast<double>(Load.WavePeriod_.count()));
    if (isWithin(Time, Load.StepBegin_, Load.StepEnd_))
      Wave *= Load.StepFactor_;
    Time +=
        -std::log(1 - Uniform(Random)) * 3 / (Load.RequestsPerSecond_ * Wave);
    Microseconds At(static_cast<std::int64_t>(Time * 1e6));
    bool IsBurst = isWithin(Time, Load.BurstBegin_, Load.BurstEnd_);
    for (int I = 0; I < 3; ++I)
      for (std::size_t Class = 0; Class < Load.Classes_.size(); ++Class) {
        double Expected = Load.Classes_[Class].Share_ *
                          (IsBurst && Class == 0 ? Load.BurstFactor_ : 1);
        for (; Uniform(Random) < Expected; Expected -= 1)
          Arrivals.push_back({At, Class});
      }
  }
  return Arrivals;
}

double ReplayCounts::inAim() const {
  return static_cast<double>(InAim_) /
         static_cast<double>(std::max<std::size_t>(1, total()));
}

std::string ReplayResult::describe(const StageLoad &Load) const {
  std::ostringstream Text;
  Text.precision(3);
  Text << "worth " << Worth_ / MaxWorth_;
  for (std::size_t I = 0; I < Day_.size(); ++I)
    for (const ReplayCounts *Counts : {&Day_[I], &Peak_[I]})
      Text << (Counts == &Day_[I] ? "\n" + Load.Classes_[I].Name_ : "  peak")
           << " in aim " << Counts->inAim() << " of " << Counts->total()
           << " late " << Counts->Late_ << " refused " << Counts->Refused_
           << " failed " << Counts->Failed_;
  for (std::size_t I = 0; I < Calls_.size(); ++I) {
    const ReplayCalls &Calls = Calls_[I];
    double Count = std::max<double>(1, static_cast<double>(Calls.Calls_));
    Text << "\n"
         << Load.Services_[I].Name_ << " busy " << Calls.Busy_
         << " pieces a call " << static_cast<double>(Calls.Pieces_) / Count
         << " free MB " << static_cast<double>(Calls.FreeBytes_) / Count / 1e6
         << " not in aim " << Calls.Wasted_ << " longest queue "
         << Calls.LongestQueue_;
  }
  return Text.str();
}

namespace {

state::StageCapacity makeCapacity(std::size_t Batch, Microseconds PieceTime,
                                  std::uint64_t Bytes) {
  return {1, Batch, Milliseconds{240}, PieceTime, Bytes, Seconds{4}};
}

std::size_t draw(std::mt19937 &Random, double Mean, int Max) {
  return static_cast<std::size_t>(
      std::min(std::poisson_distribution<int>(Mean)(Random), Max));
}

} // namespace

StageLoad measuredStageLoad() {
  StageLoad Load;
  Load.Services_ = {
      {"first", 18, makeCapacity(14, Microseconds{15000}, 17'000'000)},
      {"second", 15, makeCapacity(42, Microseconds{4900}, 4'700'000)},
      {"third", 16, makeCapacity(52, Microseconds{4000}, 580'000)}};
  auto Small = [](std::mt19937 &Random) {
    return std::vector<std::size_t>{1, 4, 1 + draw(Random, 5, 14)};
  };
  // 30 % have no pieces.
  auto Large = [](std::mt19937 &Random) {
    return std::vector<std::size_t>{
        Random() % 10 < 3 ? 0 : 1 + draw(Random, 2.6, 9)};
  };
  auto Tag = [](std::mt19937 &) { return std::vector<std::size_t>{1}; };
  Load.Classes_ = {
      {"small",
       0.375,
       {{"first", {}, 8000}, {"second", {0}, 60000}, {"third", {1}, 6000}},
       Small,
       0.3,
       0,
       Milliseconds{2000},
       Seconds{10},
       1.4},
      {"large",
       0.24,
       {{"first", {}, 800000}},
       Large,
       1,
       1,
       Milliseconds{1200},
       Seconds{10},
       5.3},
      {"tag",
       0.385,
       {{"third", {}, 6000}},
       Tag,
       0.3,
       2,
       Milliseconds{2000},
       Seconds{6},
       0.48}};
  Load.RequestsPerSecond_ = 600;
  Load.AccountShare_ = 0.5;
  Load.WaveAmplitude_ = 0.55;
  Load.BurstFactor_ = 2;
  Load.BurstBegin_ = Seconds{13};
  Load.BurstEnd_ = Seconds{18};
  return Load;
}

StageLoad stepStageLoad() {
  StageLoad Load = measuredStageLoad();
  // 560 requests a second need all of the first stage in full calls.
  constexpr double Capacity = 560;
  Load.RequestsPerSecond_ = 0.6 * Capacity;
  Load.WaveAmplitude_ = 0;
  Load.BurstFactor_ = 1;
  Load.StepFactor_ = 1.3 / 0.6;
  Load.StepBegin_ = Seconds{5};
  Load.StepEnd_ = Seconds{10};
  Load.Duration_ = Seconds{20};
  Load.PeakBegin_ = Seconds{5};
  Load.PeakEnd_ = Seconds{12};
  return Load;
}

StageLoad largeResultLoad() {
  StageLoad Load;
  Load.Services_ = {
      {"only", 4, makeCapacity(8, Microseconds{26000}, 9'600'000)}};
  auto Counts = [](std::mt19937 &Random) {
    return std::vector<std::size_t>{1 + draw(Random, 2.6, 9)};
  };
  Load.Classes_ = {{"image",
                    1,
                    {{"only", {}, 800000}},
                    Counts,
                    1,
                    0,
                    Milliseconds{1200},
                    Seconds{10},
                    1}};
  Load.RequestsPerSecond_ = 14;
  Load.WaveAmplitude_ = 0.55;
  return Load;
}

} // namespace amaranth::testing
