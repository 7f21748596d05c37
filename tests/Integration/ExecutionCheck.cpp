#include "Integration/ExecutionCheck.h"

#include <algorithm>
#include <set>

namespace amaranth::integration {

namespace {

/// A final answer that another one may not contradict. After not_run a plain
/// key may be sent again and run.
bool isBinding(const OrderHistory &Placed, const OrderAnswer &Answer) {
  return Answer.isFinal() && (Placed.Ticketed_ || Answer.Outcome_ != "not_run");
}

bool isContradicted(const OrderHistory &Placed) {
  std::set<std::string> Final;
  for (const OrderAnswer &Answer : Placed.Answers_) {
    if (isBinding(Placed, Answer))
      Final.insert(Answer.Outcome_);
    if (Answer.Outcome_ == "completed" &&
        Answer.Body_["result"].value("order_id", "") != Placed.Id_)
      return true;
  }
  return Final.size() > 1;
}

} // namespace

std::string OrderHistory::outcome() const {
  for (auto Answer = Answers_.rbegin(); Answer != Answers_.rend(); ++Answer)
    if (isBinding(*this, *Answer))
      return Answer->Outcome_;
  bool NotRun = !Answers_.empty() && Answers_.back().Outcome_ == "not_run";
  return NotRun ? "not_run" : "unknown";
}

bool OrderHistory::wasToldNotRun() const {
  if (!Ticketed_)
    return outcome() == "not_run";
  return std::any_of(
      Answers_.begin(), Answers_.end(),
      [](const OrderAnswer &Answer) { return Answer.Outcome_ == "not_run"; });
}

ExecutionRecord::ExecutionRecord(StandinProcess &Services,
                                 std::size_t Instances) {
  for (std::size_t I = 0; I < Instances; ++I) {
    auto Record = Services.get("/standin/executions", I);
    for (const auto &Effect : Record["executions"])
      ++Counts_[Effect.value("order_id", "")];
  }
}

int ExecutionRecord::count(const std::string &OrderId) const {
  auto Found = Counts_.find(OrderId);
  return Found == Counts_.end() ? 0 : Found->second;
}

int ExecutionRecord::total() const {
  int Total = 0;
  for (const auto &[OrderId, Count] : Counts_)
    Total += Count;
  return Total;
}

OrderVerdict
ExecutionRecord::judge(const std::vector<OrderHistory> &Orders) const {
  OrderVerdict Verdict;
  for (const OrderHistory &Placed : Orders) {
    int Ran = count(Placed.Id_);
    std::string Outcome = Placed.outcome();
    ++Verdict.Outcomes_[Outcome];
    Verdict.Doubled_ += Ran > 1;
    Verdict.NotRunButRan_ += Placed.wasToldNotRun() && Ran > 0;
    Verdict.CompletedButMissing_ += Outcome == "completed" && Ran == 0;
    Verdict.Contradicted_ += isContradicted(Placed);
  }
  return Verdict;
}

} // namespace amaranth::integration
