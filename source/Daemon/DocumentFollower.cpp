#include "Daemon/DocumentFollower.h"

#include "Support/Log.h"

namespace amaranth::daemon {

DocumentFollower::DocumentFollower(state::DocumentStore &Documents,
                                   coordination::TargetTable &Targets,
                                   state::BurnReport &Report)
    : Documents_(Documents), Targets_(Targets), BurnReport_(Report) {
  Documents_.addListener(*this);
}

void DocumentFollower::onDocument(const state::DocumentInForce &Document) {
  LogEvent(LogLevel::Info, "document_in_force")
      .field("service", Document.Stored_.Name_)
      .field("revision", Document.Stored_.Revision_)
      .field("deleted", Document.Stored_.Deleted_ ? "true" : "false");
  if (Document.Parsed_)
    BurnReport_.setObjective(Document.Parsed_->Name_,
                             Document.Parsed_->Objective_);
  std::vector<std::string> Addresses;
  for (const auto &Service : Documents_.services())
    for (const state::Target &Target : Service->Targets_)
      Addresses.push_back(Target.Address_);
  Targets_.retainOnly(Addresses);
}

void DocumentFollower::onInvalidDocument(
    const state::StoredDocument &Document,
    const std::vector<state::DocumentFault> &Faults) {
  LogEvent Event(LogLevel::Error, "document_refused");
  Event.field("service", Document.Name_)
      .field("revision", Document.Revision_)
      .field("faults", Faults.size());
  if (!Faults.empty())
    Event.field("first_fault", toString(Document.Name_, Faults.front()));
}

} // namespace amaranth::daemon
