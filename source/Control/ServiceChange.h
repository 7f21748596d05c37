/// \file
/// Submits a change of a service and determines its outcome.
#ifndef AMARANTH_CONTROL_SERVICECHANGE_H
#define AMARANTH_CONTROL_SERVICECHANGE_H

#include "Control/AdminClient.h"
#include "State/ServiceDocument.h"

#include <cstdint>
#include <string>
#include <vector>

namespace amaranth::control {

enum class ChangeKind {
  Accepted,
  Conflict, ///< The service no longer has the expected revision.
  Rejected, ///< The daemon found faults in the document.
};

/// Outcome of a change.
struct ChangeOutcome {
  ChangeKind Kind_ = ChangeKind::Accepted;
  std::uint64_t Revision_ = 0; ///< Now stored.
  std::string CurrentText_;    ///< For Conflict: the stored document.
  /// For Conflict: an attempt without a clear reply may have taken effect
  /// before the current revision replaced it.
  bool MayHaveBeenReplaced_ = false;
  std::vector<state::DocumentFault> Faults_; ///< For Rejected.
};

/// Reads the stored document of a service; revision 0 if it never existed.
Result<state::StoredDocument> readService(AdminClient &Client,
                                          const std::string &Name);

/// Sends \p Change. After a conflict that follows an attempt of unknown
/// outcome, reads the service again: its change id shows whether that attempt
/// took effect.
Result<ChangeOutcome> submitChange(AdminClient &Client,
                                   const DocumentChange &Change);

/// A random change id, unique to one change.
std::string makeChangeId();

} // namespace amaranth::control

#endif
