#include "Coordination/Store/StoreMirror.h"

#include "Coordination/Engines/EngineChooser.h"

#include <algorithm>
#include <set>

namespace amaranth::coordination {

using protocol::StoreItem;

namespace {

/// Maximum number of remembered removals; beyond it the older half is
/// forgotten.
constexpr std::size_t MaxRemovals = 4096;

/// The era of a store that has never been restored. Hosts that do not know of
/// eras have the same digests in it.
constexpr std::uint64_t FirstEra = 1;

std::uint64_t itemDigest(const StoreItem &Item) {
  return rendezvousRank(Item.Key_, std::to_string(Item.Revision_));
}

} // namespace

bool StoreMirror::isOtherEra(std::uint64_t Era) const {
  return Era != 0 && std::max(Era, FirstEra) != std::max(Era_, FirstEra);
}

bool StoreMirror::isOutdated(std::uint64_t Era) const {
  return isOtherEra(Era) && Era < Era_;
}

bool StoreMirror::isRestored(std::uint64_t Era) const {
  bool HasItems = Revision_ > 0 || !LatestItems_.empty();
  return HasItems && isOtherEra(Era) && Era > Era_;
}

std::uint64_t StoreMirror::digest() const {
  if (Era_ <= FirstEra)
    return ItemsDigest_;
  return ItemsDigest_ ^ rendezvousRank("era", std::to_string(Era_));
}

bool StoreMirror::applyItem(const StoreItem &Item) {
  if (isOtherEra(Item.Era_))
    return false;
  Revision_ = std::max(Revision_, Item.Revision_);
  auto [Position, IsNew] = LatestItems_.try_emplace(Item.Key_, Item);
  StoreItem &Latest = Position->second;
  if (!IsNew) {
    if (Item.Revision_ <= Latest.Revision_)
      return false;
    if (Latest.Removed_)
      --Removals_;
    else
      ItemsDigest_ ^= itemDigest(Latest);
    Latest = Item;
  }
  if (Item.Removed_)
    ++Removals_;
  else
    ItemsDigest_ ^= itemDigest(Item);
  return true;
}

StoreMirror::Items StoreMirror::apply(const Items &Changes) {
  Items Applied;
  for (const StoreItem &Item : Changes)
    if (applyItem(Item))
      Applied.push_back(Item);
  forgetOldRemovals();
  return Applied;
}

StoreMirror::Items StoreMirror::replace(const Items &CompleteList,
                                        std::uint64_t Revision,
                                        std::uint64_t Era) {
  if (isOutdated(Era))
    return {};
  if (isRestored(Era))
    return enterEra(CompleteList, Revision, Era);
  Era_ = std::max(Era_, Era);
  std::set<std::string> Present;
  for (const StoreItem &Item : CompleteList)
    Present.insert(Item.Key_);
  Items Changes = CompleteList;
  for (const auto &[Key, Latest] : LatestItems_)
    if (!Latest.Removed_ && !Present.count(Key) && Latest.Revision_ < Revision)
      Changes.push_back({Key, "", Revision, true, Era_});
  Revision_ = std::max(Revision_, Revision);
  return apply(Changes);
}

StoreMirror::Items StoreMirror::enterEra(const Items &CompleteList,
                                         std::uint64_t Revision,
                                         std::uint64_t Era) {
  Items Missing;
  for (const auto &[Key, Latest] : LatestItems_)
    if (!Latest.Removed_)
      Missing.push_back({Key, "", Revision, true, Era});
  LatestItems_.clear();
  Removals_ = 0;
  ItemsDigest_ = 0;
  Revision_ = Revision;
  Era_ = Era;
  Items Changes = apply(CompleteList);
  std::erase_if(Missing, [&](const StoreItem &Item) {
    return LatestItems_.count(Item.Key_) > 0;
  });
  for (const StoreItem &Item : apply(Missing))
    Changes.push_back(Item);
  return Changes;
}

StoreMirror::Items StoreMirror::items() const {
  Items Existing;
  for (const auto &[Key, Item] : LatestItems_)
    if (!Item.Removed_)
      Existing.push_back(Item);
  return Existing;
}

void StoreMirror::forgetOldRemovals() {
  if (Removals_ <= MaxRemovals)
    return;
  std::vector<std::pair<std::uint64_t, std::string>> Removed;
  for (const auto &[Key, Item] : LatestItems_)
    if (Item.Removed_)
      Removed.emplace_back(Item.Revision_, Key);
  std::sort(Removed.begin(), Removed.end());
  for (std::size_t I = 0; I < Removed.size() / 2; ++I)
    LatestItems_.erase(Removed[I].second);
  Removals_ -= Removed.size() / 2;
}

} // namespace amaranth::coordination
