/// \file
/// Execution of calls of plain services.
#ifndef AMARANTH_COORDINATION_PLAINCALLRUNNER_H
#define AMARANTH_COORDINATION_PLAINCALLRUNNER_H

#include "Coordination/Backoff.h"
#include "Coordination/CallDispatcher.h"
#include "Coordination/RetryBudget.h"
#include "Coordination/Router.h"
#include "Coordination/TargetTable.h"
#include "Protocol/PlainServiceClient.h"

#include <functional>
#include <memory>
#include <mutex>
#include <random>

namespace amaranth::coordination {

/// Settings of PlainCallRunner.
struct PlainCallRunnerSettings {
  int MaxAttempts_ = 6;
  Milliseconds BackoffBase_{10}; ///< Doubles with each retry.
  Milliseconds BackoffLimit_{200};
  Milliseconds ProgressTimeout_{2000};
  /// Sleeps for a backoff; a test replaces it.
  std::function<void(Milliseconds)> Sleep_;
  std::uint64_t Seed_ = std::random_device{}();
};

/// Dependencies of PlainCallRunner; all must outlive it.
struct PlainCallDependencies {
  protocol::PlainServiceClient &Client_;
  Router &Router_;
  TargetTable &Targets_;
  RetryBudget &Budget_;
  /// Returns the document in force of a service, or null.
  std::function<std::shared_ptr<const state::ServiceDocument>(
      const std::string &Service)>
      FindDocument_;
};

/// Runs plain calls. Idempotent ones are retried like stages; the others only
/// if it is known that the target did not run them. Blocks. Thread-safe.
class PlainCallRunner final : public CallDispatcher {
public:
  PlainCallRunner(PlainCallDependencies Parts,
                  PlainCallRunnerSettings Settings);

  /// Runs an idempotent call; its outcome is Completed, NotRun or Failed.
  protocol::RequestOutcome
  runIdempotent(const protocol::ForwardedRequest &Request, SteadyTime Deadline);

  protocol::RequestOutcome dispatch(const protocol::ForwardedRequest &Request,
                                    SteadyTime Deadline) override;

private:
  protocol::RequestOutcome run(const protocol::ForwardedRequest &Request,
                               SteadyTime Deadline, bool IsIdempotent);
  protocol::PlainServiceReply attempt(const protocol::ForwardedRequest &Request,
                                      const state::Target &Target, int Attempt,
                                      SteadyTime Deadline, bool IsIdempotent);

  PlainCallDependencies Parts_;
  PlainCallRunnerSettings Settings_;
  Backoff Backoff_;
};

} // namespace amaranth::coordination

#endif
