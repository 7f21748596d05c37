#include "Serving/PaceExchange.h"

#include <algorithm>
#include <functional>

namespace amaranth::serving {

using coordination::PacePlace;
using coordination::PaceRequest;
using protocol::PermitReply;

namespace {

/// Bound on the times that a peer states.
constexpr Milliseconds MaxStatedTime{3600000};

Milliseconds bounded(Milliseconds Time) {
  return std::clamp(Time, Milliseconds(0), MaxStatedTime);
}

} // namespace

PaceExchange::PaceExchange(PeerMesh &Peers, DispatcherRouter &Router,
                           std::string Host, PaceExchangeSettings Settings)
    : Peers_(Peers), Router_(Router), Settings_(Settings),
      Paced_(std::move(Host)) {}

protocol::PaceState PaceExchange::toMessage(const PaceRequest &Request,
                                            SteadyTime Now) {
  using std::chrono::ceil;
  protocol::PaceState State;
  State.Cost_ = Request.Cost_;
  State.KnownPerSecond_ = Request.KnownPerSecond_;
  State.PacedFor_ = ceil<Milliseconds>(Now - Request.PacedSince_);
  State.ColdFor_ = ceil<Milliseconds>(Request.ColdUntil_ - Now);
  State.ColdPerSecond_ = Request.ColdPerSecond_;
  return State;
}

PacePlace PaceExchange::reserve(const protocol::PermitRequest &Request) {
  SteadyTime Now = SteadyClock::now();
  const protocol::PaceState &State = *Request.Pace_;
  PaceRequest Wanted;
  Wanted.Target_ = Request.Target_;
  Wanted.Cost_ = State.Cost_;
  Wanted.MaxDelay_ = Request.MaxDelay_;
  Wanted.KnownPerSecond_ = State.KnownPerSecond_;
  Wanted.PacedSince_ = Now - bounded(State.PacedFor_);
  Wanted.ColdUntil_ = Now + bounded(State.ColdFor_);
  Wanted.ColdPerSecond_ = State.ColdPerSecond_;
  return Pacer_.reserve(Wanted, Now);
}

PermitReply PaceExchange::onReply(const PaceRequest &Request,
                                  const PermitReply &Reply,
                                  Milliseconds MaxDelay) {
  SteadyTime Now = SteadyClock::now();
  if (!Reply.NotElected_) {
    PacePlace Place{Reply.Granted_, Reply.Delay_, Reply.IsPaced_,
                    Reply.PacePerSecond_};
    Paced_.onReply(Request, Place, Now);
    return Reply;
  }
  PaceRequest Wanted = Request;
  Wanted.MaxDelay_ = MaxDelay;
  PacePlace Share = Paced_.reserveShare(Wanted, Peers_.peerCount() + 1, Now);
  return {
      Reply.Id_, Share.Granted_, std::chrono::ceil<Microseconds>(Share.Delay_),
      true,      true,           Share.PerSecond_};
}

bool PaceExchange::isValid(const std::string &Target,
                           const std::optional<PaceRequest> &Request,
                           SteadyTime PlaceAt) const {
  SteadyTime Now = SteadyClock::now();
  std::optional<PaceRequest> Current = Paced_.makeRequest(Target, 1, Now);
  if (!Current)
    return true;
  return Request && Request->PacedSince_ == Current->PacedSince_ &&
         Now <= PlaceAt + Settings_.MaxPlaceAge_;
}

void PaceExchange::onResponse(const state::TargetRecord &Target,
                              coordination::TargetResult Result,
                              Milliseconds Time, double Cost) {
  std::optional<protocol::PaceOutcome> Outcome =
      Paced_.onResponse(Target, Result, Time, Cost, SteadyClock::now());
  if (Outcome)
    Router_.sendTo(
        Router_.findDispatcher(Target.Id_),
        protocol::FleetMessage(protocol::PaceReport{Target.Id_, *Outcome}));
}

SteadyClock::duration PaceExchange::timeToOwnPlace(const std::string &Target,
                                                   SteadyTime Now) {
  std::optional<PaceRequest> Request = Paced_.makeRequest(Target, 1, Now);
  if (!Request)
    return SteadyClock::duration(0);
  // No place is early enough, so that none is taken.
  Request->MaxDelay_ = SteadyClock::duration(-1);
  PacePlace Place = Pacer_.reserve(*Request, Now);
  Paced_.onReply(*Request, Place, Now);
  return Place.Delay_;
}

void PaceExchange::reserveOwn(const std::string &Target, SteadyTime Now) {
  if (std::optional<PaceRequest> Request = Paced_.makeRequest(Target, 1, Now))
    Pacer_.reserve(*Request, Now);
}

void PaceExchange::onOwnResponse(const state::TargetRecord &Target,
                                 coordination::TargetResult Result,
                                 Milliseconds Time, SteadyTime Now) {
  if (std::optional<protocol::PaceOutcome> Outcome =
          Paced_.onResponse(Target, Result, Time, 1, Now))
    Pacer_.report(Target.Id_, *Outcome, Now);
}

void PaceExchange::onReport(const protocol::PaceReport &Report) {
  Pacer_.report(Report.Target_, Report.Outcome_, SteadyClock::now());
}

void PaceExchange::update(bool IsServing, SteadyTime Now) {
  std::size_t Serving = 1;
  std::size_t Digest = IsServing;
  Peers_.forEachServing([&](const protocol::HostState &Peer) {
    ++Serving;
    Digest += std::hash<std::string>()(Peer.Host_);
  });
  if (Digest != ServingHosts_)
    Pacer_.onHostsChanged(Now);
  ServingHosts_ = Digest;
  std::size_t Known = std::max(Serving, Peers_.peerCount() + 1);
  Pacer_.setReach(static_cast<double>(Serving) / static_cast<double>(Known));
  Pacer_.forgetUnused(Now);
  Paced_.forgetUnused(Now);
}

} // namespace amaranth::serving
