/// \file
/// What targets and operators have stated about requests to targets.
#ifndef AMARANTH_COORDINATION_TARGETS_TARGETNOTICES_H
#define AMARANTH_COORDINATION_TARGETS_TARGETNOTICES_H

#include "Protocol/FleetMessages.h"
#include "State/TargetRecord.h"
#include "Support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace amaranth::coordination {

/// Settings of TargetNotices.
struct TargetNoticesSettings {
  /// A target that has not answered for this long is asked as if it had no
  /// limit, which shows whether it still has one.
  Milliseconds LimitLifetime_{30000};
  /// Bound on the time for which a target may state that it wants nothing, so
  /// that an invalid statement does not idle it for long.
  Milliseconds MaxWantsNothing_{60000};
  /// Bound on the time for which a target may state that it is cold; targets
  /// are cold for some seconds.
  Milliseconds MaxCold_{120000};
  /// A cold time that ends this much later or earlier than known is news for
  /// the other hosts; smaller differences come from delays of the answers.
  Milliseconds ColdTolerance_{500};
  /// How long statements of a target without a record are kept: a peer may
  /// report them before the record arrives.
  Milliseconds UnregisteredLifetime_{60000};
  /// Bound on remembered sources of irregular statements. Those of further
  /// sources are counted but not logged.
  std::size_t MaxIrregularSources_ = 1024;
};

/// Why a target may not get a new request now.
enum class Withheld { No, Leaving, Evacuated, WantsNothing };

/// What a target stated in one answer.
struct TargetStatement {
  bool IsLeaving_ = false;
  /// It wants no requests from this host for this long.
  std::optional<Milliseconds> WantsNothingFor_;
  /// Requests a second that it accepts; empty if it states no limit.
  std::optional<double> PerSecond_;
  /// The limit that it states is invalid, so that the known one stays.
  bool IsLimitInvalid_ = false;
  std::optional<Milliseconds> ColdFor_; ///< 0 if it is not cold any more.
};

/// Decides which targets may get requests, by what is in force about them:
/// - A target is leaving, for all hosts, until its record is removed or it
///   registers with another incarnation.
/// - A target wants no requests from this host until a given time. Other hosts
///   are not told: the statement does not apply to them.
/// - A target accepts a given number of requests a second from all hosts. It
///   states that in each answer; the limit ends with the first answer without.
/// - A target is cold until a given time.
/// - The data centre of a target is evacuated by the operators.
/// Statements apply to one incarnation of a target and end with it.
class TargetNotices final {
public:
  explicit TargetNotices(TargetNoticesSettings Settings = {});

  Withheld check(const state::TargetRecord &Target, SteadyTime Now) const;

  /// Records what \p Target stated in an answer to this host. True if the other
  /// hosts are to be told.
  bool onAnswer(const state::TargetRecord &Target,
                const TargetStatement &Statement, SteadyTime Now);
  /// What the other hosts are told about a target.
  protocol::TargetNotice peerNotice(const state::TargetRecord &Target,
                                    SteadyTime Now) const;
  void onPeer(const protocol::TargetNotice &Notice, SteadyTime Now);
  /// Records that the store holds \p Record, new or changed.
  void onRecord(const state::TargetRecord &Record, SteadyTime Now);
  /// Records that the store has lost the record of a target that remains in
  /// use, because the store was unreachable. If the incarnation is unknown, a
  /// record that returns counts as a new registration.
  void onMissing(const std::string &Id);
  /// Ends all notices of a target whose record has been removed.
  void onRemoved(const std::string &Id);

  /// The operators evacuate a data centre, or return it to service. True if
  /// that is a change.
  bool setEvacuated(const std::string &DataCentre, bool IsEvacuated);
  const std::set<std::string> &evacuated() const { return Evacuated_; }

  std::optional<double> limit(const std::string &Id) const;
  /// End of the time for which the target has stated that it is cold; may have
  /// passed.
  std::optional<SteadyTime> coldUntil(const std::string &Id) const;
  /// End of the time for which the target wants no requests; may have passed.
  std::optional<SteadyTime> wantsNothingUntil(const std::string &Id) const;
  /// A target with a limit accepts no further request before \p Until.
  void setFullUntil(const std::string &Id, SteadyTime Until);
  /// Time from which a target may accept a request by its limit; in the past if
  /// it states none.
  SteadyTime opensAt(const std::string &Id) const;

  /// Counts an irregular statement, \p StatedBy naming its source (a key of the
  /// store, or a target and what it stated). True for the first of that source,
  /// which is logged.
  bool noteIrregular(const std::string &StatedBy);
  std::uint64_t irregularCount() const { return IrregularCount_; }

  /// Forgets what has expired. Call often.
  void forgetOld(SteadyTime Now);

private:
  enum class Source { Answer, Record, Peer };
  struct Limit {
    double PerSecond_ = 0;
    SteadyTime ReceivedAt_{};
    SteadyTime FullUntil_{};
  };
  struct Cold {
    SteadyTime Until_{};
    Source Source_ = Source::Answer;
  };
  /// The notices of one incarnation of a target.
  struct Entry {
    std::int64_t Incarnation_ = 0;
    bool IsRegistered_ = false; ///< A record of it is in use.
    bool IsMissing_ = false;    ///< The store has lost the record.
    SteadyTime ReceivedAt_{};   ///< Time of the last statement.
    bool IsLeaving_ = false;
    std::optional<SteadyTime> WantsNothingUntil_;
    std::optional<Limit> Limit_;
    std::optional<Cold> Cold_;
  };

  const Entry *find(const std::string &Id) const;
  /// The entry for a statement of an incarnation; null if a newer one is known.
  Entry *entryFor(const std::string &Id, std::int64_t Incarnation,
                  SteadyTime Now);
  /// Each returns whether that changes what is known.
  bool setLimit(Entry &Target, std::optional<double> PerSecond, SteadyTime Now);
  bool setCold(Entry &Target, Milliseconds ColdFor, Source From,
               SteadyTime Now);

  TargetNoticesSettings Settings_;
  std::map<std::string, Entry> Entries_;
  /// Whether an entry may withhold requests, and whether one has a limit. Each
  /// request asks for every target of its service, and mostly there are none.
  bool MayWithhold_ = false;
  bool HasLimits_ = false;
  std::set<std::string> Evacuated_;
  std::set<std::string> IrregularSources_;
  std::uint64_t IrregularCount_ = 0;
};

} // namespace amaranth::coordination

#endif
