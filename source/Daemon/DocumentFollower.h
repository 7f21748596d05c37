/// \file
/// Applies changes of documents to the components that keep state for them.
#ifndef AMARANTH_DAEMON_DOCUMENTFOLLOWER_H
#define AMARANTH_DAEMON_DOCUMENTFOLLOWER_H

#include "Coordination/TargetTable.h"
#include "State/BurnReport.h"
#include "State/DocumentStore.h"

namespace amaranth::daemon {

/// Logs each change, sets the objectives of the burn report and forgets targets
/// that no document names any more.
class DocumentFollower final : public state::DocumentStore::Listener {
public:
  DocumentFollower(state::DocumentStore &Documents,
                   coordination::TargetTable &Targets, state::BurnReport &Burn);

  void onDocument(const state::DocumentInForce &Document) override;
  void onBadDocument(const state::StoredDocument &Document,
                     const std::vector<state::DocumentFault> &Faults) override;

private:
  state::DocumentStore &Documents_;
  coordination::TargetTable &Targets_;
  state::BurnReport &Burn_;
};

} // namespace amaranth::daemon

#endif
