/// \file
/// A local copy of the platform store's items under a prefix.
#ifndef AMARANTH_COORDINATION_STORE_STOREMIRROR_H
#define AMARANTH_COORDINATION_STORE_STOREMIRROR_H

#include "Protocol/PlatformStore.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amaranth::coordination {

/// Keeps the item with the highest store revision for each key, whether it
/// comes from the store or from another host, so that an older copy never
/// replaces a newer one.
class StoreMirror final {
public:
  using Items = std::vector<protocol::StoreItem>;

  /// Applies changes; returns those that were newer than the known items.
  Items apply(const Items &Changes);
  /// Applies a complete list of the items at \p Revision: known keys that it
  /// lacks are removed, unless they changed after that revision. Returns the
  /// changes that were newer than the known items, removals included.
  Items replace(const Items &CompleteList, std::uint64_t Revision);

  /// All items that are not removed.
  Items items() const;
  /// The highest known revision of the store.
  std::uint64_t revision() const { return Revision_; }
  /// Digest of the items; equal for mirrors with the same items.
  std::uint64_t digest() const { return Digest_; }

private:
  bool applyItem(const protocol::StoreItem &Item);
  void forgetOldRemovals();

  /// Includes removed items, so that an older copy does not restore them.
  std::map<std::string, protocol::StoreItem> LatestItems_;
  std::size_t Removals_ = 0;
  std::uint64_t Revision_ = 0;
  std::uint64_t Digest_ = 0;
};

} // namespace amaranth::coordination

#endif
