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
/// Thread-safe.
class SuspectRegistry final {
public:
  explicit SuspectRegistry(SuspectRegistrySettings Settings = {},
                           SuspectListener *Listener = nullptr);

  InputStanding standing(const std::string &Digest);
  /// Names of the targets held against \p Digest.
  std::vector<std::string> crashedTargets(const std::string &Digest);

  /// The connection to \p Target was reset while it ran \p Digest.
  void onReset(const std::string &Digest, const std::string &Target);
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
  using Crashes = std::map<std::string, Crash>; ///< By target name.

  /// The entry of \p Digest without its expired crashes, or null.
  Crashes *find(const std::string &Digest, SteadyTime Now);
  void sweep(SteadyTime Now);
  void add(const std::string &Digest, const std::string &Target, bool Local);
  static protocol::SuspectInput toMessage(const std::string &Digest,
                                          const Crashes &Known);

  SuspectRegistrySettings Settings_;
  SuspectListener *Listener_;
  std::mutex Mutex_;
  std::map<std::string, Crashes> Inputs_;
  SteadyTime NextSweep_{};
};

} // namespace amaranth::coordination

#endif
