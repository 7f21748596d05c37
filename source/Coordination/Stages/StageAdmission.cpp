#include "Coordination/Stages/StageAdmission.h"

#include <algorithm>
#include <limits>

namespace amaranth::coordination {

using protocol::QueueState;

namespace {

constexpr int LeastUrgentPriority = std::numeric_limits<int>::max();

/// Number of the pieces whose priority is \p Priority or more urgent.
std::uint64_t count(const std::vector<std::uint32_t> &ByPriority,
                    int Priority) {
  std::uint64_t Pieces = 0;
  for (std::size_t I = 0; I < ByPriority.size(); ++I)
    if (static_cast<int>(I) <= Priority)
      Pieces += ByPriority[I];
  return Pieces;
}

Milliseconds processingTime(std::uint64_t Pieces, double PiecesPerSecond) {
  if (Pieces == 0 || PiecesPerSecond <= 0)
    return Milliseconds(0);
  return Milliseconds(static_cast<std::int64_t>(
      1000 * static_cast<double>(Pieces) / PiecesPerSecond));
}

} // namespace

StageAdmission::StageAdmission(QueueView &Queues,
                               StageAdmissionSettings Settings)
    : Queues_(Queues), Settings_(Settings) {}

void StageAdmission::onRequest(const StagePlan &Plan) {
  for (std::size_t Stage = 0; Stage < Plan.stageCount(); ++Stage) {
    if (Plan.pieceCount(Stage) == 0)
      continue;
    auto Pieces = static_cast<double>(Plan.pieceCount(Stage));
    double &Average =
        AveragePieces_.try_emplace(Plan.step(Stage).Service_, Pieces)
            .first->second;
    Average += Settings_.RequestWeight_ * (Pieces - Average);
  }
}

double StageAdmission::sizeFactor(const StagePlan &Plan,
                                  const std::string &Service) const {
  auto Average = AveragePieces_.find(Service);
  if (Average == AveragePieces_.end())
    return 1;
  std::size_t Pieces = 0;
  for (std::size_t Stage = 0; Stage < Plan.stageCount(); ++Stage)
    if (Plan.step(Stage).Service_ == Service)
      Pieces += Plan.pieceCount(Stage);
  return std::clamp(static_cast<double>(Pieces) / Average->second,
                    1 / Settings_.MaxSizeFactor_, Settings_.MaxSizeFactor_);
}

Milliseconds StageAdmission::workTime(const std::string &Service, Ahead Work,
                                      int Priority) const {
  QueueState State = Queues_.queueState(Service);
  // Work that can meet its aim goes before all other work, and that goes by
  // priority.
  std::uint64_t Pieces = count(
      State.InTime_, Work == Ahead::InTime ? Priority : LeastUrgentPriority);
  if (Work != Ahead::InTime)
    Pieces += count(State.Late_, Priority);
  if (Work == Ahead::All)
    Pieces += count(State.Waiting_, Priority);
  return processingTime(Pieces, State.PiecesPerSecond_);
}

Milliseconds StageAdmission::timeToFinish(const StagePlan &Plan, Ahead Work,
                                          int Priority) const {
  return Plan.timeToFinish([&](const std::string &Service, Milliseconds Time) {
    Milliseconds Delay =
        std::max(Milliseconds(0), workTime(Service, Work, Priority) - Time);
    if (Work != Ahead::InTime)
      return Delay;
    return Milliseconds(static_cast<std::int64_t>(
        static_cast<double>(Delay.count()) * sizeFactor(Plan, Service)));
  });
}

Milliseconds StageAdmission::delay(const StagePlan &Plan, Ahead Work,
                                   int Priority) const {
  return timeToFinish(Plan, Work, Priority) - Plan.timeToFinish();
}

Milliseconds StageAdmission::predictedDelay(const StagePlan &Plan,
                                            int Priority) const {
  return Settings_.DelayMargin_ * delay(Plan, Ahead::All, Priority);
}

StageStart StageAdmission::decide(const StagePlan &Plan, int Priority,
                                  SteadyTime ReadyBy, SteadyTime UsableUntil,
                                  SteadyTime Now) const {
  SteadyTime Undelayed = Now + Plan.timeToFinish();
  Milliseconds DelayInTime = delay(Plan, Ahead::InTime, Priority);
  if (Undelayed + Settings_.DelayMargin_ * DelayInTime <= ReadyBy)
    return StageStart::Begin;
  if (Undelayed + predictedDelay(Plan, Priority) > UsableUntil)
    return StageStart::Refuse;
  return delay(Plan, Ahead::Started, Priority) > Settings_.MaxBacklogForLate_
             ? StageStart::Wait
             : StageStart::Begin;
}

Milliseconds StageAdmission::retryAfter(const StagePlan &Plan) const {
  Milliseconds LongestWork{0};
  for (std::size_t Stage = 0; Stage < Plan.stageCount(); ++Stage)
    if (Plan.pieceCount(Stage) > 0)
      LongestWork =
          std::max(LongestWork, workTime(Plan.step(Stage).Service_, Ahead::All,
                                         LeastUrgentPriority));
  return std::clamp(LongestWork, Settings_.MinRetryAfter_,
                    Settings_.MaxRetryAfter_);
}

} // namespace amaranth::coordination
