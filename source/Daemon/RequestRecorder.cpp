#include "Daemon/RequestRecorder.h"

#include "Support/Log.h"

namespace amaranth::daemon {

namespace {

using protocol::OutcomeKind;
using state::RequestResult;

RequestResult requestResult(const RequestRecord &Record, Microseconds Elapsed) {
  switch (Record.Outcome_) {
  case OutcomeKind::NotRun:
    return RequestResult::Refused;
  case OutcomeKind::Completed:
    return Elapsed <= Record.Timeout_ ? RequestResult::InTime
                                      : RequestResult::Late;
  case OutcomeKind::Unknown:
  case OutcomeKind::Failed:
  case OutcomeKind::Running:
    break;
  }
  return Elapsed >= Record.Timeout_ ? RequestResult::Late
                                    : RequestResult::Failed;
}

state::FinishedRequest toFinishedRequest(const RequestRecord &Record,
                                         Microseconds Elapsed) {
  state::FinishedRequest Finished;
  Finished.Service_ = Record.Service_;
  Finished.Account_ = Record.Account_;
  Finished.Result_ = requestResult(Record, Elapsed);
  Finished.Short_ = Record.IsShort_;
  Finished.Deadline_ = Record.Timeout_;
  Finished.Elapsed_ = Elapsed;
  Finished.FinishedAt_ = SteadyClock::now();
  for (const coordination::StageCost &Cost : Record.StageCosts_)
    Finished.Stages_.push_back({Cost.Stage_, Cost.Useful_ + Cost.Wasted_});
  if (Finished.Result_ == RequestResult::Failed && !Record.StageCosts_.empty())
    Finished.FailedStage_ = Record.StageCosts_.back().Stage_;
  return Finished;
}

} // namespace

RequestRecorder::RequestRecorder(state::Metrics &Metrics,
                                 state::BurnReport &Report)
    : Metrics_(Metrics), BurnReport_(Report) {
  Metrics_.describe("amaranth_requests_total", "Requests by outcome.");
  Metrics_.describe("amaranth_request_seconds",
                    "Time from acceptance to the end of the answer.");
  Metrics_.describe("amaranth_stage_useful_microseconds_total",
                    "Time of the attempts whose result was used.");
  Metrics_.describe("amaranth_stage_wasted_microseconds_total",
                    "Time of the attempts whose result was not used.");
  Metrics_.describe("amaranth_stage_extra_attempts_total",
                    "Attempts beyond the first, hedges included.");
}

void RequestRecorder::record(const RequestRecord &Record) {
  auto Elapsed = std::chrono::duration_cast<Microseconds>(SteadyClock::now() -
                                                          Record.Start_);
  countRequest(Record, Elapsed);
  countStages(Record);
  BurnReport_.record(toFinishedRequest(Record, Elapsed));
  logRequest(Record, Elapsed);
}

void RequestRecorder::countRequest(const RequestRecord &Record,
                                   Microseconds Elapsed) {
  Metrics_
      .counter("amaranth_requests_total",
               {{"service", Record.Service_},
                {"outcome", toString(Record.Outcome_)}})
      .add();
  Metrics_.latency("amaranth_request_seconds", {{"service", Record.Service_}})
      .record(Elapsed);
}

void RequestRecorder::countStages(const RequestRecord &Record) {
  for (const coordination::StageCost &Cost : Record.StageCosts_) {
    state::MetricLabels Labels{{"service", Record.Service_},
                               {"stage", Cost.Stage_}};
    Metrics_.counter("amaranth_stage_useful_microseconds_total", Labels)
        .add(static_cast<std::uint64_t>(Cost.Useful_.count()));
    Metrics_.counter("amaranth_stage_wasted_microseconds_total", Labels)
        .add(static_cast<std::uint64_t>(Cost.Wasted_.count()));
    int Extra = Cost.Attempts_ + Cost.Hedges_ - 1;
    if (Extra > 0)
      Metrics_.counter("amaranth_stage_extra_attempts_total", Labels)
          .add(static_cast<std::uint64_t>(Extra));
  }
}

void RequestRecorder::logRequest(const RequestRecord &Record,
                                 Microseconds Elapsed) const {
  bool IsCompleted = Record.Outcome_ == OutcomeKind::Completed;
  LogEvent Line(IsCompleted ? LogLevel::Debug : LogLevel::Info, "request_end");
  Line.field("request", Record.RequestId_)
      .field("service", Record.Service_)
      .field("account", Record.Account_)
      .field("outcome", toString(Record.Outcome_))
      .field("taken_us", Elapsed.count());
  if (!IsCompleted)
    Line.field("detail", Record.Detail_);
}

} // namespace amaranth::daemon
