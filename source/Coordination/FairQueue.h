/// \file
/// Weighted fair queue.
#ifndef AMARANTH_COORDINATION_FAIRQUEUE_H
#define AMARANTH_COORDINATION_FAIRQUEUE_H

#include "Support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranth::coordination {

/// One waiting request.
struct FairQueueItem {
  std::uint64_t Id_ = 0;
  std::string Account_;
  double Weight_ = 1;
  double Cost_ = 1; ///< Predicted work.
  SteadyTime EnqueuedAt_;
};

/// Start-time fair queueing: accounts share by weight, measured in cost and not
/// in requests, so that a flood from one account delays the others by at most
/// one of its requests. Not thread-safe.
class FairQueue final {
public:
  void push(FairQueueItem Item);

  /// Removes and returns the next item. At every second call this is the oldest
  /// item if it has waited for \p AgeLimit or longer; otherwise the item with
  /// the lowest start tag.
  std::optional<FairQueueItem> pop(SteadyTime Now, Milliseconds AgeLimit);

  bool remove(std::uint64_t Id);

  /// Cost that would be served before a new item of \p Account.
  double costAhead(const std::string &Account) const;

  /// Enqueue time of the oldest item.
  std::optional<SteadyTime> oldest() const;

  std::size_t size() const { return Items_.size(); }
  bool empty() const { return Items_.empty(); }

private:
  struct TaggedItem {
    FairQueueItem Item_;
    double StartTag_ = 0; ///< Virtual time at which its service starts.
  };

  double startTag(const std::string &Account) const;
  FairQueueItem removeAt(std::vector<TaggedItem>::iterator Position);

  std::vector<TaggedItem> Items_;                ///< In order of arrival.
  std::map<std::string, double> LastFinishTags_; ///< By account.
  double VirtualTime_ = 0;
  bool LastPopWasAged_ = false;
};

} // namespace amaranth::coordination

#endif
