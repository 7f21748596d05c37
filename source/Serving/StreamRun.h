/// \file
/// Streaming requests to model engines.
#ifndef AMARANTH_SERVING_STREAMRUN_H
#define AMARANTH_SERVING_STREAMRUN_H

#include "Serving/EventStream.h"
#include "Serving/RequestScope.h"
#include "Serving/StageRun.h"
#include "Serving/TargetExchange.h"

#include <optional>
#include <set>

namespace amaranth::serving {

/// Makes the stage results of a request, sends it to an engine and passes the
/// engine's events on as they come. A stream that breaks continues at another
/// engine where its route allows that; otherwise it is broken off so that it
/// cannot be taken as complete.
class StreamRun final {
public:
  StreamRun(RequestScope &Scope, StageClient &Client);

  transport::Awaitable<void> run();

private:
  enum class Step { Again, Finished };

  /// False when the request has been answered or given up.
  transport::Awaitable<bool> makeInputs();
  const state::TargetRecord *chooseTarget();
  bool mayTryAgain() const;
  transport::Awaitable<Step> attempt(state::TargetRecord Target);
  transport::Awaitable<Step> passOn(TargetExchange &Exchange);
  transport::Awaitable<bool> writeEvents(TargetExchange &Exchange,
                                         std::string Events);
  transport::Awaitable<Step> passFailure(TargetExchange &Exchange);
  void noteEnd(const TargetExchange &Exchange);
  transport::Awaitable<void> giveUp();

  RequestScope &Scope_;
  StageRun Stages_;
  EventStream Events_;
  std::set<std::string> Tried_;
  int Sent_ = 0;
  int Ran_ = 0;
  int Unreached_ = 0;
  bool HeadWritten_ = false;
  SteadyTime Begin_{};
};

} // namespace amaranth::serving

#endif
