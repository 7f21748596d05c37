/// \file
/// The targets whose requests need a place from the elected host.
#ifndef AMARANTH_COORDINATION_TARGETS_PACEDTARGETS_H
#define AMARANTH_COORDINATION_TARGETS_PACEDTARGETS_H

#include "Coordination/Targets/TargetHealth.h"
#include "Coordination/Targets/TargetPacer.h"
#include "State/RoutingTable.h"
#include "State/TargetRecord.h"

#include <map>
#include <optional>
#include <string>

namespace amaranth::coordination {

/// Settings of PacedTargets.
struct PacedTargetsSettings {
  /// A target of a service with cold targets counts as cold for this long after
  /// it started or returned, because its record may be two heartbeats old.
  Milliseconds UnconfirmedTime_{2500};
  /// Consecutive failures after which a target is paced when it recovers.
  int FailuresToPace_ = 3;
  /// A response is slow after this many times the service's usual time, plus
  /// the margin.
  double SlowFactor_ = 2.5;
  Milliseconds SlowMargin_{100};
  double UsualTimeWeight_ = 0.05; ///< Of a new response in the usual time.
  /// Without the elected host, a target that is not cold may get at least one
  /// request in this time from this host.
  Milliseconds MaxShareInterval_{250};
  /// Without a reply, the elected host is asked again after this long: it may
  /// be back, or another host may have been elected.
  Milliseconds AskAgainDelay_{250};
  /// All hosts without the elected host together send a cold target at most
  /// this share of its rate.
  double ColdShare_ = 0.25;
  /// A record that returns within this time with the same incarnation is not
  /// that of a new target.
  Milliseconds RemovalRetention_{60000};
};

/// Which targets are paced, as one host sees it, and this host's share of the
/// rate of each, for when it cannot reach the host that paces the target.
///
/// A target is paced after it has started, become cold or recovered, if its
/// service has a rate for cold targets, and after its data centre has returned
/// to service. Targets that were known at the first complete read, or that
/// register before their service has responded to this host, are paced only if
/// they are cold, so that a fleet or a service that starts serves at once.
///
/// The bound for cold targets holds over all hosts: the elected host gives at
/// most the stated rate, a host that has just become the elected one a quarter
/// of it, and all hosts that reach neither another quarter. With the bursts of
/// two hosts this stays below 1.5 times the rate and 5 requests.
class PacedTargets final {
public:
  explicit PacedTargets(std::string Host, PacedTargetsSettings Settings = {});

  void onConfiguration(state::RoutingTablePtr Table) { Table_ = Table; }
  void onRecord(const state::TargetRecord &Record, SteadyTime Now);
  /// The target is cold until \p Until, which may have passed.
  void onCold(const std::string &Id, SteadyTime Until, SteadyTime Now);
  void onRemoved(const std::string &Id, SteadyTime Now);
  void onRecordsComplete() { IsLoaded_ = true; }
  /// The targets of \p DataCentre may get requests again.
  void onDataCentreReturned(const std::string &DataCentre, SteadyTime Now);
  /// Records how a target responded after \p Time to a request of \p Cost.
  /// Returns what to report to the elected host if the target is paced.
  std::optional<PaceOutcome> onResponse(const state::TargetRecord &Record,
                                        TargetResult Result, Milliseconds Time,
                                        double Cost, SteadyTime Now);

  bool isPaced(const std::string &Id) const;
  /// The request for a place at a target; nothing if it is not paced.
  std::optional<PaceRequest> makeRequest(const std::string &Id, double Cost,
                                         SteadyTime Now) const;
  /// The elected host is asked for a place.
  void onAsked(const std::string &Id, SteadyTime Now);
  /// Takes the elected host's reply to \p Request.
  void onReply(const PaceRequest &Request, const PacePlace &Place,
               SteadyTime Now);
  /// A place from this host's share of the rate, when the elected host cannot
  /// be asked. \p Hosts is the number of hosts known.
  PacePlace reserveShare(const PaceRequest &Request, std::size_t Hosts,
                         SteadyTime Now);
  /// Time from which the target may have a free place; in the past if it is not
  /// paced.
  SteadyTime opensAt(const std::string &Id) const;
  /// Whether the elected host has not replied to the last request for a place,
  /// so that opensAt() is the time of this host's share.
  bool isUnanswered(const std::string &Id) const;
  /// Whether to ask for a place that is free at once. While the elected host
  /// does not reply, one request at a time asks it.
  bool mayHavePlace(const std::string &Id, SteadyTime Now) const;
  /// Forgets targets that have left long ago.
  void forgetUnused(SteadyTime Now);

private:
  struct Entry {
    std::string Service_;
    std::string DataCentre_;
    std::int64_t Incarnation_ = 0;
    std::optional<SteadyTime> RemovedAt_;
    std::optional<SteadyTime> PacedSince_;
    bool HasReturned_ = false; ///< Paced because its data centre returned.
    SteadyTime ColdUntil_{};
    SteadyTime UnconfirmedUntil_{};
    SteadyTime OpensAt_{};
    double PerSecond_ = 0; ///< As last told by the elected host; 0 if unknown.
    SteadyTime NextShareAt_{};
    bool IsUnanswered_ = false;
    SteadyTime AskAgainAt_{}; ///< While IsUnanswered_.
    int FailureStreak_ = 0;
  };

  const state::Service *findService(const Entry &Target) const;
  double coldPerSecond(const Entry &Target) const;
  static SteadyTime coldUntil(const Entry &Target);
  bool isPaced(const Entry &Target) const;
  const Entry *findPaced(const std::string &Id) const;
  void start(const std::string &Id, Entry &Target, const char *Reason,
             bool MayBeCold, SteadyTime Now);

  std::string Host_;
  PacedTargetsSettings Settings_;
  state::RoutingTablePtr Table_;
  bool IsLoaded_ = false;
  std::map<std::string, Entry> Targets_;
  /// Whether any target may be paced. Each request asks for every target of its
  /// service, and mostly none is.
  bool HasPaced_ = false;
  /// Usual time of a response for each unit of cost, in milliseconds, by
  /// service.
  std::map<std::string, double> UsualMs_;
};

} // namespace amaranth::coordination

#endif
