/// \file
/// Open-loop load for integration tests.
#ifndef AMARANTH_TESTS_INTEGRATION_LOADGENERATOR_H
#define AMARANTH_TESTS_INTEGRATION_LOADGENERATOR_H

#include "Support/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace amaranth::integration {

/// Settings of LoadGenerator.
struct LoadSettings {
  double RatePerSecond_ = 100;
  Milliseconds Duration_{1000};
  std::uint64_t Seed_ = 1;
  /// Requests in flight at once. An arrival that finds all busy is sent late,
  /// and its wait counts as latency.
  int MaxInFlight_ = 64;
};

/// How a job judged its request.
struct LoadOutcome {
  bool Ok_ = false;
  std::string Kind_; ///< For counting, for example "completed" or "not_run".
};

/// One request of a run.
struct LoadSample {
  std::size_t Index_ = 0;
  Microseconds IntendedSendTime_{0}; ///< Intended send time since the start.
  Microseconds SendDelay_{0};        ///< How much later it was sent.
  Microseconds Latency_{0}; ///< From the intended send time to the end.
  LoadOutcome Outcome_;
};

/// The samples of a run, by index.
class LoadReport final {
public:
  explicit LoadReport(std::vector<LoadSample> Samples);

  const std::vector<LoadSample> &samples() const { return Samples_; }

  std::size_t countOk() const;
  std::size_t count(const std::string &Kind) const;

  /// The latency below which \p Fraction of the successful requests lie (by
  /// nearest rank); 0 if none succeeded.
  Microseconds latency(double Fraction) const;

  /// The largest lateness of the generator itself. A run whose lateness
  /// matters beside its latencies needs more requests in flight.
  Microseconds maxSendDelay() const;

private:
  std::vector<LoadSample> Samples_;
};

/// Sends requests at the times of a seeded Poisson process, whatever the
/// replies, so that a slow system cannot slow its own load down. Bounded in
/// time and number.
class LoadGenerator final {
public:
  /// Sends request \p Index and waits for its end; called on several threads.
  using Job = std::function<LoadOutcome(std::size_t Index)>;

  explicit LoadGenerator(const LoadSettings &Settings);

  /// Blocks until all requests have ended.
  LoadReport run(const Job &SendRequest);

  /// The intended send times since the start; equal for equal settings.
  const std::vector<Microseconds> &arrivals() const { return Arrivals_; }

private:
  LoadSample sendOne(std::size_t Index, SteadyTime Start,
                     const Job &SendRequest);

  LoadSettings Settings_;
  std::vector<Microseconds> Arrivals_;
};

} // namespace amaranth::integration

#endif
