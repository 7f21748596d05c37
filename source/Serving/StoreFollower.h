/// \file
/// Follows the platform's store.
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
  /// How long one watch waits. A connection can go silent for good without a
  /// reset; this bounds how long that goes unnoticed.
  Milliseconds Wait_{4000};
  /// Between attempts while the store does not answer, doubled up to the
  /// longest.
  Milliseconds MinRetry_{100};
  Milliseconds MaxRetry_{800};
};

/// Told what the store holds under a prefix.
class StoreListener {
public:
  virtual ~StoreListener() = default;
  /// All items, read at \p Revision.
  virtual void onStoreRange(const std::string &Prefix,
                            const std::vector<protocol::StoreItem> &Items,
                            std::uint64_t Revision) = 0;
  virtual void
  onStoreChanges(const std::string &Prefix,
                 const std::vector<protocol::StoreItem> &Items) = 0;
  /// The store has stopped to answer, or answers again.
  virtual void onStoreConnected(const std::string &Prefix, bool Connected) = 0;
};

/// Reads a prefix once and then watches it, forever.
class StoreFollower final {
public:
  StoreFollower(transport::Loop &Executor, protocol::PlatformStore &Store,
                StoreListener &Listener, StoreFollowerSettings Settings);

  void start();
  /// Whether to watch. The prefix is read once in any case.
  void setActive(bool Active);
  /// The last call was answered.
  bool connected() const { return Connected_; }

private:
  transport::Awaitable<void> follow();
  /// Watches from a revision until the watch cannot continue, or until this
  /// host is not to watch any more (Ok).
  transport::Awaitable<protocol::StoreStatus> watch(std::uint64_t After);
  void setConnected(bool Connected);

  transport::Loop &Loop_;
  protocol::PlatformStore &Store_;
  StoreListener &Listener_;
  StoreFollowerSettings Settings_;
  transport::Wakeup Activated_;
  bool Active_ = true;
  bool Connected_ = false;
};

} // namespace amaranth::serving

#endif
