#include "Daemon/RequestRecorder.h"

#include "Support/Log.h"

namespace amaranth::daemon {

namespace {

using protocol::OutcomeKind;
using state::RequestResult;

RequestResult resultOf(const RequestRecord &Record, Microseconds Taken) {
  switch (Record.Outcome_) {
  case OutcomeKind::NotRun:
    return RequestResult::Refused;
  case OutcomeKind::Completed:
    return Taken <= Record.Deadline_ ? RequestResult::InTime
                                     : RequestResult::Late;
  case OutcomeKind::Unknown:
  case OutcomeKind::Failed:
  case OutcomeKind::Running:
    break;
  }
  return Taken >= Record.Deadline_ ? RequestResult::Late
                                   : RequestResult::Failed;
}

state::FinishedRequest toFinished(const RequestRecord &Record,
                                  Microseconds Taken) {
  state::FinishedRequest Finished;
  Finished.Service_ = Record.Service_;
  Finished.Account_ = Record.Account_;
  Finished.Result_ = resultOf(Record, Taken);
  Finished.Short_ = Record.Short_;
  Finished.Deadline_ = Record.Deadline_;
  Finished.Taken_ = Taken;
  Finished.FinishedAt_ = SteadyClock::now();
  for (const coordination::StageCost &Cost : Record.Stages_)
    Finished.Stages_.push_back({Cost.Stage_, Cost.Useful_ + Cost.Wasted_});
  if (Finished.Result_ == RequestResult::Failed && !Record.Stages_.empty())
    Finished.FailedStage_ = Record.Stages_.back().Stage_;
  return Finished;
}

} // namespace

RequestRecorder::RequestRecorder(state::Metrics &Metrics,
                                 state::BurnReport &Burn)
    : Metrics_(Metrics), Burn_(Burn) {
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
  auto Taken = std::chrono::duration_cast<Microseconds>(SteadyClock::now() -
                                                        Record.Start_);
  count(Record, Taken);
  countStages(Record);
  Burn_.record(toFinished(Record, Taken));
  log(Record, Taken);
}

void RequestRecorder::count(const RequestRecord &Record, Microseconds Taken) {
  Metrics_
      .counter("amaranth_requests_total",
               {{"service", Record.Service_},
                {"outcome", toString(Record.Outcome_)}})
      .add();
  Metrics_.latency("amaranth_request_seconds", {{"service", Record.Service_}})
      .record(Taken);
}

void RequestRecorder::countStages(const RequestRecord &Record) {
  for (const coordination::StageCost &Cost : Record.Stages_) {
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

void RequestRecorder::log(const RequestRecord &Record,
                          Microseconds Taken) const {
  bool Ok = Record.Outcome_ == OutcomeKind::Completed;
  LogEvent Line(Ok ? LogLevel::Debug : LogLevel::Info, "request_end");
  Line.field("request", Record.RequestId_)
      .field("service", Record.Service_)
      .field("account", Record.Account_)
      .field("outcome", toString(Record.Outcome_))
      .field("taken_us", Taken.count());
  if (!Ok)
    Line.field("detail", Record.Detail_);
}

} // namespace amaranth::daemon
