/// \file
/// Keeps up with changes in the platform's store.
#ifndef AMARANTH_SERVING_STOREFOLLOWER_H
#define AMARANTH_SERVING_STOREFOLLOWER_H

#include "Protocol/PlatformStore.h"

#include <functional>
#include <string>
#include <vector>

namespace amaranth::serving {

/// Settings of StoreFollower.
struct StoreFollowerSettings {
  std::string Prefix_;
  /// How long one watch waits for changes. A connection can stop delivering
  /// without a reset; this bounds how long that goes unnoticed.
  Milliseconds WatchTime_{2000};
  /// Delay between attempts while the store does not answer. It doubles up to
  /// MaxRetryDelay_.
  Milliseconds MinRetryDelay_{100};
  Milliseconds MaxRetryDelay_{800};
};

/// Receives the items under a prefix of the store and their changes.
class StoreListener {
public:
  virtual ~StoreListener() = default;
  /// Whether an answer of \p Era comes from before the last known restore of
  /// the store.
  virtual bool isOutdated(const std::string &Prefix,
                          std::uint64_t Era) const = 0;
  /// Whether an answer of \p Era shows a restore that is not known yet.
  virtual bool isRestored(const std::string &Prefix,
                          std::uint64_t Era) const = 0;
  /// The latest known era; 0 if it was never stated.
  virtual std::uint64_t knownEra(const std::string &Prefix) const = 0;
  /// All items, read at \p Revision of \p Era.
  virtual void onStoreRange(const std::string &Prefix,
                            const std::vector<protocol::StoreItem> &Items,
                            std::uint64_t Revision, std::uint64_t Era) = 0;
  virtual void
  onStoreChanges(const std::string &Prefix,
                 const std::vector<protocol::StoreItem> &Items) = 0;
  /// The store stopped answering, or answers again.
  virtual void onStoreConnected(const std::string &Prefix, bool Connected) = 0;
};

/// Reads a prefix of the store and then watches it for changes. Reads it again
/// whenever the watch cannot continue. A restore of the store counts once two
/// reads in a row state the new era: a single wrong one would make the store's
/// later answers look outdated.
class StoreFollower final {
public:
  StoreFollower(transport::Loop &Executor, protocol::PlatformStore &Store,
                StoreListener &Listener, StoreFollowerSettings Settings);

  void start();
  /// Whether to watch. The prefix is read once even when inactive. After that,
  /// an inactive follower makes no calls, also while the store does not answer:
  /// other hosts watch and relay the changes.
  void setActive(bool Active);
  /// Whether the store answered the last call since the activation.
  bool connected() const { return Connected_; }
  /// Whether the listener has all items and gets their changes.
  bool isUpToDate() const { return UpToDate_; }

private:
  transport::Awaitable<void> follow();
  /// Watches for changes after a revision of \p Era. Returns why the watch
  /// cannot continue, or Ok when this follower was made inactive.
  transport::Awaitable<protocol::StoreStatus> watch(std::uint64_t Revision,
                                                    std::uint64_t Era);
  transport::Awaitable<void> waitUntilActive();
  /// \p Status is the result of the call that shows it.
  void setConnected(bool Connected, protocol::StoreStatus Status);

  transport::Loop &Loop_;
  protocol::PlatformStore &Store_;
  StoreListener &Listener_;
  StoreFollowerSettings Settings_;
  transport::Wakeup Activated_;
  bool Active_ = false;
  bool Connected_ = false;
  bool UpToDate_ = false;
  bool HasItems_ = false;            ///< The prefix has been read once.
  std::uint64_t UnconfirmedEra_ = 0; ///< New era that one read has stated.
};

} // namespace amaranth::serving

#endif
