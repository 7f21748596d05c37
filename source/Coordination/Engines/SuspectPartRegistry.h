/// \file
/// Detection of prompt parts that crash engines.
#ifndef AMARANTH_COORDINATION_ENGINES_SUSPECTPARTREGISTRY_H
#define AMARANTH_COORDINATION_ENGINES_SUSPECTPARTREGISTRY_H

#include "Protocol/FleetMessages.h"
#include "Support/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranth::coordination {

/// Settings of SuspectPartRegistry.
struct SuspectPartRegistrySettings {
  /// Crashes without an answer in between after which a part is refused.
  std::size_t CrashLimit_ = 3;
  /// Crashes that are closer together count as one: a fault of the network or
  /// of a rack breaks the connections to many engines at once.
  Milliseconds CrashInterval_{250};
  /// Reports of hosts on a crash of one engine differ in time by less than
  /// this. An engine that has restarted may have the same id.
  Milliseconds MaxReportDifference_{1000};
  /// How long a crash counts.
  Milliseconds CrashLifetime_{600000};
  /// Time since the last crash after which one request with a refused part is
  /// tried. It is multiplied by TrialDelayFactor_ after each trial.
  Milliseconds TrialDelay_{5000};
  int TrialDelayFactor_ = 3;
  /// Trials of a part that no engine has ever answered. Parts that have been
  /// answered are tried without this limit.
  std::uint32_t MaxUnansweredTrials_ = 2;
  /// Crashes kept for each part, the latest ones.
  std::size_t MaxCrashes_ = 128;
  /// Parts remembered; those without crashes are forgotten first.
  std::size_t MaxParts_ = 4096;
};

/// The fleet's other hosts, as the registry needs them.
class SuspectPartPeers {
public:
  virtual ~SuspectPartPeers() = default;
  /// Sends a change of the registry to all peers.
  virtual void reportParts(const protocol::SuspectParts &Report) = 0;
  /// Whether this host tries requests with \p Part. One host does for each
  /// part, so that the number of trials does not grow with the fleet.
  virtual bool triesPart(const std::string &Part) const = 0;
};

/// Finds prompt parts that crash the engines that begin to answer them, from
/// the requests of all hosts that were waiting for their first event when an
/// engine crashed. The requests with such a part differ in all else, and other
/// requests share their other parts. A part is refused when it has reached the
/// crash limit and no other part is the likelier cause. An answer clears the
/// parts of its prompt. To clear a part that was refused by mistake, single
/// requests with it are tried.
class SuspectPartRegistry final {
public:
  explicit SuspectPartRegistry(SuspectPartPeers &Peers,
                               SuspectPartRegistrySettings Settings = {});

  /// Records that \p Engine crashed before it answered a request with
  /// \p Parts.
  void onCrash(const std::vector<std::string> &Parts, const std::string &Engine,
               SteadyTime Now);
  /// Records that an engine has completed an answer to a request with \p Parts.
  void onAnswered(const std::vector<std::string> &Parts, SteadyTime Now);
  /// The refused part of \p Parts, or null if a request with them may be sent.
  const std::string *findRefused(const std::vector<std::string> &Parts,
                                 SteadyTime Now) const;
  /// Call before a request is sent: it may be the trial of a refused part.
  void onSent(const std::vector<std::string> &Parts, SteadyTime Now);

  /// Merges a peer's report, without passing it on.
  void merge(const protocol::SuspectParts &FromPeer, SteadyTime Now);
  /// The part with its crashes if it has reached the crash limit.
  std::optional<protocol::SuspectPart> findSuspect(const std::string &Id,
                                                   SteadyTime Now) const;
  /// All suspect parts, for a peer that has just connected.
  protocol::SuspectParts suspects(SteadyTime Now) const;

private:
  struct Crash {
    std::string Engine_;
    SteadyTime Time_;
  };
  struct Entry {
    std::vector<Crash> Crashes_; ///< Since its last answer, by time.
    bool Answered_ = false;      ///< An engine has completed an answer with it.
    SteadyTime LastAttempt_{};   ///< Time of its last crash or trial.
    std::uint32_t Trials_ = 0;   ///< Trials since its last answer, by any host.
    SteadyTime LastReport_{};    ///< Time of the last report on it.
  };

  bool isSameCrash(const Crash &Left, const Crash &Right) const;
  /// Whether \p Crashes reach the crash limit.
  bool reachesLimit(const std::vector<Crash> &Crashes, SteadyTime Now) const;
  bool isSuspect(const Entry &Part, SteadyTime Now) const;
  /// A suspect is refused unless other suspects that are likelier causes were
  /// running at most of its crashes. A part that was never answered is a
  /// likelier cause than one that was, then the part with more crashes.
  bool isRefused(const Entry &Part, SteadyTime Now) const;
  bool mayTry(const std::string &Id, const Entry &Part, SteadyTime Now) const;
  /// The part as it is reported to other hosts, without its crashes.
  static protocol::SuspectPart report(const std::string &Id, const Entry &Part,
                                      SteadyTime Now);
  static protocol::SuspectPart
  reportWithCrashes(const std::string &Id, const Entry &Part, SteadyTime Now);
  /// Adds a crash. False if it is known.
  bool addCrash(Entry &Part, const Crash &Added, SteadyTime Now);
  Entry &findOrAdd(const std::string &Id, SteadyTime Now);
  void removeOldest();

  SuspectPartPeers &Peers_;
  SuspectPartRegistrySettings Settings_;
  std::map<std::string, Entry> Parts_;
};

} // namespace amaranth::coordination

#endif
