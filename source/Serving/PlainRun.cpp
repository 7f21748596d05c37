#include "Serving/PlainRun.h"

#include "Support/Log.h"

#include <limits>

namespace amaranth::serving {

using coordination::TargetResult;
using state::TargetRecord;
using transport::Awaitable;

namespace {

/// Attempts that ended without the request being run are bounded too: each is
/// an arrival at a service that may be in trouble.
constexpr int MaxSends = 3;
constexpr int MaxUnreached = 4;
/// Part of the time left that an attempt gets when another may follow.
constexpr int FirstShareDivisor = 2;

} // namespace

PlainRun::PlainRun(RequestScope &Scope) : Scope_(Scope) {}

const TargetRecord *PlainRun::chooseTarget() {
  EntryContext &Context = Scope_.Context_;
  SteadyTime Now = SteadyClock::now();
  const TargetRecord *Best = nullptr;
  double BestCost = std::numeric_limits<double>::max();
  for (const TargetRecord *Target : Context.Targets_.serving(Scope_.Service_)) {
    if (Tried_.count(Target->Id_))
      continue;
    double Cost = Context.Health_.cost(Target->Id_, Now);
    if (!Context.Health_.usable(Target->Id_, Now))
      Cost += 1e6; // Only if there is no other.
    // Spreads the requests of different hosts over equal targets.
    Cost *= 1 + 0.2 *
                    static_cast<double>(coordination::rendezvousRank(
                                            Scope_.Request_.Id_, Target->Id_) %
                                        1000) /
                    1000;
    if (Cost < BestCost) {
      Best = Target;
      BestCost = Cost;
    }
  }
  return Best;
}

bool PlainRun::mayTryAgain() const {
  if (Ran_ > 0 && !Scope_.repeatable())
    return false;
  return Ran_ < Scope_.Route_->MaxAttempts_ && Sent_ < MaxSends &&
         Unreached_ < MaxUnreached && SteadyClock::now() < Scope_.Deadline_;
}

SteadyTime PlainRun::attemptDeadline() const {
  if (!Scope_.repeatable() || Ran_ + 1 >= Scope_.Route_->MaxAttempts_)
    return Scope_.Deadline_;
  SteadyTime Now = SteadyClock::now();
  return Now + (Scope_.Deadline_ - Now) / FirstShareDivisor;
}

Awaitable<void> PlainRun::run() {
  EntryContext &Context = Scope_.Context_;
  Context.Budget_.onRequest(Scope_.Service_, SteadyClock::now());
  while (!Answered_ && !Final_ && !Scope_.Gone_ && mayTryAgain()) {
    const TargetRecord *Chosen = chooseTarget();
    if (!Chosen)
      break;
    if (Sent_ > 0 &&
        !Context.Budget_.tryTake(Scope_.Service_, SteadyClock::now()))
      break;
    TargetRecord Target = *Chosen;
    co_await attempt(Target);
  }
  if (Scope_.Gone_)
    co_return;
  if (Success_) {
    co_await answerWhole(Scope_, std::move(Success_->Head_),
                         std::move(Success_->Body_));
    co_return;
  }
  co_await answerFailure();
}

Awaitable<void> PlainRun::attempt(TargetRecord Target) {
  EntryContext &Context = Scope_.Context_;
  Tried_.insert(Target.Id_);
  Scope_.TargetId_ = Target.Id_;
  SteadyTime Until = attemptDeadline();
  protocol::TargetCallFields Fields = targetFields(Scope_, Target, Until);
  std::string Request =
      Context.Edge_.targetRequest(Scope_.Head_, Scope_.Body_, Fields);
  TargetExchange Exchange(Context.Connections_, Context.Edge_, Target);
  Scope_.Interrupt_ = [&Exchange] { Exchange.stop(); };
  SteadyTime Begin = SteadyClock::now();
  Context.Health_.begin(Target.Id_);
  std::string Id = Scope_.Request_.Id_;
  co_await Exchange.start(Request, Id, Until);
  co_await Exchange.readAll();
  Scope_.Interrupt_ = nullptr;
  auto Took = std::chrono::ceil<Milliseconds>(SteadyClock::now() - Begin);
  if (Scope_.Gone_) {
    Context.Health_.cancelled(Target.Id_);
    co_return;
  }
  judge(Exchange, Took);
}

void PlainRun::judge(TargetExchange &Exchange, Milliseconds Took) {
  EntryContext &Context = Scope_.Context_;
  const std::string &Id = Exchange.target().Id_;
  noteSuspicion(Scope_, Exchange, Took);
  SteadyTime Now = SteadyClock::now();
  switch (Exchange.state()) {
  case ExchangeState::NotSent:
    ++Unreached_;
    Context.Health_.end(Id, TargetResult::Unreachable, Took, Now);
    return;
  case ExchangeState::NotExecuted:
    ++Sent_;
    Context.Health_.end(Id, TargetResult::Full, Took, Now);
    return;
  case ExchangeState::Complete:
    break;
  default:
    ++Sent_;
    ++Ran_;
    Context.Health_.end(Id, TargetResult::Broken, Took, Now);
    return;
  }
  ++Sent_;
  ++Ran_;
  const protocol::TargetReply &Reply = Exchange.reply();
  int Status = Exchange.head().Status_;
  bool Success = Status >= 200 && Status < 300;
  if (!Reply.Signed_ || Reply.Encoded_) {
    LogEvent(LogLevel::Warn, "answer_not_the_targets")
        .field("request", Scope_.Request_.Id_)
        .field("target", Id)
        .field("status", Status);
    Context.Health_.end(Id, TargetResult::Broken, Took, Now);
    return;
  }
  SignedFailure Whole{Exchange.head(), Exchange.takeBody()};
  if (Success) {
    Context.Health_.end(Id, TargetResult::Good, Took, Now);
    Success_ = std::move(Whole);
    Answered_ = true;
    return;
  }
  Context.Health_.end(
      Id, Status >= 500 ? TargetResult::Error : TargetResult::Good, Took, Now);
  Failure_ = std::move(Whole);
  Final_ = Status < 500 || !Scope_.repeatable();
}

Awaitable<void> PlainRun::answerFailure() {
  if (Failure_) {
    Scope_.Reason_ = "target_failed";
    co_await answerWhole(Scope_, std::move(Failure_->Head_),
                         std::move(Failure_->Body_));
    co_return;
  }
  co_await answerUnserved(Scope_, Ran_ > 0);
}

} // namespace amaranth::serving
