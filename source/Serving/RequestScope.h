/// \file
/// One caller's request while it is being served.
#ifndef AMARANTH_SERVING_REQUESTSCOPE_H
#define AMARANTH_SERVING_REQUESTSCOPE_H

#include "Serving/EntryContext.h"
#include "Serving/TargetExchange.h"

#include <functional>
#include <string>

namespace amaranth::serving {

/// What the parts of the request path know of a request. Lives in the frame of
/// the request's task.
struct RequestScope {
  explicit RequestScope(EntryContext &Context) : Context_(Context) {}

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
  int Priority_ = 0;
  SteadyTime Deadline_; ///< The caller's or the route's, whichever is first.
  SteadyTime AimBy_;    ///< Full worth until then.

  /// The caller closed its connection; no answer is owed.
  bool Gone_ = false;
  /// Ends what the task is waiting for, when the caller has gone.
  std::function<void()> Interrupt_;
  /// The connection cannot carry another request.
  bool CloseAfter_ = false;
  /// What the log says of the end.
  int Status_ = 0;
  std::string Reason_ = "answered";
  std::string TargetId_;
  std::size_t InputsAway_ = 0; ///< Results read from other data centres.
  std::optional<Milliseconds> FirstEvent_; ///< Since the arrival.

  bool repeatable() const {
    return Route_->Kind_ == state::RequestKind::Idempotent;
  }
};

/// Writes a whole answer of the system's own and notes it for the log.
transport::Awaitable<void> answerOwn(RequestScope &Scope, int Status,
                                     std::string Reason,
                                     std::optional<Milliseconds> RetryAfter);

/// Answers a request that no target has answered. 503 promises that it has not
/// run and never will; \p MayHaveRun forbids that.
transport::Awaitable<void> answerUnserved(RequestScope &Scope, bool MayHaveRun);

/// Writes a target's answer with the whole of its body.
transport::Awaitable<void> answerWhole(RequestScope &Scope,
                                       transport::HttpHead FromTarget,
                                       std::string Body);

/// Notes for the registry of suspect inputs how an exchange of \p Ran ended.
void noteSuspicion(RequestScope &Scope, const TargetExchange &Exchange,
                   Milliseconds Ran);

/// Fields that the system adds to the request for \p Target.
protocol::TargetCallFields targetFields(const RequestScope &Scope,
                                        const state::TargetRecord &Target,
                                        SteadyTime Deadline);

} // namespace amaranth::serving

#endif
