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
  /// Maximum number of requests in flight. An arrival above it is sent late,
  /// and the delay counts as latency.
  int MaxInFlight_ = 64;
};

/// Result of one request, as reported by the job that sent it.
struct LoadOutcome {
  bool Ok_ = false;
  std::string Kind_; ///< Label for counting, for example "completed".
};

/// Measurements of one request.
struct LoadSample {
  std::size_t Index_ = 0;
  Microseconds IntendedSendTime_{0}; ///< Since the start of the run.
  Microseconds SendDelay_{0};        ///< Actual minus intended send time.
  Microseconds Latency_{0}; ///< From the intended send time to the end.
  LoadOutcome Outcome_;
};

/// The samples of a run, in the order of their indices.
class LoadReport final {
public:
  explicit LoadReport(std::vector<LoadSample> Samples);

  const std::vector<LoadSample> &samples() const { return Samples_; }

  std::size_t countOk() const;
  std::size_t count(const std::string &Kind) const;

  /// Quantile \p Fraction of the latency of the successful requests, by nearest
  /// rank; 0 if none succeeded.
  Microseconds latency(double Fraction) const;

  /// The longest delay between intended and actual send time. If it is not
  /// small compared with the latencies, the run needs a larger MaxInFlight_.
  Microseconds maxSendDelay() const;

private:
  std::vector<LoadSample> Samples_;
};

/// Open-loop generator: sends requests at the times of a seeded Poisson process
/// without waiting for replies, so that a slow system does not reduce its own
/// load. Duration and number of requests are bounded.
class LoadGenerator final {
public:
  /// Sends request \p Index and waits for its result; called on several
  /// threads.
  using Job = std::function<LoadOutcome(std::size_t Index)>;

  explicit LoadGenerator(const LoadSettings &Settings);

  /// Blocks until all requests have ended.
  LoadReport run(const Job &SendRequest);

  /// Intended send times since the start; the same for the same settings.
  const std::vector<Microseconds> &arrivals() const { return Arrivals_; }

private:
  LoadSample sendOne(std::size_t Index, SteadyTime Start,
                     const Job &SendRequest);

  LoadSettings Settings_;
  std::vector<Microseconds> Arrivals_;
};

} // namespace amaranth::integration

#endif
