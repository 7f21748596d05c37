#include "Coordination/Stages/StageAdmission.h"

#include <algorithm>

namespace amaranth::coordination {

using protocol::QueueState;

namespace {

Milliseconds timeFor(std::uint64_t Pieces, double PerSecond) {
  if (Pieces == 0 || PerSecond <= 0)
    return Milliseconds(0);
  return Milliseconds(static_cast<std::int64_t>(
      1000 * static_cast<double>(Pieces) / PerSecond));
}

} // namespace

StageAdmission::StageAdmission(const QueueView &Queues,
                               StageAdmissionSettings Settings)
    : Queues_(Queues), Settings_(Settings) {}

Milliseconds StageAdmission::delayInTime(const std::string &Service,
                                         int Priority) const {
  QueueState Queue = Queues_.queueOf(Service);
  std::uint64_t Before = 0;
  for (std::size_t Rank = 0; Rank < Queue.InTime_.size(); ++Rank)
    if (static_cast<int>(Rank) <= Priority)
      Before += Queue.InTime_[Rank];
  return timeFor(Before, Queue.PiecesPerSecond_);
}

Milliseconds StageAdmission::delayOfAll(const std::string &Service) const {
  QueueState Queue = Queues_.queueOf(Service);
  std::uint64_t All = Queue.Late_;
  for (std::uint32_t Waiting : Queue.InTime_)
    All += Waiting;
  return timeFor(All, Queue.PiecesPerSecond_);
}

StageStart StageAdmission::decide(const StagePlan &Plan, int Priority,
                                  SteadyTime ReadyBy, SteadyTime UsableUntil,
                                  SteadyTime Now) const {
  Milliseconds InTime = Plan.timeToFinish([&](const std::string &Service) {
    return delayInTime(Service, Priority);
  });
  if (Now + InTime <= ReadyBy)
    return StageStart::Begin;
  if (Now + InTime > UsableUntil)
    return StageStart::Refuse;
  for (std::size_t Stage = 0; Stage < Plan.stages(); ++Stage)
    if (Plan.pieces(Stage) > 0 &&
        delayOfAll(Plan.step(Stage).Service_) > Settings_.LateBacklog_)
      return StageStart::Hold;
  return StageStart::Begin;
}

Milliseconds StageAdmission::retryAfter(const StagePlan &Plan) const {
  Milliseconds Longest{0};
  for (std::size_t Stage = 0; Stage < Plan.stages(); ++Stage)
    if (Plan.pieces(Stage) > 0)
      Longest = std::max(Longest, delayOfAll(Plan.step(Stage).Service_));
  return std::clamp(Longest, Settings_.MinRetryAfter_,
                    Settings_.MaxRetryAfter_);
}

} // namespace amaranth::coordination
