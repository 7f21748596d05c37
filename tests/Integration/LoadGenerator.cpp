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
  std::exponential_distribution<double> Gap(Settings.RatePerSecond_);
  std::vector<Microseconds> Arrivals;
  std::chrono::duration<double> Time{Gap(Random)};
  while (Time < Settings.Duration_) {
    Arrivals.push_back(std::chrono::duration_cast<Microseconds>(Time));
    Time += std::chrono::duration<double>{Gap(Random)};
  }
  return Arrivals;
}

} // namespace

LoadReport::LoadReport(std::vector<LoadSample> Samples)
    : Samples_(std::move(Samples)) {}

std::size_t LoadReport::countOk() const {
  return static_cast<std::size_t>(
      std::count_if(Samples_.begin(), Samples_.end(),
                    [](const auto &Each) { return Each.Outcome_.Ok_; }));
}

std::size_t LoadReport::count(const std::string &Kind) const {
  return static_cast<std::size_t>(
      std::count_if(Samples_.begin(), Samples_.end(), [&](const auto &Each) {
        return Each.Outcome_.Kind_ == Kind;
      }));
}

Microseconds LoadReport::latency(double Fraction) const {
  std::vector<Microseconds> Latencies;
  for (const LoadSample &Each : Samples_)
    if (Each.Outcome_.Ok_)
      Latencies.push_back(Each.Latency_);
  if (Latencies.empty())
    return Microseconds{0};
  std::sort(Latencies.begin(), Latencies.end());
  double Rank = std::ceil(Fraction * static_cast<double>(Latencies.size()));
  auto Index = static_cast<std::size_t>(std::max(Rank, 1.0)) - 1;
  return Latencies[std::min(Index, Latencies.size() - 1)];
}

Microseconds LoadReport::maxLate() const {
  Microseconds Most{0};
  for (const LoadSample &Each : Samples_)
    Most = std::max(Most, Each.Late_);
  return Most;
}

LoadGenerator::LoadGenerator(const LoadSettings &Settings)
    : Settings_(Settings), Arrivals_(poissonArrivals(Settings)) {}

LoadReport LoadGenerator::run(const Job &Send) {
  std::vector<LoadSample> Samples(Arrivals_.size());
  std::atomic<std::size_t> Next = 0;
  SteadyTime Start = SteadyClock::now();
  std::vector<std::thread> Senders;
  for (int I = 0; I < Settings_.MaxInFlight_; ++I)
    Senders.emplace_back([&] {
      for (std::size_t Index = Next++; Index < Samples.size(); Index = Next++)
        Samples[Index] = sendOne(Index, Start, Send);
    });
  for (std::thread &Sender : Senders)
    Sender.join();
  return LoadReport(std::move(Samples));
}

LoadSample LoadGenerator::sendOne(std::size_t Index, SteadyTime Start,
                                  const Job &Send) {
  LoadSample Sample;
  Sample.Index_ = Index;
  Sample.Intended_ = Arrivals_[Index];
  std::this_thread::sleep_until(Start + Sample.Intended_);
  Sample.Late_ = since(Start) - Sample.Intended_;
  Sample.Outcome_ = Send(Index);
  Sample.Latency_ = since(Start) - Sample.Intended_;
  return Sample;
}

} // namespace amaranth::integration
