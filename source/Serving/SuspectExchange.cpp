#include "Serving/SuspectExchange.h"

#include "Support/Log.h"

namespace amaranth::serving {

using protocol::FleetMessage;

namespace {

/// Limit for the suspect inputs that a new peer is sent.
constexpr std::size_t MaxInputsSent = 256;

} // namespace

SuspectExchange::SuspectExchange(EntryContext &Context, PeerMesh &Peers,
                                 SuspectPartRecords &Records,
                                 const DispatcherRouter &Router)
    : Context_(Context), Peers_(Peers), Records_(Records), Router_(Router) {}

void SuspectExchange::onPeerState(const protocol::HostState &State) {
  auto Informed = InformedPeers_.find(State.Host_);
  if (Informed != InformedPeers_.end() &&
      Informed->second == State.Incarnation_)
    return;
  protocol::SuspectRequests Inputs;
  Inputs.Inputs_ = Context_.Suspects_.recentLocalSuspects(MaxInputsSent);
  protocol::SuspectParts Parts =
      Context_.SuspectParts_.suspects(SteadyClock::now());
  if (!Inputs.Inputs_.empty() &&
      !Peers_.send(State.Host_, FleetMessage(std::move(Inputs))))
    return;
  if (!Parts.Parts_.empty() &&
      !Peers_.send(State.Host_, FleetMessage(std::move(Parts))))
    return;
  InformedPeers_[State.Host_] = State.Incarnation_;
}

void SuspectExchange::onPeerLost(const std::string &Host) {
  InformedPeers_.erase(Host);
}

void SuspectExchange::onStoreRestored() {
  recordChanges(Context_.SuspectParts_.suspects(SteadyClock::now()));
}

void SuspectExchange::merge(const protocol::SuspectRequests &FromPeer) {
  for (const protocol::SuspectInput &Input : FromPeer.Inputs_)
    Context_.Suspects_.merge(Input);
}

void SuspectExchange::merge(const protocol::SuspectParts &FromPeer) {
  Context_.SuspectParts_.merge(FromPeer, SteadyClock::now());
  recordChanges(FromPeer);
}

void SuspectExchange::recordChanges(const protocol::SuspectParts &Changed) {
  for (const protocol::SuspectPart &Part : Changed.Parts_)
    Records_.onPartChanged(Part.Id_, triesPart(Part.Id_));
}

void SuspectExchange::onSuspectChanged(const protocol::SuspectInput &Suspect) {
  LogEvent(LogLevel::Info, "suspect_input")
      .field("digest", Suspect.Digest_.substr(0, 16))
      .field("targets", Suspect.CrashedTargets_.size())
      .field("cleared", Suspect.Cleared_ ? 1 : 0);
  protocol::SuspectRequests Update;
  Update.Inputs_.push_back(Suspect);
  Peers_.broadcast(FleetMessage(std::move(Update)));
}

void SuspectExchange::reportParts(const protocol::SuspectParts &Report) {
  for (const protocol::SuspectPart &Part : Report.Parts_)
    LogEvent(LogLevel::Info, "suspect_part")
        .field("part", Part.Id_)
        .field("engine",
               Part.Crashes_.empty() ? "none" : Part.Crashes_[0].Engine_)
        .field("answered", Part.Answered_ ? 1 : 0)
        .field("cleared", Part.Cleared_ ? 1 : 0)
        .field("trials", Part.Trials_);
  Peers_.broadcast(FleetMessage(Report));
  recordChanges(Report);
}

bool SuspectExchange::triesPart(const std::string &Part) const {
  // Elected like the dispatcher of a service.
  return Router_.findDispatcher(Part) == Context_.Settings_.Host_;
}

} // namespace amaranth::serving
