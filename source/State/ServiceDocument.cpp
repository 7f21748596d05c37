#include "State/ServiceDocument.h"

namespace amaranth::state {

const char *toString(StageKind Kind) {
  switch (Kind) {
  case StageKind::Encode:
    return "encode";
  case StageKind::Retrieve:
    return "retrieve";
  case StageKind::Rerank:
    return "rerank";
  case StageKind::Generate:
    return "generate";
  }
  return "generate";
}

const Target *ServiceDocument::findTarget(std::string_view Name) const {
  for (const Target &Candidate : Targets_)
    if (Candidate.Name_ == Name)
      return &Candidate;
  return nullptr;
}

const PlainCall *ServiceDocument::findCall(std::string_view Name) const {
  for (const PlainCall &Candidate : Calls_)
    if (Candidate.Name_ == Name)
      return &Candidate;
  return nullptr;
}

} // namespace amaranth::state
