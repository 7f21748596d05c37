/// \file
/// Requests to plain services.
#ifndef AMARANTH_SERVING_PLAINRUN_H
#define AMARANTH_SERVING_PLAINRUN_H

#include "Serving/RequestScope.h"
#include "Serving/TargetExchange.h"

#include <optional>
#include <set>

namespace amaranth::serving {

/// Sends a request to one target after another until one gives a usable answer
/// or no further attempt is allowed. A request that may not be repeated goes to
/// another target only while none can have run it.
class PlainRun final {
public:
  explicit PlainRun(RequestScope &Scope);

  transport::Awaitable<void> run();

private:
  struct SignedFailure {
    transport::HttpHead Head_;
    std::string Body_;
  };

  const state::TargetRecord *chooseTarget();
  SteadyTime attemptDeadline() const;
  bool mayTryAgain() const;
  transport::Awaitable<void> attempt(state::TargetRecord Target);
  void judge(TargetExchange &Exchange, Milliseconds Took);
  transport::Awaitable<void> answerFailure();

  RequestScope &Scope_;
  std::set<std::string> Tried_;
  int Sent_ = 0;      ///< Attempts that reached a target.
  int Ran_ = 0;       ///< Of these, attempts that may have run.
  int Unreached_ = 0; ///< Targets without a connection.
  bool Answered_ = false;
  bool Final_ = false; ///< Failure_ is to be passed on.
  std::optional<SignedFailure> Failure_;
  std::optional<SignedFailure> Success_;
};

} // namespace amaranth::serving

#endif
