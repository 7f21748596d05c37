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

/// Keeps the newest item for each key, whether it comes from the store or from
/// another host, so that an older copy never replaces a newer one. Items are
/// ordered by the store's era, then by its revision: a store that is restored
/// from a copy gives out revisions again, in the next era.
///
/// A mirror holds the items of one era. It enters the next one with a complete
/// list; changes of other eras are ignored. An era that is not stated (0)
/// counts as the mirror's own.
class StoreMirror final {
public:
  using Items = std::vector<protocol::StoreItem>;

  /// Applies changes; returns those that were newer than the known items.
  Items apply(const Items &Changes);
  /// Applies a complete list of the items at \p Revision: known keys that it
  /// lacks are removed, unless they changed after that revision. Returns the
  /// changes that were newer than the known items, removals included.
  ///
  /// A list of a later era replaces all items; one of an earlier era is
  /// ignored.
  Items replace(const Items &CompleteList, std::uint64_t Revision,
                std::uint64_t Era = 0);

  /// Whether a list of \p Era comes from before the last known restore.
  bool isOutdated(std::uint64_t Era) const;
  /// Whether a list of \p Era shows that the store has been restored since the
  /// known items were read.
  bool isRestored(std::uint64_t Era) const;

  /// All items that are not removed.
  Items items() const;
  /// The highest known revision of the store.
  std::uint64_t revision() const { return Revision_; }
  /// The era of the items; 0 if it was never stated.
  std::uint64_t era() const { return Era_; }
  /// Digest of the items and their era; equal for mirrors with the same items.
  std::uint64_t digest() const;

private:
  bool isOtherEra(std::uint64_t Era) const;
  bool applyItem(const protocol::StoreItem &Item);
  Items enterEra(const Items &CompleteList, std::uint64_t Revision,
                 std::uint64_t Era);
  void forgetOldRemovals();

  /// Includes removed items, so that an older copy does not restore them.
  std::map<std::string, protocol::StoreItem> LatestItems_;
  std::size_t Removals_ = 0;
  std::uint64_t Revision_ = 0;
  std::uint64_t Era_ = 0;
  std::uint64_t ItemsDigest_ = 0;
};

} // namespace amaranth::coordination

#endif
