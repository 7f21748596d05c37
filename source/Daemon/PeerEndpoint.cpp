#include "Daemon/PeerEndpoint.h"

namespace amaranth::daemon {

void PeerEndpoint::attach(const PeerDependencies &Dependencies) {
  std::lock_guard Lock(Mutex_);
  Dependencies_ = Dependencies;
  Attached_ = true;
  StateChanged_.notify_all();
}

void PeerEndpoint::abandon() {
  std::lock_guard Lock(Mutex_);
  Abandoned_ = true;
  StateChanged_.notify_all();
}

const PeerDependencies *PeerEndpoint::waitForDependencies() {
  std::unique_lock Lock(Mutex_);
  StateChanged_.wait(Lock, [this] { return Attached_ || Abandoned_; });
  return Abandoned_ ? nullptr : &Dependencies_;
}

protocol::Gossip PeerEndpoint::onProbe(const protocol::Gossip &PeerGossip) {
  const PeerDependencies *Dependencies = waitForDependencies();
  return Dependencies ? Dependencies->Membership_->onProbe(PeerGossip)
                      : protocol::Gossip{};
}

bool PeerEndpoint::onProbeIndirect(const std::string &PeerAddress) {
  const PeerDependencies *Dependencies = waitForDependencies();
  return Dependencies &&
         Dependencies->Membership_->onProbeIndirect(PeerAddress);
}

protocol::RequestOutcome
PeerEndpoint::onForward(const protocol::ForwardedRequest &Request) {
  const PeerDependencies *Dependencies = waitForDependencies();
  return Dependencies ? Dependencies->OnceRunner_->onForward(Request)
                      : protocol::RequestOutcome{};
}

protocol::RequestOutcome
PeerEndpoint::onLookUp(const std::string &IdempotencyKey) {
  const PeerDependencies *Dependencies = waitForDependencies();
  return Dependencies ? Dependencies->OnceRunner_->onLookUp(IdempotencyKey)
                      : protocol::RequestOutcome{};
}

std::vector<protocol::ServiceRevision> PeerEndpoint::onRevisions() {
  const PeerDependencies *Dependencies = waitForDependencies();
  if (!Dependencies)
    return {};
  return Dependencies->ConfigurationSync_->onRevisions();
}

std::vector<state::StoredDocument>
PeerEndpoint::onDocuments(const std::vector<std::string> &Names) {
  const PeerDependencies *Dependencies = waitForDependencies();
  if (!Dependencies)
    return {};
  return Dependencies->Documents_->documents(Names);
}

void PeerEndpoint::onPushDocument(const state::StoredDocument &Document) {
  if (const PeerDependencies *Dependencies = waitForDependencies())
    Dependencies->ConfigurationSync_->onPushDocument(Document);
}

void PeerEndpoint::onSuspect(const protocol::SuspectInput &Suspect) {
  if (const PeerDependencies *Dependencies = waitForDependencies())
    Dependencies->Suspects_->merge(Suspect);
}

} // namespace amaranth::daemon
