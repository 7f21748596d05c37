#include "Serving/RequestTask.h"

#include "Serving/PlainRun.h"
#include "Serving/StreamRun.h"
#include "Support/Digest.h"
#include "Support/Log.h"

#include <random>

namespace amaranth::serving {

using transport::Awaitable;

namespace {

/// Deadline of requests that state none on a route without a timeout.
constexpr Milliseconds DefaultDeadline{30000};
/// Part of the time limit kept for sending an answer to the caller.
constexpr Milliseconds AnswerReserve{30};
constexpr Milliseconds RetryAfterStart{300};
/// The connection is closed this long after the delivery of the answer was
/// given up, if that did not end the request.
constexpr Milliseconds CloseMargin{1000};
constexpr int MostUrgentPriority = 0;

/// Answer to a request that is refused before anything is run.
struct Refusal {
  int Status_ = 0;
  std::string Reason_;
  std::optional<Milliseconds> RetryAfter_;
};

std::string chooseService(const state::Route &Route) {
  static std::mt19937_64 Random{std::random_device{}()};
  double Total = 0;
  for (const state::ServiceShare &Share : Route.Services_)
    Total += Share.Weight_;
  double Point = std::uniform_real_distribution<double>(0, Total)(Random);
  for (const state::ServiceShare &Share : Route.Services_) {
    if (Share.Weight_ > 0 && Point <= Share.Weight_)
      return Share.Service_;
    Point -= Share.Weight_;
  }
  return Route.Services_.empty() ? "" : Route.Services_.front().Service_;
}

std::string computeInputDigest(const RequestScope &Scope) {
  std::string DigestInput =
      Scope.Head_.Method_ + " " + Scope.Head_.Target_ + "\n";
  if (Scope.Account_)
    DigestInput += Scope.Account_->Name_;
  DigestInput.append("\n").append(Scope.Body_);
  return sha256Hex(DigestInput);
}

/// Decodes the request and determines its route, client account, service,
/// priority and deadline. Returns the refusal of a request that may not run.
std::optional<Refusal> admit(RequestScope &Scope) {
  EntryContext &Context = Scope.Context_;
  auto Decoded =
      capture([&] { return Context.Edge_.readRequest(Scope.Head_); });
  if (!Decoded) {
    Scope.CloseAfterAnswer_ = true;
    return Refusal{400, Decoded.error().Message_, std::nullopt};
  }
  Scope.Request_ = std::move(*Decoded);
  const std::vector<protocol::PromptPart> &Prompt = Scope.Request_.Prompt_;
  for (std::size_t I = 0; I + 1 < Prompt.size(); ++I)
    Scope.SharedParts_.push_back(Prompt[I].Id_);
  Scope.Table_ = Context.Table_;
  if (!Scope.Table_)
    return Refusal{503, "no configuration is known yet", RetryAfterStart};
  const state::RoutingTable &Table = *Scope.Table_;
  Scope.Route_ = Table.findRoute(Scope.Request_.Host_, Scope.Request_.Path_);
  if (!Scope.Route_)
    return Refusal{404, "no route matches the host and path", std::nullopt};
  if (Table.HasAccounts_ && !Scope.Route_->IsPublic_) {
    Scope.Account_ = Table.findAccount(Scope.Request_.AccountSecret_);
    if (!Scope.Account_)
      return Refusal{401, "the key belongs to no client account", std::nullopt};
  }
  Scope.InputDigest_ = computeInputDigest(Scope);
  std::string CrashReason = crashReason(Scope);
  if (!CrashReason.empty())
    return Refusal{503, CrashReason, RetryAfterCrashes};
  Scope.Priority_ = Scope.Route_->Priority_;
  if (Scope.Account_ && Scope.Account_->Priority_)
    Scope.Priority_ = *Scope.Account_->Priority_;
  // After a host was lost, its streams are taken up all at once. Refusing them
  // loses what their callers already have.
  if (Scope.isTakeUp())
    Scope.Priority_ = MostUrgentPriority;
  Scope.Service_ = chooseService(*Scope.Route_);
  Milliseconds TimeLimit = Scope.Request_.Deadline_.value_or(DefaultDeadline);
  if (Scope.Route_->Timeout_ > Milliseconds(0))
    TimeLimit = std::min(TimeLimit, Scope.Route_->Timeout_);
  Scope.Deadline_ =
      Scope.Arrival_ + std::max(Milliseconds(1), TimeLimit - AnswerReserve);
  if (!Context.Drain_.acceptsRequest(SteadyClock::now(), Scope.Deadline_))
    return Refusal{503, "this host is stopping", RetryAfterStop};
  Scope.Deadline_ = std::min(Scope.Deadline_, Context.Drain_.endRequestsAt());
  Milliseconds Aim = Scope.Route_->LatencyAim_;
  Scope.AimBy_ = Aim > Milliseconds(0)
                     ? std::min(Scope.Arrival_ + Aim, Scope.Deadline_)
                     : Scope.Deadline_;
  return std::nullopt;
}

void logRequest(const RequestScope &Scope) {
  auto Elapsed = std::chrono::duration_cast<Milliseconds>(SteadyClock::now() -
                                                          Scope.Arrival_);
  LogEvent Event(LogLevel::Info, "request");
  Event.field("id", Scope.Request_.Id_);
  if (!Scope.Request_.ResumedId_.empty())
    Event.field("resumes", Scope.Request_.ResumedId_);
  Event.field("route", Scope.Route_ ? Scope.Route_->Name_ : "none")
      .field("target", Scope.TargetId_.empty() ? "none" : Scope.TargetId_)
      .field("status", Scope.Status_)
      .field("ms", Elapsed.count())
      .field("first_event_ms",
             Scope.TimeToFirstEvent_ ? Scope.TimeToFirstEvent_->count() : -1)
      .field("inputs_away", Scope.RemoteInputs_)
      .field("reason",
             Scope.CallerDisconnected_ ? "caller_gone" : Scope.Reason_);
}

} // namespace

Awaitable<bool> serveRequest(EntryContext &Context, StageClient &Stages,
                             std::shared_ptr<transport::TcpLink> Caller,
                             transport::HttpHead Head, std::string Body,
                             SteadyTime Arrival, bool KeepAlive) {
  RequestScope Scope(Context);
  Scope.Caller_ = Caller;
  Scope.Head_ = std::move(Head);
  Scope.Body_ = std::move(Body);
  Scope.Arrival_ = Arrival;
  Scope.CloseAfterAnswer_ = !KeepAlive;
  std::optional<Refusal> Refused = admit(Scope);
  if (Refused) {
    co_await sendOwnAnswer(Scope, Refused->Status_, Refused->Reason_,
                           Refused->RetryAfter_);
  } else {
    Caller->setDeadline(Scope.deliveryLimit().deliverBy() + CloseMargin);
    Caller->watchForEnd([&Scope] {
      Scope.CallerDisconnected_ = true;
      if (Scope.Interrupt_)
        Scope.Interrupt_();
    });
    if (Scope.Route_->Kind_ == state::RequestKind::Stream) {
      StreamRun Run(Scope, Stages);
      co_await Run.run();
    } else {
      PlainRun Run(Scope, Stages);
      co_await Run.run();
    }
    Caller->stopWatching();
    Caller->clearDeadline();
  }
  logRequest(Scope);
  co_return !Scope.CallerDisconnected_ && !Scope.CloseAfterAnswer_ &&
      Caller->isOpen();
}

} // namespace amaranth::serving
