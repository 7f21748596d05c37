/// \file
/// A copy of what the platform's store holds under a prefix.
#ifndef AMARANTH_COORDINATION_STORE_STOREMIRROR_H
#define AMARANTH_COORDINATION_STORE_STOREMIRROR_H

#include "Protocol/PlatformStore.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amaranth::coordination {

/// Keeps the newest item of each key by the store's revision, whether it comes
/// from the store or from another host, and so never steps back.
class StoreMirror final {
public:
  using Items = std::vector<protocol::StoreItem>;

  /// Takes changes; returns those that were news.
  Items apply(const Items &Changes);
  /// Takes all items as they were at \p Revision. Keys that are missing and
  /// did not change later are removed. Returns what was news.
  Items replace(const Items &All, std::uint64_t Revision);

  /// All items that exist.
  Items items() const;
  /// The newest revision known of the store.
  std::uint64_t revision() const { return Revision_; }
  /// Equal for mirrors with the same items.
  std::uint64_t digest() const { return Digest_; }

private:
  bool take(const protocol::StoreItem &Item);
  void forgetRemovals();

  /// With removals, so that an older copy does not bring an item back.
  std::map<std::string, protocol::StoreItem> Known_;
  std::size_t Removals_ = 0;
  std::uint64_t Revision_ = 0;
  std::uint64_t Digest_ = 0;
};

} // namespace amaranth::coordination

#endif
