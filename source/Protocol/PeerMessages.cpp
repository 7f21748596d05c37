#include "Protocol/PeerMessages.h"

namespace amaranth::protocol {

const char *toString(OutcomeKind Kind) {
  switch (Kind) {
  case OutcomeKind::Completed:
    return "completed";
  case OutcomeKind::NotRun:
    return "not_run";
  case OutcomeKind::Unknown:
    return "unknown";
  case OutcomeKind::Failed:
    return "failed";
  case OutcomeKind::Running:
    return "running";
  }
  return "unknown";
}

} // namespace amaranth::protocol
