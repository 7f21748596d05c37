#include "Daemon/PeerEndpoint.h"

namespace amaranth::daemon {

void PeerEndpoint::attach(const PeerParts &Parts) {
  std::lock_guard Lock(Mutex_);
  Parts_ = Parts;
  Attached_ = true;
  Changed_.notify_all();
}

void PeerEndpoint::abandon() {
  std::lock_guard Lock(Mutex_);
  Abandoned_ = true;
  Changed_.notify_all();
}

const PeerParts *PeerEndpoint::parts() {
  std::unique_lock Lock(Mutex_);
  Changed_.wait(Lock, [this] { return Attached_ || Abandoned_; });
  return Abandoned_ ? nullptr : &Parts_;
}

protocol::Gossip PeerEndpoint::onProbe(const protocol::Gossip &FromPeer) {
  const PeerParts *Parts = parts();
  return Parts ? Parts->Membership_->onProbe(FromPeer) : protocol::Gossip{};
}

bool PeerEndpoint::onProbeIndirect(const std::string &PeerAddress) {
  const PeerParts *Parts = parts();
  return Parts && Parts->Membership_->onProbeIndirect(PeerAddress);
}

protocol::RequestOutcome
PeerEndpoint::onForward(const protocol::ForwardedRequest &Request) {
  const PeerParts *Parts = parts();
  return Parts ? Parts->Once_->onForward(Request) : protocol::RequestOutcome{};
}

protocol::RequestOutcome
PeerEndpoint::onLookUp(const std::string &IdempotencyKey) {
  const PeerParts *Parts = parts();
  return Parts ? Parts->Once_->onLookUp(IdempotencyKey)
               : protocol::RequestOutcome{};
}

std::vector<protocol::ServiceRevision> PeerEndpoint::onRevisions() {
  std::vector<protocol::ServiceRevision> Revisions;
  const PeerParts *Parts = parts();
  if (!Parts)
    return Revisions;
  for (const auto &Entry : Parts->Documents_->revisions())
    Revisions.push_back({Entry.Name_, Entry.Revision_});
  return Revisions;
}

std::vector<state::StoredDocument>
PeerEndpoint::onDocuments(const std::vector<std::string> &Names) {
  const PeerParts *Parts = parts();
  if (!Parts)
    return {};
  return Parts->Documents_->documents(Names);
}

void PeerEndpoint::onPushDocument(const state::StoredDocument &Document) {
  if (const PeerParts *Parts = parts())
    Parts->Documents_->accept(Document);
}

void PeerEndpoint::onSuspect(const protocol::SuspectInput &Suspect) {
  if (const PeerParts *Parts = parts())
    Parts->Suspects_->merge(Suspect);
}

} // namespace amaranth::daemon
