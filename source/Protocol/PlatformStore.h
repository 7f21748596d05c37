/// \file
/// Interface of the platform's store for tasks of the event loop.
#ifndef AMARANTH_PROTOCOL_PLATFORMSTORE_H
#define AMARANTH_PROTOCOL_PLATFORMSTORE_H

#include "Transport/Loop.h"

#include <cstdint>
#include <string>
#include <vector>

namespace amaranth::protocol {

enum class StoreStatus {
  Ok,
  Unavailable, ///< The call had no effect, or a read was not answered.
  Ambiguous,   ///< A write was not answered; it may have taken effect.
  Compacted, ///< The changes that a watch needs were discarded; read the range.
  EraChanged,    ///< The store was restored from a copy; read the range.
  LeaseNotFound, ///< The lease does not exist any more.
  Conflict,      ///< A condition did not hold.
  Invalid,       ///< The store refused the call.
};

const char *toString(StoreStatus Status);

/// A key with its value, or the removal of the key.
struct StoreItem {
  std::string Key_;
  std::string Value_;
  std::uint64_t Revision_ = 0;
  bool Removed_ = false;
  /// The store's era (see StoreItems) that gave out the revision.
  std::uint64_t Era_ = 0;
};

struct StoreItems {
  StoreStatus Status_ = StoreStatus::Unavailable;
  std::vector<StoreItem> Items_;
  /// Revision of the store, after which a watch continues.
  std::uint64_t Revision_ = 0;
  /// Counts the times that the store was restored from an older copy; 0 if the
  /// store did not state it. Revisions of different eras cannot be compared.
  std::uint64_t Era_ = 0;
};

struct StoreLease {
  StoreStatus Status_ = StoreStatus::Unavailable;
  std::uint64_t Id_ = 0;
  Milliseconds TimeToLive_{0};
};

/// The platform's store. Every call ends within its own time-out.
class PlatformStore {
public:
  virtual ~PlatformStore() = default;

  /// Reads all items under \p Prefix; the read is linearizable.
  virtual transport::Awaitable<StoreItems> range(std::string Prefix) = 0;
  /// Changes after revision \p After; empty if there were none within \p Wait.
  virtual transport::Awaitable<StoreItems>
  watch(std::string Prefix, std::uint64_t After, Milliseconds Wait) = 0;
  virtual transport::Awaitable<StoreLease>
  grantLease(Milliseconds TimeToLive) = 0;
  virtual transport::Awaitable<StoreStatus> keepLease(std::uint64_t Id) = 0;
  virtual transport::Awaitable<StoreStatus> endLease(std::uint64_t Id) = 0;
  /// Writes unconditionally.
  virtual transport::Awaitable<StoreStatus>
  put(std::string Key, std::string Value, std::uint64_t Lease) = 0;
};

} // namespace amaranth::protocol

#endif
