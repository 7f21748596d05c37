#include "Control/AdminClient.h"
#include "Control/AdminReplies.h"
#include "Control/Commands.h"

namespace amaranth::control {

namespace {

/// Prints the document of a service, ready to be edited and applied.
class GetCommand final : public Command {
public:
  const char *name() const override { return "get"; }
  const char *summary() const override {
    return "Print the document of a service";
  }
  const char *arguments() const override { return "NAME"; }
  int argumentCount() const override { return 1; }
  const char *examples() const override {
    return "  get guides --daemon 10.0.0.1:8080 > guides.toml\n"
           "  get guides --daemon 10.0.0.1:8080 --json\n";
  }
  void declareOptions(OptionParser &Parser) const override {
    Parser.addFlag("json", "Print revision and change id too, as JSON");
    declareConnectionOptions(Parser);
  }
  Result<ExitCode> run(const CommandContext &Context) override;
};

Result<ExitCode> GetCommand::run(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Path, servicePath(Context.Options_.arguments()[0]));
  BOOST_LEAF_AUTO(Settings, readConnectionSettings(Context));
  AdminClient Client(std::move(Settings));
  BOOST_LEAF_AUTO(Body, Client.get(Path));
  BOOST_LEAF_AUTO(Stored, parseStoredDocument(Body));
  if (Context.Options_.has("json")) {
    Context.Output_ << Body << "\n";
    return ExitCode::Done;
  }
  if (Stored.Deleted_)
    return fail(ErrorCode::NotFound, "service " + Stored.Name_ +
                                         " was deleted at revision " +
                                         std::to_string(Stored.Revision_));
  Context.Output_ << Stored.Text_;
  return ExitCode::Done;
}

} // namespace

std::unique_ptr<Command> makeGetCommand() {
  return std::make_unique<GetCommand>();
}

} // namespace amaranth::control
