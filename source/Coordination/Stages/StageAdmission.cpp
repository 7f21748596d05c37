#include "Coordination/Stages/StageAdmission.h"

#include <algorithm>

namespace amaranth::coordination {

using protocol::QueueState;

namespace {

Milliseconds processingTime(std::uint64_t Pieces, double PiecesPerSecond) {
  if (Pieces == 0 || PiecesPerSecond <= 0)
    return Milliseconds(0);
  return Milliseconds(static_cast<std::int64_t>(
      1000 * static_cast<double>(Pieces) / PiecesPerSecond));
}

} // namespace

StageAdmission::StageAdmission(const QueueView &Queues,
                               StageAdmissionSettings Settings)
    : Queues_(Queues), Settings_(Settings) {}

Milliseconds StageAdmission::queueDelay(const std::string &Service,
                                        int Priority) const {
  QueueState Queue = Queues_.queueState(Service);
  std::uint64_t PiecesAhead = 0;
  for (std::size_t QueuedPriority = 0; QueuedPriority < Queue.InTime_.size();
       ++QueuedPriority)
    if (static_cast<int>(QueuedPriority) <= Priority)
      PiecesAhead += Queue.InTime_[QueuedPriority];
  return processingTime(PiecesAhead, Queue.PiecesPerSecond_);
}

Milliseconds StageAdmission::drainTime(const std::string &Service) const {
  QueueState Queue = Queues_.queueState(Service);
  std::uint64_t WaitingPieces = Queue.Late_;
  for (std::uint32_t InTimePieces : Queue.InTime_)
    WaitingPieces += InTimePieces;
  return processingTime(WaitingPieces, Queue.PiecesPerSecond_);
}

StageStart StageAdmission::decide(const StagePlan &Plan, int Priority,
                                  SteadyTime ReadyBy, SteadyTime UsableUntil,
                                  SteadyTime Now) const {
  Milliseconds TimeToFinish =
      Plan.timeToFinish([&](const std::string &Service) {
        return queueDelay(Service, Priority);
      });
  if (Now + TimeToFinish <= ReadyBy)
    return StageStart::Begin;
  if (Now + TimeToFinish > UsableUntil)
    return StageStart::Refuse;
  for (std::size_t Stage = 0; Stage < Plan.stageCount(); ++Stage)
    if (Plan.pieceCount(Stage) > 0 &&
        drainTime(Plan.step(Stage).Service_) > Settings_.MaxBacklogForLate_)
      return StageStart::Wait;
  return StageStart::Begin;
}

Milliseconds StageAdmission::retryAfter(const StagePlan &Plan) const {
  Milliseconds LongestDrainTime{0};
  for (std::size_t Stage = 0; Stage < Plan.stageCount(); ++Stage)
    if (Plan.pieceCount(Stage) > 0)
      LongestDrainTime =
          std::max(LongestDrainTime, drainTime(Plan.step(Stage).Service_));
  return std::clamp(LongestDrainTime, Settings_.MinRetryAfter_,
                    Settings_.MaxRetryAfter_);
}

} // namespace amaranth::coordination
