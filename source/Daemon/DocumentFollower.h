/// \file
/// Applies changes of service documents to the target table and the burn
/// report.
#ifndef AMARANTH_DAEMON_DOCUMENTFOLLOWER_H
#define AMARANTH_DAEMON_DOCUMENTFOLLOWER_H

#include "Coordination/TargetTable.h"
#include "State/BurnReport.h"
#include "State/DocumentStore.h"

namespace amaranth::daemon {

/// Logs each change, sets the service's objective in the burn report (burn:
/// speed at which a service uses up its error budget) and removes targets that
/// no document names any more from the target table.
class DocumentFollower final : public state::DocumentStore::Listener {
public:
  DocumentFollower(state::DocumentStore &Documents,
                   coordination::TargetTable &Targets,
                   state::BurnReport &Report);

  void onDocument(const state::DocumentInForce &Document) override;
  void
  onInvalidDocument(const state::StoredDocument &Document,
                    const std::vector<state::DocumentFault> &Faults) override;

private:
  state::DocumentStore &Documents_;
  coordination::TargetTable &Targets_;
  state::BurnReport &BurnReport_;
};

} // namespace amaranth::daemon

#endif
