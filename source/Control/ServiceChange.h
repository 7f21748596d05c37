/// \file
/// One change of one service, from submission to its final outcome.
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
  Conflict, ///< The service has another revision now.
  Rejected, ///< The daemon found faults in the document.
};

/// What became of a change.
struct ChangeOutcome {
  ChangeKind Kind_ = ChangeKind::Accepted;
  std::uint64_t Revision_ = 0; ///< Now in force.
  std::string CurrentText_;    ///< For Conflict.
  /// For Conflict: an attempt without a reply may have taken effect before the
  /// current revision replaced it.
  bool MayHaveBeenReplaced_ = false;
  std::vector<state::DocumentFault> Faults_; ///< For Rejected.
};

/// The service as it is stored; revision 0 if it never existed.
Result<state::StoredDocument> readService(AdminClient &Client,
                                          const std::string &Name);

/// Sends \p Change. If it conflicts after an attempt whose reply was lost, the
/// change id read back decides whether that attempt took effect.
Result<ChangeOutcome> submitChange(AdminClient &Client,
                                   const DocumentChange &Change);

/// A change id that no other change has.
std::string freshChangeId();

} // namespace amaranth::control

#endif
