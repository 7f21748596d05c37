/// \file
/// Measured speed of model engines.
#ifndef AMARANTH_COORDINATION_ENGINES_ENGINESPEED_H
#define AMARANTH_COORDINATION_ENGINES_ENGINESPEED_H

#include "State/TargetRecord.h"
#include "Support/Time.h"

#include <map>
#include <string>
#include <vector>

namespace amaranth::coordination {

/// Settings of EngineSpeed.
struct EngineSpeedSettings {
  /// Weight of the newest measurement.
  double Smoothing_ = 0.2;
  /// Tokens added to each prompt: the part of the time to the first event that
  /// does not depend on the prompt.
  double BaseTokens_ = 400;
  /// An engine counts as usual until it has this many measurements.
  int MinMeasurements_ = 4;
  /// Measurements older than this do not count, so that an engine that was slow
  /// is tried again.
  Milliseconds Lifetime_{20000};
  /// Bounds of slowness(). The time to the first event also has waiting time,
  /// which requests in progress count already.
  double MinSlowness_ = 0.5;
  double MaxSlowness_ = 4;
};

/// Learns from the times to the first event how fast engines read prompts. Not
/// thread-safe.
class EngineSpeed final {
public:
  explicit EngineSpeed(EngineSpeedSettings Settings = {})
      : Settings_(Settings) {}

  /// \p Engine sent its first event \p Time after it got a prompt of which it
  /// had to read \p Tokens.
  void onFirstEvent(const std::string &Engine, double Tokens, Milliseconds Time,
                    SteadyTime Now);
  /// Median time for a token of those \p Engines that were measured; 0 if none
  /// was.
  double usualTime(const std::vector<const state::TargetRecord *> &Engines,
                   SteadyTime Now) const;
  /// Time for a token at \p Engine relative to \p UsualTime; 1 if unknown.
  double slowness(const std::string &Engine, double UsualTime,
                  SteadyTime Now) const;
  void onEngineRemoved(const std::string &Engine) { Entries_.erase(Engine); }
  void forgetUnused(SteadyTime Now);

private:
  struct Entry {
    double TokenTime_ = 0; ///< Moving average, in milliseconds.
    int Measurements_ = 0;
    SteadyTime Updated_{};
  };

  const Entry *find(const std::string &Engine, SteadyTime Now) const;

  EngineSpeedSettings Settings_;
  std::map<std::string, Entry> Entries_;
};

} // namespace amaranth::coordination

#endif
