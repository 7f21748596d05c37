/// \file
/// What this daemon knows about its targets.
#ifndef AMARANTH_COORDINATION_TARGETTABLE_H
#define AMARANTH_COORDINATION_TARGETTABLE_H

#include "Coordination/WorkScale.h"
#include "State/ServiceDocument.h"
#include "Support/Time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace amaranth::coordination {

/// Kinds of work whose durations are compared with each other.
enum class WorkClass { Encode, Retrieve, Rerank, Generate, Plain };

/// The class of a stage's work.
WorkClass workClass(state::StageKind Kind);

/// Work of an attempt: output tokens and a fixed part for a Generate stage, so
/// that the paces of short and long outputs can be compared; 1 for others.
double stageWork(state::StageKind Kind, double Tokens);

/// Settings of TargetTable.
struct TargetTableSettings {
  /// Time source; a simulation replaces it.
  std::function<SteadyTime()> Now_ = [] { return SteadyClock::now(); };
  /// A load report older than this is not used.
  Milliseconds ReportLifetime_{5000};
  /// How long a target's own refusal counts more than its load reports.
  Milliseconds RefusalHold_{10000};
  /// How long it keeps the target without new work while nothing tells that
  /// the target serves again or has ended: longer than a target takes to leave.
  Milliseconds MaxRefusalHold_{600000};
  /// Failures in a row after which a target is avoided until its recheck.
  int FailureThreshold_ = 2;
  Milliseconds MinRecheck_{250}; ///< First wait before a recheck.
  Milliseconds MaxRecheck_{4000};
  /// A target this many times slower than its peers is a straggler.
  double SlowFactor_ = 2.5;
  std::uint64_t Seed_ = std::random_device{}();
};

/// A validated load report of a target.
struct LoadReport {
  double QueuedWork_ = 0;    ///< Tokens or calls not yet done.
  double Running_ = 0;       ///< Requests being run.
  double WorkPerSecond_ = 0; ///< 0 if unknown.
  bool Leaving_ = false;
  Milliseconds Age_{0}; ///< Time since the target measured it.
};

/// An entry of the host list.
struct HostListEntry {
  std::string Address_;
  bool Leaving_ = false;
};

/// How an attempt ended, as far as it tells about the target.
enum class AttemptEnd {
  Success,
  Failure,    ///< Error, reset, silence or a corrupt answer.
  Refused,    ///< The connection was refused: nothing listens there.
  Leaving,    ///< The target's own refusal because it is leaving.
  Overloaded, ///< The target refused for lack of capacity.
  Ignored,    ///< Cancelled, or the request was at fault.
};

/// Where new work stands in a target's queue.
enum class QueuePlace {
  Back,  ///< Behind all queued work.
  Front, ///< Before it, by priority; waits only for a place to become free.
};

/// What is predicted of one target for one piece of work.
struct TargetEstimate {
  Microseconds Completion_{0}; ///< Predicted time until the work is done.
  bool Leaving_ = false;
  bool Avoided_ = false; ///< Failing; not to be used before its recheck.
  bool Recheck_ = false; ///< Its recheck is due and not yet taken.
  double Slowdown_ = 1;  ///< Relative to the other targets.
};

/// One target, for operators and metrics.
struct TargetView {
  std::string Address_;
  int InFlight_ = 0;
  double OwnWork_ = 0;
  std::optional<LoadReport> Report_;
  Milliseconds ReportAge_{0};
  Milliseconds RecheckIn_{0};
  bool Leaving_ = false;
  double FailureRate_ = 0;
  /// Recent duration of a unit of work (a token or a call), zero if the target
  /// has completed none.
  Microseconds RecentPace_{0};
  std::uint64_t BadReports_ = 0;
};

/// Load, latency and leaving state of every target, by address. Own work counts
/// from the moment it is sent, so that late reports do not make several
/// requests choose the same target. Thread-safe.
class TargetTable final {
public:
  explicit TargetTable(TargetTableSettings Settings = {});

  /// Records that \p Work was sent to \p Address; returns the attempt's id.
  std::uint64_t begin(const std::string &Address, WorkClass Class, double Work);

  /// Records the end of an attempt; \p ActualWork is what was done.
  void end(const std::string &Address, std::uint64_t Id, AttemptEnd End,
           double ActualWork);

  void onLoadReport(const std::string &Address, const LoadReport &Report);
  /// A target that was asked for a report refused the connection: what it said
  /// before, also that it leaves, ended with its process.
  void onEnded(const std::string &Address);
  /// Counts a report that failed its check.
  void onBadReport(const std::string &Address);
  void onHostList(const std::vector<HostListEntry> &Hosts);

  /// Predictions for \p Work at each of \p Addresses, in their order. Targets
  /// are compared with each other, so all targets of a stage belong in one
  /// call.
  std::vector<TargetEstimate>
  estimate(const std::vector<std::string> &Addresses, WorkClass Class,
           double Work, QueuePlace Place = QueuePlace::Back);

  bool isLeaving(const std::string &Address);
  std::vector<TargetView> view();

  /// Forgets targets that are in no document, keeping \p Addresses and targets
  /// with attempts in flight.
  void retain(const std::vector<std::string> &Addresses);

private:
  struct InFlight {
    SteadyTime Start_;
    WorkClass Class_ = WorkClass::Plain;
    double Work_ = 0;
  };

  /// Durations of one class at one target, in seconds per unit of work.
  struct Pace {
    double Recent_ = 0; ///< Moving average.
    double Best_ = 0;   ///< Slowly rising minimum: the pace without a queue.
    int Samples_ = 0;
  };

  struct Entry {
    std::map<std::uint64_t, InFlight> InFlight_;
    /// Own attempts in flight since each time, for the life of a report.
    std::deque<std::pair<SteadyTime, std::size_t>> OwnHistory_;
    double OwnWork_ = 0;
    double SentSinceReport_ = 0;
    std::optional<LoadReport> Report_;
    SteadyTime ReportMeasured_;
    std::uint64_t BadReports_ = 0;
    std::array<Pace, 5> Pace_;

    double FailureRate_ = 0;
    int FailureStreak_ = 0;
    bool Down_ = false; ///< Its last failure was a refused connection.
    SteadyTime FailureTime_;
    SteadyTime AvoidUntil_;
    bool RecheckTaken_ = false;
    Milliseconds SlowWait_{0};
    SteadyTime SlowRecheckAt_;

    std::optional<SteadyTime> RefusedAt_;
    bool ReportedLeaving_ = false;
    /// Last time the target's own word changed from leaving to serving.
    std::optional<SteadyTime> ReturnedAt_;
    std::optional<SteadyTime> ListedLeavingAt_;
  };

  static constexpr std::size_t index(WorkClass Class) {
    return static_cast<std::size_t>(Class);
  }

  /// \p Work in units that durations are proportional to.
  double effectiveWork(WorkClass Class, double Work) const;
  /// Starts the paces of a class anew, after a change of scale.
  void forgetPaces(WorkClass Class);
  void recordPace(Entry &Target, const InFlight &Attempt, double ActualWork,
                  SteadyTime Now);
  void recordCancelled(Entry &Target, const InFlight &Attempt, SteadyTime Now);
  void recordFailure(Entry &Target, AttemptEnd End, SteadyTime Now);
  Milliseconds recheckWait(int Streak);
  bool leaving(const Entry &Target, SteadyTime Now) const;
  double pendingWork(const Entry &Target, SteadyTime Now) const;
  void noteOwn(Entry &Target, SteadyTime Now);
  bool reportValid(const Entry &Target, SteadyTime Now) const;
  double othersRunning(const Entry &Target) const;
  double queueDelay(const Entry &Target, double UnloadedPace,
                    double TypicalOthers, QueuePlace Place,
                    SteadyTime Now) const;
  double overdue(const Entry &Target, WorkClass Class, double Typical,
                 SteadyTime Now) const;

  TargetTableSettings Settings_;
  std::mutex Mutex_;
  std::map<std::string, Entry> Targets_;
  WorkScale GenerateScale_;
  std::uint64_t NextId_ = 1;
  std::mt19937_64 Random_;
};

/// Keeps an attempt counted in a TargetTable for its scope, so that no path out
/// of an attempt leaves its work counted for ever.
class CountedAttempt final {
public:
  CountedAttempt(TargetTable &Table, std::string Address, WorkClass Class,
                 double Work);
  /// Ends the attempt as Ignored unless end() was called.
  ~CountedAttempt();
  CountedAttempt(const CountedAttempt &) = delete;
  CountedAttempt &operator=(const CountedAttempt &) = delete;

  void end(AttemptEnd End, double ActualWork);

private:
  TargetTable &Table_;
  std::string Address_;
  std::uint64_t Id_;
  bool Ended_ = false;
};

} // namespace amaranth::coordination

#endif
