#include "Integration/LoadGenerator.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <random>
#include <thread>

namespace amaranth::integration {

namespace {

Microseconds since(SteadyTime Start) {
  return std::chrono::duration_cast<Microseconds>(SteadyClock::now() - Start);
}

std::vector<Microseconds> poissonArrivals(const LoadSettings &Settings) {
  std::mt19937_64 Random(Settings.Seed_);
  std::exponential_distribution<double> Interval(Settings.RatePerSecond_);
  std::vector<Microseconds> Arrivals;
  std::chrono::duration<double> Time{Interval(Random)};
  while (Time < Settings.Duration_) {
    Arrivals.push_back(std::chrono::duration_cast<Microseconds>(Time));
    Time += std::chrono::duration<double>{Interval(Random)};
  }
  return Arrivals;
}

} // namespace

LoadReport::LoadReport(std::vector<LoadSample> Samples)
    : Samples_(std::move(Samples)) {}

std::size_t LoadReport::countOk() const {
  return static_cast<std::size_t>(
      std::count_if(Samples_.begin(), Samples_.end(),
                    [](const auto &Sample) { return Sample.Outcome_.Ok_; }));
}

std::size_t LoadReport::count(const std::string &Kind) const {
  return static_cast<std::size_t>(
      std::count_if(Samples_.begin(), Samples_.end(), [&](const auto &Sample) {
        return Sample.Outcome_.Kind_ == Kind;
      }));
}

Microseconds LoadReport::latency(double Fraction) const {
  std::vector<Microseconds> Latencies;
  for (const LoadSample &Sample : Samples_)
    if (Sample.Outcome_.Ok_)
      Latencies.push_back(Sample.Latency_);
  if (Latencies.empty())
    return Microseconds{0};
  std::sort(Latencies.begin(), Latencies.end());
  double NearestRank =
      std::ceil(Fraction * static_cast<double>(Latencies.size()));
  auto Index = static_cast<std::size_t>(std::max(NearestRank, 1.0)) - 1;
  return Latencies[std::min(Index, Latencies.size() - 1)];
}

Microseconds LoadReport::maxSendDelay() const {
  Microseconds Longest{0};
  for (const LoadSample &Sample : Samples_)
    Longest = std::max(Longest, Sample.SendDelay_);
  return Longest;
}

LoadGenerator::LoadGenerator(const LoadSettings &Settings)
    : Settings_(Settings), Arrivals_(poissonArrivals(Settings)) {}

LoadReport LoadGenerator::run(const Job &SendRequest) {
  std::vector<LoadSample> Samples(Arrivals_.size());
  std::atomic<std::size_t> Next = 0;
  SteadyTime Start = SteadyClock::now();
  std::vector<std::thread> Senders;
  for (int I = 0; I < Settings_.MaxInFlight_; ++I)
    Senders.emplace_back([&] {
      for (std::size_t Index = Next++; Index < Samples.size(); Index = Next++)
        Samples[Index] = sendOne(Index, Start, SendRequest);
    });
  for (std::thread &Sender : Senders)
    Sender.join();
  return LoadReport(std::move(Samples));
}

LoadSample LoadGenerator::sendOne(std::size_t Index, SteadyTime Start,
                                  const Job &SendRequest) {
  LoadSample Sample;
  Sample.Index_ = Index;
  Sample.IntendedSendTime_ = Arrivals_[Index];
  std::this_thread::sleep_until(Start + Sample.IntendedSendTime_);
  Sample.SendDelay_ = since(Start) - Sample.IntendedSendTime_;
  Sample.Outcome_ = SendRequest(Index);
  Sample.Latency_ = since(Start) - Sample.IntendedSendTime_;
  return Sample;
}

} // namespace amaranth::integration
