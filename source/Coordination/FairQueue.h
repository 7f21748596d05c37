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
  SteadyTime Since_;
};

/// Start-time fair queueing: accounts share by weight, measured in cost and not
/// in requests, so that a flood of one account delays the others by at most one
/// of its requests. Not thread-safe.
class FairQueue final {
public:
  void push(FairQueueItem Item);

  /// Takes the next item: one waiting for \p AgeLimit or longer, the oldest
  /// first, at every second turn; otherwise the one with the lowest tag.
  std::optional<FairQueueItem> pop(SteadyTime Now, Milliseconds AgeLimit);

  bool remove(std::uint64_t Id);

  /// Cost that would be served before a new item of \p Account.
  double costAhead(const std::string &Account) const;

  /// Start of the longest wait.
  std::optional<SteadyTime> oldest() const;

  std::size_t size() const { return Items_.size(); }
  bool empty() const { return Items_.empty(); }

private:
  struct Tagged {
    FairQueueItem Item_;
    double Start_ = 0; ///< Virtual time at which its service begins.
  };

  double startTag(const std::string &Account) const;
  FairQueueItem take(std::vector<Tagged>::iterator Position);

  std::vector<Tagged> Items_;            ///< In order of arrival.
  std::map<std::string, double> Finish_; ///< Last finish tag by account.
  double VirtualTime_ = 0;
  bool AgedLast_ = false;
};

} // namespace amaranth::coordination

#endif
