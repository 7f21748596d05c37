#include "Serving/SendPermits.h"

#include "Support/Log.h"

#include <algorithm>

namespace amaranth::serving {

using coordination::Withheld;
using protocol::FleetMessage;
using protocol::PermitReply;
using protocol::PermitRequest;
using state::TargetRecord;
using transport::Awaitable;

SendPermits::SendPermits(EntryContext &Context, PeerMesh &Peers,
                         DispatcherRouter &Router, std::string Host,
                         SendPermitsSettings Settings)
    : Context_(Context), Peers_(Peers), Router_(Router), Settings_(Settings),
      Pace_(Peers, Router, std::move(Host)) {}

void SendPermits::onAnswer(const TargetRecord &Target,
                           const coordination::TargetStatement &Statement) {
  SteadyTime Now = SteadyClock::now();
  bool IsNews = Context_.Notices_.onAnswer(Target, Statement, Now);
  updateColdness(Target.Id_);
  if (!IsNews)
    return;
  protocol::TargetNotice Notice = Context_.Notices_.peerNotice(Target, Now);
  LogEvent(LogLevel::Info, "target_notice")
      .field("target", Target.Id_)
      .field("leaving", Notice.IsLeaving_ ? "yes" : "no")
      .field("per_second",
             Notice.PerSecond_ ? std::to_string(*Notice.PerSecond_) : "none")
      .field("cold_ms", Notice.ColdFor_ ? Notice.ColdFor_->count() : 0);
  Peers_.broadcast(FleetMessage(std::move(Notice)));
}

void SendPermits::updateColdness(const std::string &Target) {
  SteadyTime ColdUntil =
      Context_.Notices_.coldUntil(Target).value_or(SteadyTime{});
  Pace_.targets().onCold(Target, ColdUntil, SteadyClock::now());
}

SendPermits::Targets SendPermits::openTargets(const std::string &Service,
                                              bool WithLimits,
                                              bool WithPaced) const {
  SteadyTime Now = SteadyClock::now();
  Targets Open = Context_.eligibleTargets(Service);
  std::erase_if(Open, [&](const TargetRecord *Target) {
    return Context_.Notices_.limit(Target->Id_) &&
           (!WithLimits || Context_.Notices_.opensAt(Target->Id_) > Now);
  });
  std::erase_if(Open, [&](const TargetRecord *Target) {
    return WithPaced ? !Pace_.targets().mayHavePlace(Target->Id_, Now)
                     : Pace_.targets().isPaced(Target->Id_);
  });
  return Open;
}

SteadyTime SendPermits::opensAt(const std::string &Id) const {
  return std::max(Context_.Notices_.opensAt(Id), Pace_.targets().opensAt(Id));
}

const TargetRecord *SendPermits::firstToOpen(const std::string &Service,
                                             TargetChooser &Chooser) const {
  Targets Candidates = Context_.eligibleTargets(Service);
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [&](const TargetRecord *A, const TargetRecord *B) {
                     return opensAt(A->Id_) < opensAt(B->Id_);
                   });
  for (const TargetRecord *Candidate : Candidates)
    if (Chooser.chooseFrom({Candidate}))
      return Candidate;
  return nullptr;
}

std::optional<SteadyTime>
SendPermits::firstWantedAgain(const std::string &Service,
                              TargetChooser &Chooser) const {
  SteadyTime Now = SteadyClock::now();
  std::optional<SteadyTime> First;
  for (const TargetRecord *Target : Context_.Targets_.serving(Service)) {
    if (Context_.Notices_.check(*Target, Now) != Withheld::WantsNothing ||
        !Chooser.chooseFrom({Target}))
      continue;
    SteadyTime Until =
        Context_.Notices_.wantsNothingUntil(Target->Id_).value_or(Now);
    First = std::min(First.value_or(Until), Until);
  }
  return First;
}

Awaitable<std::optional<TargetRecord>>
SendPermits::choose(std::string Service, TargetChooser &Chooser,
                    SteadyTime WaitUntil) {
  std::optional<TargetRecord> Permitted;
  for (int Tries = 0; !Permitted; ++Tries) {
    bool WithPlaces = Tries < Settings_.MaxImmediateTries_;
    bool WithLimits = Chooser.mayTakeLimitedPlace() && WithPlaces;
    const TargetRecord *Chosen =
        Chooser.chooseFrom(openTargets(Service, WithLimits, WithPlaces));
    if (!Chosen)
      break;
    std::string Id = Chosen->Id_;
    SteadyTime Now = SteadyClock::now();
    double Cost = Chooser.cost();
    Permitted = co_await acquire(Id, Now, Cost);
  }
  if (!Permitted)
    Permitted = co_await waitForPlace(Service, Chooser, WaitUntil);
  co_return Permitted;
}

Awaitable<std::optional<TargetRecord>>
SendPermits::waitForPlace(std::string Service, TargetChooser &Chooser,
                          SteadyTime WaitUntil) {
  std::optional<TargetRecord> Permitted;
  for (;;) {
    SteadyTime LastPlaceAt =
        std::min(WaitUntil, Context_.Drain_.endRequestsAt());
    const TargetRecord *Chosen = firstToOpen(Service, Chooser);
    if (!Chosen) {
      std::optional<SteadyTime> WantedAgain =
          firstWantedAgain(Service, Chooser);
      if (!WantedAgain || *WantedAgain >= LastPlaceAt ||
          Chooser.hasCallerLeft())
        break;
      auto Pause =
          std::chrono::ceil<Milliseconds>(*WantedAgain - SteadyClock::now());
      Pause = std::min(Pause, Settings_.WantedCheckPeriod_);
      co_await transport::pause(Context_.Loop_, Pause);
      continue;
    }
    std::string Id = Chosen->Id_;
    SteadyTime Until =
        std::min(LastPlaceAt, SteadyClock::now() + Settings_.MaxReservation_);
    double Cost = Chooser.cost();
    Permitted = co_await acquire(Id, Until, Cost);
    // By the answer, the place is out of reach until the reservation that is
    // allowed then reaches it.
    SteadyTime TryAgainAt =
        std::max(opensAt(Id) - Settings_.MaxReservation_,
                 SteadyClock::now() + Settings_.MinRetryDelay_);
    if (Permitted || TryAgainAt >= LastPlaceAt || Chooser.hasCallerLeft())
      break;
    auto Delay =
        std::chrono::ceil<Milliseconds>(TryAgainAt - SteadyClock::now());
    // The elected host may reply again long before this host's share.
    if (Pace_.targets().isUnanswered(Id))
      Delay = std::min(Delay, Settings_.UnansweredPause_);
    co_await transport::pause(Context_.Loop_, Delay);
  }
  co_return Permitted;
}

Awaitable<std::optional<TargetRecord>>
SendPermits::acquire(std::string Target, SteadyTime Until, double Cost) {
  std::optional<TargetRecord> Permitted;
  SteadyTime AskedAt = SteadyClock::now();
  std::optional<coordination::PaceRequest> Pace =
      Pace_.targets().makeRequest(Target, Cost, AskedAt);
  PermitReply Place{0, true, Microseconds(0)};
  std::optional<double> PerSecond = Context_.Notices_.limit(Target);
  if (PerSecond || Pace) {
    PermitRequest Request;
    Request.Id_ = ++LastRequestId_;
    Request.Target_ = Target;
    Request.PerSecond_ = PerSecond;
    Request.MaxDelay_ = std::max(Milliseconds(0), remaining(Until));
    if (Pace) {
      Request.Pace_ = PaceExchange::toMessage(*Pace, AskedAt);
      Pace_.targets().onAsked(Target, AskedAt);
    }
    Place = co_await requestPlace(Request);
    // This host's share of the pace does not replace a place at a limit.
    if (Pace && !(PerSecond && Place.NotElected_))
      Place = Pace_.onReply(*Pace, Place, Request.MaxDelay_);
  }
  if (!Place.Granted_) {
    if (PerSecond)
      Context_.Notices_.setFullUntil(Target, SteadyClock::now() + Place.Delay_);
    co_return Permitted;
  }
  SteadyTime PlaceAt = AskedAt + Place.Delay_;
  if (Place.Delay_ > Microseconds(0)) {
    auto Delay = std::chrono::ceil<Milliseconds>(Place.Delay_);
    co_await transport::pause(Context_.Loop_, Delay);
  }
  if (!Pace_.isValid(Target, Pace, PlaceAt))
    co_return Permitted;
  if (const TargetRecord *Record = Context_.findEligible(Target))
    Permitted = *Record;
  co_return Permitted;
}

Awaitable<PermitReply> SendPermits::requestPlace(PermitRequest Request) {
  PermitReply Place;
  std::string Host = Router_.findDispatcher(Request.Target_);
  if (Host == Context_.Settings_.Host_) {
    Place = reserve(Request);
    co_return Place;
  }
  std::optional<PermitReply> Reply = co_await ask(Host, Request);
  if (Reply && !Reply->NotElected_) {
    Place = *Reply;
    co_return Place;
  }
  LogEvent(LogLevel::Warn, "permit_unanswered")
      .field("target", Request.Target_)
      .field("host", Host);
  Place.Delay_ = Settings_.UnansweredPause_;
  Place.NotElected_ = true;
  co_return Place;
}

Awaitable<std::optional<PermitReply>> SendPermits::ask(std::string Host,
                                                       PermitRequest Request) {
  std::optional<PermitReply> Reply;
  auto Pending = std::make_shared<PendingPermit>(Context_.Loop_);
  Pending_[Request.Id_] = Pending;
  if (Router_.sendTo(Host, FleetMessage(Request))) {
    SteadyTime ReplyBy = SteadyClock::now() + Settings_.ReplyTimeout_;
    co_await Pending->Replied_.wait(ReplyBy);
    Reply = Pending->Reply_;
  }
  Pending_.erase(Request.Id_);
  co_return Reply;
}

PermitReply SendPermits::reserve(const PermitRequest &Request) {
  PermitReply Reply;
  Reply.Id_ = Request.Id_;
  Reply.Granted_ = true;
  if (Request.Pace_) {
    coordination::PacePlace Place = Pace_.reserve(Request);
    Reply.Granted_ = Place.Granted_;
    Reply.Delay_ = std::chrono::ceil<Microseconds>(Place.Delay_);
    Reply.IsPaced_ = Place.IsPaced_;
    Reply.PacePerSecond_ = Place.PerSecond_;
  }
  // The place of a paced target is lost if there is none within the limit, so
  // that neither rate is exceeded.
  if (Request.PerSecond_ && Reply.Granted_) {
    coordination::SendSchedule::Place Place =
        Schedule_.reserve(Request.Target_, *Request.PerSecond_,
                          Request.MaxDelay_, SteadyClock::now());
    Reply.Granted_ = Place.Granted_;
    Reply.Delay_ =
        std::max(Reply.Delay_, std::chrono::ceil<Microseconds>(Place.Delay_));
  }
  return Reply;
}

void SendPermits::onRequest(const std::string &Host,
                            const PermitRequest &Request) {
  PermitReply Reply;
  Reply.Id_ = Request.Id_;
  Reply.NotElected_ =
      Request.Pace_ &&
      Router_.findDispatcher(Request.Target_) != Context_.Settings_.Host_;
  if (!Reply.NotElected_)
    Reply = reserve(Request);
  Peers_.send(Host, FleetMessage(Reply));
}

void SendPermits::onReply(const PermitReply &Reply) {
  auto Found = Pending_.find(Reply.Id_);
  if (Found == Pending_.end())
    return;
  Found->second->Reply_ = Reply;
  Found->second->Replied_.notify();
}

Milliseconds SendPermits::timeToNextPlace(const std::string &Service) const {
  std::optional<SteadyTime> First;
  SteadyTime Now = SteadyClock::now();
  for (const TargetRecord *Target : Context_.Targets_.serving(Service)) {
    Withheld Reason = Context_.Notices_.check(*Target, Now);
    if (Reason == Withheld::Leaving || Reason == Withheld::Evacuated)
      continue;
    SteadyTime OpensAt = std::max(
        opensAt(Target->Id_),
        Context_.Notices_.wantsNothingUntil(Target->Id_).value_or(Now));
    First = std::min(First.value_or(OpensAt), OpensAt);
  }
  return First ? std::max(Milliseconds(0), remaining(*First)) : Milliseconds(0);
}

void SendPermits::forgetUnused(SteadyTime Now) { Schedule_.forgetUnused(Now); }

} // namespace amaranth::serving
