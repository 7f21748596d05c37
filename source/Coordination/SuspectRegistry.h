/// \file
/// Inputs that may crash targets.
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
  /// How long a reset by a target that still answers counts.
  Milliseconds UnconfirmedHold_{30000};
  /// How long a confirmed crash counts.
  Milliseconds ConfirmedHold_{600000};
  std::size_t MaxInputs_ = 4096; ///< The input nearest to expiry goes first.
  std::size_t CrashLimit_ = 2;   ///< Crashes after which an input is refused.
  /// An input that had run for this many times as long as another one, and a
  /// margin for the time between two arrivals, when their common targets
  /// crashed is taken as innocent.
  int InnocentRunFactor_ = 3;
  Milliseconds InnocentRunMargin_{30};
  /// Time in which peers report which inputs a crashed target was running: a
  /// message between hosts of two data centres, with some delay in sending it.
  Milliseconds NewsDelay_{50};
  /// Time between the repeats of two inputs that lost the same target. By then
  /// the first has run for long compared with the time to a crash.
  Milliseconds TurnTime_{250};
  std::size_t MaxTurns_ = 8; ///< Bounds the wait of an innocent input.
};

/// What may be done with an input.
enum class InputStanding {
  Clear,
  Suspect, ///< Only its two candidates may run it.
  Refused, ///< It has crashed as many targets as it may.
};

/// Spreads news of suspect inputs to peers. Called without locks held.
class SuspectListener {
public:
  virtual ~SuspectListener() = default;
  virtual void onSuspectChanged(const protocol::SuspectInput &Suspect) = 0;
};

/// Counts the targets that each input digest has crashed, here and at peers.
/// Inputs that ran beside the cause lose their targets too. An input is taken
/// as innocent if another one was at all of its crashed targets, and
/// - that one is refused, because it was at more of them, or
/// - that one had never run there for long, while this one had: the cause
///   crashes a target soon after it begins there.
/// Thread-safe.
class SuspectRegistry final {
public:
  explicit SuspectRegistry(SuspectRegistrySettings Settings = {},
                           SuspectListener *Listener = nullptr);

  InputStanding standing(const std::string &Digest);
  /// Names of the targets held against \p Digest.
  std::vector<std::string> crashedTargets(const std::string &Digest);

  /// How long an input that lost its target waits before it runs again: suspect
  /// inputs that lost the same target take turns, so that a further crash tells
  /// which of them is the cause. All hosts agree on the order by the digests.
  Milliseconds repeatDelay(const std::string &Digest);

  /// The connection to \p Target was reset when it had run \p Digest for
  /// \p Ran.
  void onReset(const std::string &Digest, const std::string &Target,
               Milliseconds Ran);
  /// \p Target refuses connections: the resets seen there were crashes.
  void onConnectionRefused(const std::string &Target);
  /// \p Target completed \p Digest; clears what other targets reported.
  void onCompleted(const std::string &Digest, const std::string &Target);

  /// Takes a peer's news, without sending it on.
  void merge(const protocol::SuspectInput &FromPeer);
  /// Up to \p Limit inputs for gossip, the latest first: those that this host
  /// saw itself, so that hosts cannot keep an entry alive by telling each
  /// other.
  std::vector<protocol::SuspectInput> recent(std::size_t Limit);

private:
  struct Crash {
    SteadyTime Time_;
    SteadyTime Expiry_;
    bool Confirmed_ = false;
    bool Local_ = false; ///< Seen by this host, not learned from a peer.
  };
  struct Entry {
    std::map<std::string, Crash> Crashes_; ///< By target name.
    Milliseconds LongestRun_{0};           ///< At the time of a crash.
  };

  /// The entry of \p Digest without its expired crashes, or null.
  Entry *find(const std::string &Digest, SteadyTime Now);
  /// Whether another input is the likelier cause of all crashes of \p Of.
  bool isInnocent(const Entry &Of, SteadyTime Now) const;
  void sweep(SteadyTime Now);
  void add(const std::string &Digest, const std::string &Target,
           Milliseconds Ran, bool Local);
  static protocol::SuspectInput toMessage(const std::string &Digest,
                                          const Entry &Known);

  SuspectRegistrySettings Settings_;
  SuspectListener *Listener_;
  std::mutex Mutex_;
  std::map<std::string, Entry> Inputs_;
  SteadyTime NextSweep_{};
};

} // namespace amaranth::coordination

#endif
