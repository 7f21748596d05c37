/// \file
/// Detection of inputs that crash targets.
#ifndef AMARANTH_COORDINATION_SUSPECTREGISTRY_H
#define AMARANTH_COORDINATION_SUSPECTREGISTRY_H

#include "Protocol/PeerMessages.h"
#include "Support/Time.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace amaranth::coordination {

/// Settings of SuspectRegistry.
struct SuspectRegistrySettings {
  /// Time source; a simulation replaces it.
  std::function<SteadyTime()> Now_ = [] { return SteadyClock::now(); };
  /// How long a reset connection counts while the target is not known to have
  /// crashed. Doubled each time that the input is refused again.
  Milliseconds UnconfirmedLifetime_{30000};
  /// How long a confirmed crash counts: one after which the target refused
  /// connections.
  Milliseconds ConfirmedLifetime_{600000};
  /// Bound on remembered inputs; the input nearest to expiry is evicted first.
  std::size_t MaxInputs_ = 4096;
  /// Crashes after which an input is refused. One is enough for an input that
  /// was refused before and has not completed since.
  std::size_t CrashLimit_ = 2;
  /// An input is taken as innocent if, when the targets that it shared with
  /// another input crashed, it had run for more than this factor times the run
  /// of the other, plus the margin. The margin covers the time between the
  /// arrivals of the two inputs.
  int InnocentRunFactor_ = 3;
  Milliseconds InnocentRunMargin_{30};
  /// Time in which peers report which inputs a crashed target was running: a
  /// message between hosts of two data centres and some delay in sending it.
  Milliseconds ReportDelay_{50};
  /// Time between the repeats of two inputs that were running on the same
  /// target when it crashed. When the second input starts, the first has run
  /// for long compared with the time to a crash.
  Milliseconds TurnInterval_{250};
  /// Maximum number of intervals that an input waits; bounds the delay of
  /// innocent inputs.
  std::size_t MaxTurns_ = 8;
};

/// Whether and where an input may run.
enum class InputStatus {
  Clear,   ///< It may run on any target.
  Suspect, ///< Only its two candidate targets may run it.
  Refused, ///< It has reached the crash limit and may not run.
};

/// Receives the registry's changes, in order to report them to peers. Called
/// without locks held.
class SuspectListener {
public:
  virtual ~SuspectListener() = default;
  virtual void onSuspectChanged(const protocol::SuspectInput &Suspect) = 0;
};

/// Counts the targets that crashed while they ran an input, by the digest of
/// the input, on this host and on peers. Such an input is suspect. A crash also
/// hits inputs that merely ran on the target together with its cause. An input
/// is taken as innocent if another input was running on all of its crashed
/// targets, and either
/// - the other input is refused, because more targets crashed under it, or
/// - this input had run for long when a target crashed and the other never had:
///   the cause crashes a target soon after it starts there.
/// Run times are measured by each host for itself and mislead on a busy host.
/// They therefore only save an input from waiting and from being refused; until
/// it has reached the crash limit it stays at its two candidates, on which all
/// hosts agree.
/// Resets that no host has confirmed as crashes are forgotten after a while, so
/// that a sound input is not refused for long. An input that was refused is
/// then tried again: it is refused by its next crash, for twice as long.
/// Thread-safe.
class SuspectRegistry final {
public:
  explicit SuspectRegistry(SuspectRegistrySettings Settings = {},
                           SuspectListener *Listener = nullptr);

  InputStatus inputStatus(const std::string &Digest);
  /// Names of the targets that crashed while they ran \p Digest.
  std::vector<std::string> crashedTargets(const std::string &Digest);

  /// How long an input whose target crashed waits before it runs again. Suspect
  /// inputs that were running on the same target take turns, so that a further
  /// crash shows which of them is the cause. The turns follow the order of the
  /// digests, so that all hosts agree on them.
  Milliseconds repeatDelay(const std::string &Digest);

  /// Records that the connection to \p Target was reset when it had run
  /// \p Digest for \p RunTime.
  void onConnectionReset(const std::string &Digest, const std::string &Target,
                         Milliseconds RunTime);
  /// Records that \p Target refuses connections, which confirms that its resets
  /// were crashes.
  void onConnectionRefused(const std::string &Target);
  /// Records that \p Target completed \p Digest. This clears the input, unless
  /// its only recorded crash is a confirmed one of \p Target itself.
  void onCompleted(const std::string &Digest, const std::string &Target);

  /// Merges a peer's report, without passing it on.
  void merge(const protocol::SuspectInput &FromPeer);
  /// Up to \p Limit inputs for gossip, those with the latest crash first. Only
  /// crashes seen by this host itself are included, so that hosts cannot keep
  /// an entry alive by reporting it to each other.
  std::vector<protocol::SuspectInput> recentLocalSuspects(std::size_t Limit);

private:
  struct Crash {
    SteadyTime Time_;
    SteadyTime Expiry_;
    bool Confirmed_ = false;
    bool Local_ = false; ///< Seen by this host, not only reported by a peer.
  };
  struct Entry {
    std::map<std::string, Crash> Crashes_; ///< By target name.
    Milliseconds LongestRun_{0};           ///< Longest run time at a crash.
    int Refusals_ = 0; ///< How often it reached the crash limit.
    /// When the refusals are forgotten.
    SteadyTime RefusalsExpiry_{};
  };

  /// The entry of \p Digest without its expired crashes, or null.
  Entry *find(const std::string &Digest, SteadyTime Now);
  bool isAtCrashLimit(const Entry &Suspect) const;
  /// Refuses \p Suspect once more, for longer than before.
  void refuse(Entry &Suspect, SteadyTime Now);
  /// True if another input is the likelier cause of all crashes of \p Subject.
  bool isInnocent(const Entry &Subject, SteadyTime Now) const;
  /// True if an input that is refused explains all crashes of \p Subject.
  bool isExplainedByRefused(const Entry &Subject, SteadyTime Now) const;
  /// True if \p Other was at all crashed targets of \p Subject.
  static bool sharesAllCrashes(const Entry &Subject, const Entry &Other,
                               SteadyTime Now);
  void removeExpired(SteadyTime Now);
  void addCrash(const std::string &Digest, const std::string &Target,
                Milliseconds RunTime, bool Local);
  static protocol::SuspectInput toMessage(const std::string &Digest,
                                          const Entry &Suspect);

  SuspectRegistrySettings Settings_;
  SuspectListener *Listener_;
  std::mutex Mutex_;
  std::map<std::string, Entry> Inputs_;
  SteadyTime NextExpiryCheck_{};
};

} // namespace amaranth::coordination

#endif
