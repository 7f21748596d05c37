/// \file
/// Request rates of targets that have just started or recovered.
#ifndef AMARANTH_COORDINATION_TARGETS_TARGETPACER_H
#define AMARANTH_COORDINATION_TARGETS_TARGETPACER_H

#include "Protocol/FleetMessages.h"
#include "Support/Time.h"

#include <map>
#include <string>

namespace amaranth::coordination {

/// Settings of TargetPacer.
struct TargetPacerSettings {
  /// Rate at which a target of unknown state starts, in average requests.
  double InitialPerSecond_ = 4;
  /// A target that becomes cold starts at this share of the rate that it
  /// accepts while it is cold. In the replayed load a third of that rate gave
  /// fifteen times as many refusals elsewhere in the fleet.
  double InitialColdShare_ = 2.0 / 3;
  double MinPerSecond_ = 0.5;
  double MaxPerSecond_ = 2000;
  /// Requests that a target may get at once after a pause. Counts against the
  /// tolerance of a cold target.
  double Burst_ = 2;
  /// A target that is not cold may get what it missed in this time. Requests
  /// come in groups; with Burst_ alone, a rate of 41 was used by 8 a second.
  Milliseconds BurstTime_{100};
  /// Added to the rate by each response in usual time while requests wait. The
  /// responses are proportional to the rate, which therefore more than
  /// doubles in a second.
  double IncreasePerResponse_ = 1;
  double DecreaseOnFault_ = 0.5; ///< Factor after a refusal or a failure.
  double DecreaseOnSlow_ = 0.8;  ///< Factor after a slow response.
  /// Further faults within this time are taken as effects of the same rate.
  Milliseconds DecreaseInterval_{500};
  /// Pacing ends when all requests got a place at once for this long and
  /// MinResponses_ responses since the last fault were in usual time.
  Milliseconds CalmTime_{1000};
  int MinResponses_ = 8;
  /// Hosts agree on the elected host when each has noticed a change of the
  /// hosts, within 1.25 s. For this time after a change, another host may give
  /// places too, and a cold target gets at most this share of its rate.
  Milliseconds TakeoverTime_{1500};
  double TakeoverShare_ = 0.25;
  Milliseconds UnusedLifetime_{60000};
};

using protocol::PaceOutcome;

/// A request for a place at a paced target, with what the asking host knows.
struct PaceRequest {
  std::string Target_;
  double Cost_ = 1; ///< In average requests; at least 1.
  /// A place that is later is of no use.
  SteadyClock::duration MaxDelay_{0};
  /// Rate that the asking host was last told; 0 if none.
  double KnownPerSecond_ = 0;
  /// Since when the asking host has had the target paced.
  SteadyTime PacedSince_{};
  /// The target is cold until then and accepts ColdPerSecond_ requests a second
  /// until then; 0 if it is not cold.
  SteadyTime ColdUntil_{};
  double ColdPerSecond_ = 0;
};

struct PacePlace {
  bool Granted_ = false;
  /// Time until the place that was granted, or until the next free one.
  SteadyClock::duration Delay_{0};
  bool IsPaced_ = true; ///< False when the target has its even share.
  double PerSecond_ = 0;
};

/// Gives requests their places at targets that have started, recovered, become
/// cold or returned to service, until each has its even share. One host does so
/// for the whole fleet. The rate starts small, rises with each response in
/// usual time and falls with faults. A cold target is slow by itself, so that
/// its slow responses count as usual; its rate stays below the stated one.
class TargetPacer final {
public:
  explicit TargetPacer(TargetPacerSettings Settings = {});

  /// Takes the next place at a target unless it is too late.
  PacePlace reserve(const PaceRequest &Request, SteadyTime Now);
  void report(const std::string &Target, PaceOutcome Outcome, SteadyTime Now);
  /// Share of the known hosts that this host reaches. Hosts that it does not
  /// reach may have elected another host, so that a cold target gets no more
  /// than this share of its rate from here.
  void setReach(double Share) { Reach_ = Share; }
  /// Hosts began or ceased to serve, as this host sees it.
  void onHostsChanged(SteadyTime Now) { HostsChangedAt_ = Now; }
  void forgetUnused(SteadyTime Now);

private:
  struct Entry {
    double PerSecond_ = 0;
    /// The next place follows this one by LastCost_ at the rate in force then,
    /// so that a rate that was small for a moment does not delay it further.
    SteadyTime LastPlaceAt_{};
    double LastCost_ = 0;
    SteadyTime StartedAt_{};
    SteadyTime TakenOverAt_{}; ///< When this host began to give the places.
    SteadyTime LastRequestAt_{};
    SteadyTime LastShortAt_{}; ///< Last time a request got no place at once.
    SteadyTime LastDecreaseAt_{};
    SteadyTime ColdUntil_{};
    double ColdPerSecond_ = 0;
    int UsualResponses_ = 0; ///< Since the last fault.
    bool IsEnded_ = false;   ///< The target has its even share.
    SteadyTime EndedAt_{};
  };

  void begin(Entry &Target, double PerSecond, SteadyTime Now) const;
  void applyColdness(Entry &Target, const PaceRequest &Request,
                     SteadyTime Now) const;
  double burst(const Entry &Target, double PerSecond, SteadyTime Now) const;
  double allowedRate(const Entry &Target, SteadyTime Now) const;
  bool hasEvenShare(const Entry &Target, SteadyTime Now) const;

  TargetPacerSettings Settings_;
  double Reach_ = 1;
  SteadyTime HostsChangedAt_{};
  std::map<std::string, Entry> Targets_;
};

} // namespace amaranth::coordination

#endif
