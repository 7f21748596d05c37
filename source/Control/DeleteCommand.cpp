#include "Control/AdminClient.h"
#include "Control/Commands.h"
#include "Control/ServiceChange.h"
#include "Control/ServiceReport.h"

namespace amaranth::control {

namespace {

/// Deletes a service. Its key stays in the store as a tombstone, so that no
/// host returns to an earlier revision.
class DeleteCommand final : public Command {
public:
  const char *name() const override { return "delete"; }
  const char *summary() const override { return "Delete a service"; }
  const char *arguments() const override { return "NAME"; }
  int argumentCount() const override { return 1; }
  const char *examples() const override {
    return "  delete guides --daemon 10.0.0.1:8080\n";
  }
  void declareOptions(OptionParser &Parser) const override {
    Parser.addFlag("json", "Print the result as JSON");
    declareConnectionOptions(Parser);
  }
  Result<ExitCode> run(const CommandContext &Context) override;
};

Result<ExitCode> DeleteCommand::run(const CommandContext &Context) {
  const std::string &Name = Context.Options_.arguments()[0];
  BOOST_LEAF_CHECK(servicePath(Name));
  BOOST_LEAF_AUTO(Settings, readConnectionSettings(Context));
  AdminClient Client(std::move(Settings));
  BOOST_LEAF_AUTO(Current, readService(Client, Name));
  if (Current.Revision_ == 0)
    return fail(ErrorCode::NotFound, "there is no service " + Name);
  ServiceReport Report(Context);
  if (Current.Deleted_) {
    Report.add(Name, Current.Revision_, "already deleted", "");
    Report.finish();
    return ExitCode::Done;
  }
  DocumentChange Change;
  Change.Method_ = "DELETE";
  Change.Name_ = Name;
  Change.ExpectedRevision_ = Current.Revision_;
  Change.ChangeId_ = makeChangeId();
  BOOST_LEAF_AUTO(Outcome, submitChange(Client, Change));
  bool Deleted = Outcome.Kind_ == ChangeKind::Accepted;
  std::string Difference;
  if (!Deleted) {
    Difference = describeDifference(Current, Outcome.CurrentText_);
    Context.Messages_
        << Name
        << ": not deleted, because another change to this service "
           "was stored first\n";
  }
  Report.add(Name, Outcome.Revision_, Deleted ? "deleted" : "conflict",
             Difference);
  Report.finish();
  return Deleted ? ExitCode::Done : ExitCode::Conflict;
}

} // namespace

std::unique_ptr<Command> makeDeleteCommand() {
  return std::make_unique<DeleteCommand>();
}

} // namespace amaranth::control
