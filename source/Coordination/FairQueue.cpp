#include "Coordination/FairQueue.h"

#include <algorithm>
#include <cassert>

namespace amaranth::coordination {

void FairQueue::push(FairQueueItem Item) {
  assert(Item.Weight_ > 0 && Item.Cost_ >= 0);
  double Start = startTag(Item.Account_);
  Finish_[Item.Account_] = Start + Item.Cost_ / Item.Weight_;
  Items_.push_back({std::move(Item), Start});
}

std::optional<FairQueueItem> FairQueue::pop(SteadyTime Now,
                                            Milliseconds AgeLimit) {
  if (Items_.empty())
    return std::nullopt;
  // Every second turn at most, because under overload everything becomes old,
  // and then arrival order alone would undo the fair shares.
  bool Aged = Now - Items_.front().Item_.Since_ >= AgeLimit;
  if (Aged && !AgedLast_) {
    AgedLast_ = true;
    return take(Items_.begin());
  }
  AgedLast_ = false;
  return take(std::min_element(Items_.begin(), Items_.end(),
                               [](const Tagged &Left, const Tagged &Right) {
                                 return Left.Start_ < Right.Start_;
                               }));
}

bool FairQueue::remove(std::uint64_t Id) {
  auto Found =
      std::find_if(Items_.begin(), Items_.end(),
                   [Id](const Tagged &One) { return One.Item_.Id_ == Id; });
  if (Found == Items_.end())
    return false;
  // The account gets the cost back: its later items move forward.
  double Share = Found->Item_.Cost_ / Found->Item_.Weight_;
  std::string Account = Found->Item_.Account_;
  double Start = Found->Start_;
  Items_.erase(Found);
  for (Tagged &Other : Items_)
    if (Other.Item_.Account_ == Account && Other.Start_ > Start)
      Other.Start_ -= Share;
  Finish_[Account] -= Share;
  return true;
}

double FairQueue::costAhead(const std::string &Account) const {
  double Start = startTag(Account);
  double Cost = 0;
  for (const Tagged &One : Items_)
    if (One.Start_ <= Start)
      Cost += One.Item_.Cost_;
  return Cost;
}

std::optional<SteadyTime> FairQueue::oldest() const {
  if (Items_.empty())
    return std::nullopt;
  return Items_.front().Item_.Since_;
}

double FairQueue::startTag(const std::string &Account) const {
  auto Known = Finish_.find(Account);
  if (Known == Finish_.end())
    return VirtualTime_;
  return std::max(VirtualTime_, Known->second);
}

FairQueueItem FairQueue::take(std::vector<Tagged>::iterator Position) {
  VirtualTime_ = std::max(VirtualTime_, Position->Start_);
  FairQueueItem Item = std::move(Position->Item_);
  Items_.erase(Position);
  // Accounts whose tags are in the past keep no state.
  std::erase_if(Finish_, [this](const auto &Known) {
    return Known.second <= VirtualTime_;
  });
  return Item;
}

} // namespace amaranth::coordination
