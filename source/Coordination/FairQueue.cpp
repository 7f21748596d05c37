#include "Coordination/FairQueue.h"

#include <algorithm>
#include <cassert>

namespace amaranth::coordination {

void FairQueue::push(FairQueueItem Item) {
  assert(Item.Weight_ > 0 && Item.Cost_ >= 0);
  double StartTag = startTag(Item.Account_);
  LastFinishTags_[Item.Account_] = StartTag + Item.Cost_ / Item.Weight_;
  Items_.push_back({std::move(Item), StartTag});
}

std::optional<FairQueueItem> FairQueue::pop(SteadyTime Now,
                                            Milliseconds AgeLimit) {
  if (Items_.empty())
    return std::nullopt;
  // At most every second call, because under overload all items are aged, and
  // arrival order alone would then undo the fair shares.
  bool FrontIsAged = Now - Items_.front().Item_.EnqueuedAt_ >= AgeLimit;
  if (FrontIsAged && !LastPopWasAged_) {
    LastPopWasAged_ = true;
    return removeAt(Items_.begin());
  }
  LastPopWasAged_ = false;
  return removeAt(
      std::min_element(Items_.begin(), Items_.end(),
                       [](const TaggedItem &Left, const TaggedItem &Right) {
                         return Left.StartTag_ < Right.StartTag_;
                       }));
}

bool FairQueue::remove(std::uint64_t Id) {
  auto Removed = std::find_if(
      Items_.begin(), Items_.end(),
      [Id](const TaggedItem &Waiting) { return Waiting.Item_.Id_ == Id; });
  if (Removed == Items_.end())
    return false;
  // The account is not charged for the item: its later items move forward.
  double TagLength = Removed->Item_.Cost_ / Removed->Item_.Weight_;
  std::string Account = Removed->Item_.Account_;
  double StartTag = Removed->StartTag_;
  Items_.erase(Removed);
  for (TaggedItem &Other : Items_)
    if (Other.Item_.Account_ == Account && Other.StartTag_ > StartTag)
      Other.StartTag_ -= TagLength;
  LastFinishTags_[Account] -= TagLength;
  return true;
}

double FairQueue::costAhead(const std::string &Account) const {
  double StartTag = startTag(Account);
  double Cost = 0;
  for (const TaggedItem &Waiting : Items_)
    if (Waiting.StartTag_ <= StartTag)
      Cost += Waiting.Item_.Cost_;
  return Cost;
}

std::optional<SteadyTime> FairQueue::oldest() const {
  if (Items_.empty())
    return std::nullopt;
  return Items_.front().Item_.EnqueuedAt_;
}

double FairQueue::startTag(const std::string &Account) const {
  auto FinishTag = LastFinishTags_.find(Account);
  if (FinishTag == LastFinishTags_.end())
    return VirtualTime_;
  return std::max(VirtualTime_, FinishTag->second);
}

FairQueueItem FairQueue::removeAt(std::vector<TaggedItem>::iterator Position) {
  VirtualTime_ = std::max(VirtualTime_, Position->StartTag_);
  FairQueueItem Item = std::move(Position->Item_);
  Items_.erase(Position);
  // An account whose finish tag is in the past needs no state.
  std::erase_if(LastFinishTags_, [this](const auto &FinishTag) {
    return FinishTag.second <= VirtualTime_;
  });
  return Item;
}

} // namespace amaranth::coordination
