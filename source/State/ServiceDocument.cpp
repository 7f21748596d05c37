#include "State/ServiceDocument.h"

#include "Support/Digest.h"

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

const ClientAccount *
ServiceDocument::findAccountByDigest(std::string_view KeyDigest) const {
  // Compares with all accounts, so that the response time does not reveal which
  // account, if any, the key belongs to.
  const ClientAccount *Found = nullptr;
  for (const ClientAccount &Candidate : Accounts_)
    if (equalsConstantTime(Candidate.KeyDigest_, KeyDigest))
      Found = &Candidate;
  return Found;
}

std::string toString(const std::string &File, const DocumentFault &Fault) {
  std::string Text = File + ":" + std::to_string(Fault.Line_) + ": ";
  if (!Fault.Key_.empty())
    Text += Fault.Key_ + ": ";
  return Text + "found " + Fault.Found_ + "; allowed: " + Fault.Allowed_;
}

} // namespace amaranth::state
