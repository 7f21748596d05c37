#include "Coordination/Stages/OutstandingWork.h"

#include <algorithm>
#include <map>

namespace amaranth::coordination {

using protocol::QueueState;

namespace {

/// Priorities from here on are counted as one.
constexpr int MaxCountedPriority = 9;

std::uint32_t &inTimeCount(QueueState &State, int Priority) {
  auto Index =
      static_cast<std::size_t>(std::clamp(Priority, 0, MaxCountedPriority));
  if (State.InTime_.size() <= Index)
    State.InTime_.resize(Index + 1);
  return State.InTime_[Index];
}

} // namespace

std::vector<QueueState> OutstandingWork::states(SteadyTime Now) const {
  std::map<std::string, QueueState> ByService;
  for (const OutstandingRequest *Request : Requests_) {
    const StagePlan &Plan = *Request->Plan_;
    bool IsLate = Now + Plan.timeToFinish() > Request->ReadyBy_;
    for (std::size_t Stage = 0; Stage < Plan.stageCount(); ++Stage) {
      auto Pieces = static_cast<std::uint32_t>(Plan.unfinishedPieces(Stage));
      if (Pieces == 0)
        continue;
      QueueState &State = ByService[Plan.step(Stage).Service_];
      if (!Request->Started_)
        State.Waiting_ += Pieces;
      else if (IsLate)
        State.Late_ += Pieces;
      else
        inTimeCount(State, Request->Priority_) += Pieces;
    }
  }
  std::vector<QueueState> States;
  for (auto &[Service, State] : ByService) {
    State.Service_ = Service;
    States.push_back(std::move(State));
  }
  return States;
}

void addPieces(const QueueState &Source, QueueState &Sum) {
  if (Sum.InTime_.size() < Source.InTime_.size())
    Sum.InTime_.resize(Source.InTime_.size());
  for (std::size_t I = 0; I < Source.InTime_.size(); ++I)
    Sum.InTime_[I] += Source.InTime_[I];
  Sum.Late_ += Source.Late_;
  Sum.Waiting_ += Source.Waiting_;
}

} // namespace amaranth::coordination
