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

std::uint64_t itemDigest(const StoreItem &Item) {
  return rendezvousRank(Item.Key_, std::to_string(Item.Revision_));
}

} // namespace

bool StoreMirror::applyItem(const StoreItem &Item) {
  Revision_ = std::max(Revision_, Item.Revision_);
  auto [Position, IsNew] = LatestItems_.try_emplace(Item.Key_, Item);
  StoreItem &Latest = Position->second;
  if (!IsNew) {
    if (Item.Revision_ <= Latest.Revision_)
      return false;
    if (Latest.Removed_)
      --Removals_;
    else
      Digest_ ^= itemDigest(Latest);
    Latest = Item;
  }
  if (Item.Removed_)
    ++Removals_;
  else
    Digest_ ^= itemDigest(Item);
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
                                        std::uint64_t Revision) {
  std::set<std::string> Present;
  for (const StoreItem &Item : CompleteList)
    Present.insert(Item.Key_);
  Items Changes = CompleteList;
  for (const auto &[Key, Latest] : LatestItems_)
    if (!Latest.Removed_ && !Present.count(Key) && Latest.Revision_ < Revision)
      Changes.push_back({Key, "", Revision, true});
  Revision_ = std::max(Revision_, Revision);
  return apply(Changes);
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
