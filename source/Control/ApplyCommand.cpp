#include "Control/AdminClient.h"
#include "Control/Commands.h"
#include "Control/ConvergenceWait.h"
#include "Control/InputFile.h"
#include "Control/ServiceChange.h"
#include "Control/ServiceReport.h"

#include <map>
#include <set>

namespace amaranth::control {

namespace {

/// One run of apply over its documents.
class ApplyRun final {
public:
  ApplyRun(const CommandContext &Context, AdminClientSettings Settings)
      : Context_(Context), Client_(std::move(Settings)), Report_(Context) {}

  Result<ExitCode> run(const std::vector<DocumentFile> &Files);

private:
  Result<ExitCode> applyAll(const std::vector<DocumentFile> &Files);
  Result<ExitCode> applyOne(const DocumentFile &File);
  ExitCode reportConflict(const DocumentFile &File,
                          const ChangeOutcome &Outcome);
  void reportRemaining(const std::vector<DocumentFile> &Files,
                       const Error &Failure);
  void report(const std::string &Name, std::uint64_t Revision,
              const char *Outcome, const std::string &Difference);

  const CommandContext &Context_;
  AdminClient Client_;
  ServiceReport Report_;
  std::map<std::string, std::uint64_t> StoredRevisions_; ///< By service.
  std::set<std::string> Reported_;
  std::string LastSubmitted_; ///< Service whose change was sent last.
};

Result<ExitCode> ApplyRun::run(const std::vector<DocumentFile> &Files) {
  Expected<ExitCode> Code = capture([&] { return applyAll(Files); });
  // Services already changed are reported even if a later change failed.
  if (!Code)
    reportRemaining(Files, Code.error());
  else if (*Code != ExitCode::Done)
    reportRemaining(Files, Error{});
  Report_.finish();
  if (!Code)
    return fail(Code.error().Code_, Code.error().Message_);
  if (*Code == ExitCode::Done && Context_.Options_.has("wait")) {
    BOOST_LEAF_CHECK(
        ConvergenceWait(Client_, Context_.Messages_).wait(StoredRevisions_));
  }
  return *Code;
}

void ApplyRun::reportRemaining(const std::vector<DocumentFile> &Files,
                               const Error &Failure) {
  for (const DocumentFile &File : Files) {
    const std::string &Name = File.Reading_.Document_->Name_;
    if (Reported_.contains(Name))
      continue;
    bool MayBeApplied =
        Name == LastSubmitted_ && (Failure.Code_ == ErrorCode::Ambiguous ||
                                   Failure.Code_ == ErrorCode::CorruptData);
    Report_.add(Name, 0, MayBeApplied ? "unknown" : "not applied", "");
  }
}

void ApplyRun::report(const std::string &Name, std::uint64_t Revision,
                      const char *Outcome, const std::string &Difference) {
  Reported_.insert(Name);
  Report_.add(Name, Revision, Outcome, Difference);
}

Result<ExitCode> ApplyRun::applyAll(const std::vector<DocumentFile> &Files) {
  for (const DocumentFile &File : Files) {
    BOOST_LEAF_AUTO(Code, applyOne(File));
    if (Code != ExitCode::Done)
      return Code;
  }
  return ExitCode::Done;
}

Result<ExitCode> ApplyRun::applyOne(const DocumentFile &File) {
  const std::string &Name = File.Reading_.Document_->Name_;
  BOOST_LEAF_AUTO(Current, readService(Client_, Name));
  std::string Difference = describeDifference(Current, File.Text_);
  if (Difference.empty()) {
    StoredRevisions_[Name] = Current.Revision_;
    report(Name, Current.Revision_, "unchanged", "");
    return ExitCode::Done;
  }
  DocumentChange Change;
  Change.Name_ = Name;
  Change.ExpectedRevision_ = Current.Revision_;
  Change.ChangeId_ = makeChangeId();
  Change.Text_ = File.Text_;
  LastSubmitted_ = Name;
  BOOST_LEAF_AUTO(Outcome, submitChange(Client_, Change));
  if (Outcome.Kind_ == ChangeKind::Conflict)
    return reportConflict(File, Outcome);
  if (Outcome.Kind_ == ChangeKind::Rejected) {
    for (const state::DocumentFault &Fault : Outcome.Faults_)
      Context_.Messages_ << toString(File.Path_, Fault) << "\n";
    report(Name, Current.Revision_, "rejected", "");
    return ExitCode::Failed;
  }
  StoredRevisions_[Name] = Outcome.Revision_;
  report(Name, Outcome.Revision_, "applied", Difference);
  return ExitCode::Done;
}

ExitCode ApplyRun::reportConflict(const DocumentFile &File,
                                  const ChangeOutcome &Outcome) {
  const std::string &Name = File.Reading_.Document_->Name_;
  state::StoredDocument Current;
  Current.Text_ = Outcome.CurrentText_;
  report(Name, Outcome.Revision_, "conflict",
         describeDifference(Current, File.Text_));
  Context_.Messages_ << Name
                     << ": not applied, because another change to this service "
                        "was stored first; the difference leads from the "
                        "stored document to yours\n";
  if (Outcome.MayHaveBeenReplaced_)
    Context_.Messages_
        << Name
        << ": an earlier attempt got no clear reply; it may have "
           "taken effect before the other change\n";
  return ExitCode::Conflict;
}

/// Stores documents as the new revisions of their services.
class ApplyCommand final : public Command {
public:
  const char *name() const override { return "apply"; }
  const char *summary() const override {
    return "Apply service documents to the fleet";
  }
  const char *arguments() const override { return "FILE|DIR"; }
  int argumentCount() const override { return 1; }
  const char *examples() const override {
    return "  apply guides.toml --daemon 10.0.0.1:8080\n"
           "  apply services/ --daemon 10.0.0.1:8080 --daemon 10.0.0.2:8080 "
           "--wait\n";
  }
  void declareOptions(OptionParser &Parser) const override {
    Parser.addFlag("wait", "Wait until the documents are in force on every "
                           "alive and draining host");
    Parser.addFlag("json", "Print the result as JSON");
    declareConnectionOptions(Parser);
  }
  Result<ExitCode> run(const CommandContext &Context) override;
};

Result<ExitCode> ApplyCommand::run(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Settings, readConnectionSettings(Context));
  BOOST_LEAF_AUTO(Files, readDocuments(Context.Options_.arguments()[0]));
  std::string Faults = describeFaults(Files);
  if (!Faults.empty()) {
    Context.Messages_ << Faults << "nothing was applied\n";
    return ExitCode::Failed;
  }
  return ApplyRun(Context, std::move(Settings)).run(Files);
}

} // namespace

std::unique_ptr<Command> makeApplyCommand() {
  return std::make_unique<ApplyCommand>();
}

} // namespace amaranth::control
