/// \file
/// A PipelineRunner with scripted targets.
#ifndef AMARANTH_TESTS_COORDINATION_RUNNERFIXTURE_H
#define AMARANTH_TESTS_COORDINATION_RUNNERFIXTURE_H

#include "Coordination/PipelineRunner.h"
#include "Coordination/PredictedRouter.h"

#include <map>

namespace amaranth::testing {

using namespace coordination;
using protocol::PipelineData;
using protocol::StageCall;
using protocol::StageReply;
using protocol::StageStatus;
using transport::CallFailure;

/// Runs attempts with a function and counts them by target.
class ScriptedClient final : public protocol::StageClient {
public:
  using Handler = std::function<StageReply(const StageCall &, PipelineData &)>;

  StageReply run(const StageCall &Call, PipelineData &Data,
                 protocol::TokenListener *) override {
    {
      std::lock_guard Lock(Mutex_);
      ++Calls_[Call.Target_.Name_];
    }
    return Handler_(Call, Data);
  }

  int calls(const std::string &Target) {
    std::lock_guard Lock(Mutex_);
    return Calls_[Target];
  }
  std::size_t targetsCalled() {
    std::lock_guard Lock(Mutex_);
    return Calls_.size();
  }

  static StageReply ok() { return {StageStatus::Ok, CallFailure::NotSent, {}}; }
  static StageReply failed(CallFailure Failure) {
    return {StageStatus::NoReply, Failure, transport::toString(Failure)};
  }

  Handler Handler_ = [](const StageCall &, PipelineData &) { return ok(); };

private:
  std::mutex Mutex_;
  std::map<std::string, int> Calls_;
};

/// A document with \p Count targets "t0" and so on, and one stage of each of
/// \p Kinds that may use all of them.
inline state::ServiceDocument
makeDocument(int Count, const std::vector<state::StageKind> &Kinds) {
  state::ServiceDocument Document;
  Document.Name_ = "guides";
  for (int I = 0; I < Count; ++I) {
    state::Target Target;
    Target.Name_ = "t" + std::to_string(I);
    Target.Address_ = "127.0.0.1:" + std::to_string(I + 1);
    Document.Targets_.push_back(Target);
  }
  for (state::StageKind Kind : Kinds) {
    state::Stage Stage;
    Stage.Name_ = state::toString(Kind);
    Stage.Kind_ = Kind;
    for (const state::Target &Target : Document.Targets_)
      Stage.Targets_.push_back(Target.Name_);
    Document.Stages_.push_back(Stage);
  }
  return Document;
}

/// One daemon: a PipelineRunner with its dependencies.
struct RunnerFixture {
  explicit RunnerFixture(protocol::StageClient &Client,
                         SuspectListener *Listener = nullptr,
                         PipelineRunnerSettings Settings = {})
      : Suspects_({}, Listener),
        Runner_({Client, Client, Router_, Table_, Budget_, Statistics_,
                 Suspects_, Timers_},
                withoutDelays(std::move(Settings))) {}

  /// Replaces waiting for backoffs, unless the test does, and fixes the seed.
  static PipelineRunnerSettings withoutDelays(PipelineRunnerSettings Settings) {
    if (!Settings.Sleep_)
      Settings.Sleep_ = [](Milliseconds) {};
    Settings.Seed_ = 1;
    return Settings;
  }

  PipelineResult run(const state::ServiceDocument &Document,
                     std::string Input = "question", int MaxTokens = 6,
                     protocol::TokenListener *Listener = nullptr) {
    PipelineRequest Request;
    Request.RequestId_ = "r1";
    Request.Input_ = std::move(Input);
    Request.MaxTokens_ = MaxTokens;
    Request.Deadline_ = SteadyClock::now() + Timeout_;
    Request.Listener_ = Listener;
    return Runner_.run(Document, Request);
  }

  /// True if no attempt is counted as in flight.
  bool nothingInFlight() {
    for (const TargetView &View : Table_.view())
      if (View.InFlight_ != 0 || View.OwnWork_ != 0)
        return false;
    return true;
  }

  Milliseconds Timeout_{20000};
  TargetTable Table_{{.Seed_ = 1}};
  PredictedRouter Router_{Table_, {.Seed_ = 1}};
  RetryBudget Budget_{{}};
  StageStatistics Statistics_;
  SuspectRegistry Suspects_;
  transport::TimerService Timers_;
  PipelineRunner Runner_;
};

} // namespace amaranth::testing

#endif
