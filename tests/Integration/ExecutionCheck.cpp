#include "Integration/ExecutionCheck.h"

#include <algorithm>
#include <set>

namespace amaranth::integration {

namespace {

/// A final answer that no other answer may contradict. A not_run answer to a
/// key without a ticket is not binding: the caller may send the key again, and
/// then the order may run.
bool isBinding(const OrderHistory &History, const OrderAnswer &Answer) {
  return Answer.isFinal() &&
         (History.HasTicket_ || Answer.Outcome_ != "not_run");
}

bool isContradictory(const OrderHistory &History) {
  std::set<std::string> FinalOutcomes;
  for (const OrderAnswer &Answer : History.Answers_) {
    if (isBinding(History, Answer))
      FinalOutcomes.insert(Answer.Outcome_);
    if (Answer.Outcome_ == "completed" &&
        Answer.Body_["result"].value("order_id", "") != History.Id_)
      return true;
  }
  return FinalOutcomes.size() > 1;
}

} // namespace

std::string OrderHistory::outcome() const {
  for (auto Answer = Answers_.rbegin(); Answer != Answers_.rend(); ++Answer)
    if (isBinding(*this, *Answer))
      return Answer->Outcome_;
  bool LastIsNotRun =
      !Answers_.empty() && Answers_.back().Outcome_ == "not_run";
  return LastIsNotRun ? "not_run" : "unknown";
}

bool OrderHistory::hasNotRunAnswer() const {
  if (!HasTicket_)
    return outcome() == "not_run";
  return std::any_of(
      Answers_.begin(), Answers_.end(),
      [](const OrderAnswer &Answer) { return Answer.Outcome_ == "not_run"; });
}

ExecutionRecord::ExecutionRecord(StandinProcess &Services,
                                 std::size_t Instances) {
  for (std::size_t I = 0; I < Instances; ++I) {
    auto Response = Services.get("/standin/executions", I);
    for (const auto &Execution : Response["executions"])
      ++ExecutionsById_[Execution.value("order_id", "")];
  }
}

int ExecutionRecord::count(const std::string &OrderId) const {
  auto Found = ExecutionsById_.find(OrderId);
  return Found == ExecutionsById_.end() ? 0 : Found->second;
}

int ExecutionRecord::total() const {
  int Total = 0;
  for (const auto &[OrderId, Count] : ExecutionsById_)
    Total += Count;
  return Total;
}

OrderCheckResult
ExecutionRecord::check(const std::vector<OrderHistory> &Orders) const {
  OrderCheckResult Result;
  for (const OrderHistory &History : Orders) {
    int Executions = count(History.Id_);
    std::string Outcome = History.outcome();
    ++Result.Outcomes_[Outcome];
    Result.Duplicated_ += Executions > 1;
    Result.NotRunButExecuted_ += History.hasNotRunAnswer() && Executions > 0;
    Result.CompletedButNotExecuted_ +=
        Outcome == "completed" && Executions == 0;
    Result.Contradictory_ += isContradictory(History);
  }
  return Result;
}

} // namespace amaranth::integration
