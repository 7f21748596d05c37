/// \file
/// One caller's request while it is being served.
#ifndef AMARANTH_SERVING_REQUESTSCOPE_H
#define AMARANTH_SERVING_REQUESTSCOPE_H

#include "Serving/CallerWriter.h"
#include "Serving/EntryContext.h"
#include "Serving/TargetExchange.h"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace amaranth::serving {

/// State of a request that the parts of the request path share. It lives in the
/// coroutine frame of the request's task.
struct RequestScope {
  explicit RequestScope(EntryContext &Context) : Context_(Context) {
    Context_.RequestsInProgress_.insert(this);
  }
  ~RequestScope() { Context_.RequestsInProgress_.erase(this); }
  RequestScope(const RequestScope &) = delete;
  RequestScope &operator=(const RequestScope &) = delete;

  EntryContext &Context_;
  std::shared_ptr<transport::TcpLink> Caller_;
  transport::HttpHead Head_;
  std::string Body_;
  SteadyTime Arrival_;

  protocol::CallerRequest Request_;
  state::RoutingTablePtr Table_; ///< Owns Route_ and Account_.
  const state::Route *Route_ = nullptr;
  const state::RoutedAccount *Account_ = nullptr;
  std::string Service_;
  /// Equal for requests of one account with the same method, path and body.
  std::string InputDigest_;
  /// Ids of the parts of the prompt that other requests may share: all but the
  /// last.
  std::vector<std::string> SharedParts_;
  int Priority_ = 0;
  SteadyTime Deadline_; ///< The caller's or the route's, whichever is earlier.
  SteadyTime AimBy_;    ///< The answer has its full worth until then.

  /// The caller closed its connection, so no answer is sent.
  bool CallerDisconnected_ = false;
  /// This host is about to end: the request is answered without another
  /// attempt.
  bool HostStops_ = false;
  /// Ends the operation that the task waits for; called when the caller
  /// disconnects and when the host is about to end.
  std::function<void()> Interrupt_;
  /// Close the connection after the answer.
  bool CloseAfterAnswer_ = false;
  // Outcome of the request for the log.
  int Status_ = 0;
  std::string Reason_ = "answered";
  std::string TargetId_;
  std::size_t RemoteInputs_ = 0; ///< Inputs read from another data centre.
  std::optional<Milliseconds> TimeToFirstEvent_; ///< Counted from the arrival.

  /// Whether the caller takes up a stream of which it has events.
  bool isTakeUp() const;
  /// True if the caller has closed its connection. Asks the connection itself,
  /// so that nothing is sent to a target for a caller that has left while the
  /// loop was busy.
  bool hasCallerLeft() {
    CallerDisconnected_ = CallerDisconnected_ || Caller_->hasEnded();
    return CallerDisconnected_;
  }

  /// Ends the request with an answer because this host is about to end.
  void endForStop() {
    HostStops_ = true;
    if (Interrupt_)
      Interrupt_();
  }

  /// Limit for the delivery of the answer. A request that was refused before
  /// its deadline was known counts from its arrival.
  DeliveryLimit deliveryLimit() const {
    return DeliveryLimit(std::max(Arrival_, Deadline_));
  }

  bool isIdempotent() const {
    return Route_->Kind_ == state::RequestKind::Idempotent;
  }

  /// Whether the request may run more than once.
  bool mayRunAgain() const {
    return isIdempotent() || (Route_->Kind_ == state::RequestKind::Stream &&
                              Route_->IsResumable_);
  }
};

/// Writes an answer to the caller, and waits until its connection has taken the
/// whole of it.
transport::Awaitable<transport::LinkStatus> deliver(RequestScope &Scope,
                                                    std::string Answer);

/// Sends an answer that the system itself gives and records it for the log.
transport::Awaitable<void>
sendOwnAnswer(RequestScope &Scope, int Status, std::string Reason,
              std::optional<Milliseconds> RetryAfter);

/// True if this host, which is about to end, has ended the exchange. It then
/// shows nothing about its target.
bool wasEndedForStop(const RequestScope &Scope, const TargetExchange &Exchange);

/// Answers a request that no target has answered. The answer is 503, which
/// guarantees that the request has not run and never will, unless
/// \p MayHaveRun.
transport::Awaitable<void> sendUnservedAnswer(RequestScope &Scope,
                                              bool MayHaveRun);

/// Sends a target's answer with its whole body.
transport::Awaitable<void> sendTargetAnswer(RequestScope &Scope,
                                            transport::HttpHead FromTarget,
                                            std::string Body);

/// Passes on a failure of a target that may have run the request. Statuses that
/// promise the caller that it has not run are replaced by 502 if it must not
/// run again.
transport::Awaitable<void> sendTargetFailure(RequestScope &Scope,
                                             transport::HttpHead FromTarget,
                                             std::string Body);

/// Records what the target has stated about itself in its answer.
void recordStatement(EntryContext &Context, const TargetExchange &Exchange);
/// Records how a target responded after \p Time to a request of \p Cost, in
/// average requests, for the rate of a target that has just started.
void recordPace(EntryContext &Context, const TargetExchange &Exchange,
                coordination::TargetResult Result, SteadyClock::duration Time,
                double Cost);

/// Reports the end of an exchange that ran for \p RunTime to the registry of
/// suspect inputs (inputs that were running when their target crashed).
void reportToSuspects(RequestScope &Scope, const TargetExchange &Exchange,
                      Milliseconds RunTime);

/// How a target's answer to a request with a prompt ended.
enum class PromptEnd {
  Answered, ///< The whole answer has arrived.
  Lost,     ///< The target's connection ended before or soon after it began.
  Other,
};
/// Reports the end of an attempt to the registry of suspect prompt parts.
void reportPromptEnd(RequestScope &Scope, const std::string &Target,
                     PromptEnd End);

/// Outcome of a request whose caller was given up.
constexpr const char *CallerDoesNotRead = "caller does not read";

/// Retry-After of requests to a host that stops: others take them at once.
constexpr Milliseconds RetryAfterStop{50};
/// Retry-After of requests whose targets are all evacuated.
constexpr Milliseconds RetryAfterEvacuation{1000};
/// Retry-After of requests that may crash targets.
constexpr Milliseconds RetryAfterCrashes{30000};
/// Why a request may not be sent to a target, because it may crash the target;
/// empty if it may.
std::string crashReason(RequestScope &Scope);

/// Fields that the system adds to the request for \p Target.
protocol::TargetCallFields targetFields(const RequestScope &Scope,
                                        const state::TargetRecord &Target,
                                        SteadyTime Deadline);

} // namespace amaranth::serving

#endif
