#include "Coordination/Stages/OutstandingWork.h"

#include <algorithm>
#include <map>

namespace amaranth::coordination {

using protocol::QueueState;

namespace {

/// Priorities from here on are counted as one.
constexpr int MaxCountedPriority = 9;

/// Adds \p Pieces of a request of \p Priority.
void addTo(std::vector<std::uint32_t> &Counts, int Priority,
           std::uint32_t Pieces) {
  auto Index =
      static_cast<std::size_t>(std::clamp(Priority, 0, MaxCountedPriority));
  if (Counts.size() <= Index)
    Counts.resize(Index + 1);
  Counts[Index] += Pieces;
}

void addAll(const std::vector<std::uint32_t> &Source,
            std::vector<std::uint32_t> &Sum) {
  if (Sum.size() < Source.size())
    Sum.resize(Source.size());
  for (std::size_t I = 0; I < Source.size(); ++I)
    Sum[I] += Source[I];
}

} // namespace

const std::vector<QueueState> &OutstandingWork::states(SteadyTime Now) {
  if (CountedAt_ == SteadyTime::min() || Now - CountedAt_ >= RefreshPeriod) {
    States_ = countPieces(Now);
    CountedAt_ = Now;
  }
  return States_;
}

std::vector<QueueState> OutstandingWork::countPieces(SteadyTime Now) const {
  std::map<std::string, QueueState> ByService;
  for (const OutstandingRequest *Request : Requests_) {
    const StagePlan &Plan = *Request->Plan_;
    bool IsLate = Now + Plan.timeToFinish() > Request->ReadyBy_;
    for (std::size_t Stage = 0; Stage < Plan.stageCount(); ++Stage) {
      auto Pieces = static_cast<std::uint32_t>(Plan.unfinishedPieces(Stage));
      if (Pieces == 0)
        continue;
      QueueState &State = ByService[Plan.step(Stage).Service_];
      std::vector<std::uint32_t> &Counts = !Request->Started_ ? State.Waiting_
                                           : IsLate           ? State.Late_
                                                              : State.InTime_;
      addTo(Counts, Request->Priority_, Pieces);
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
  addAll(Source.InTime_, Sum.InTime_);
  addAll(Source.Late_, Sum.Late_);
  addAll(Source.Waiting_, Sum.Waiting_);
}

} // namespace amaranth::coordination
