#include "Control/AdminClient.h"
#include "Control/Commands.h"
#include "Control/InputFile.h"
#include "State/BurnPage.h"
#include "State/BurnSummary.h"

namespace amaranth::control {

namespace {

/// Shows the burn report of one host: how fast each service uses up its error
/// budget.
class BurnCommand final : public Command {
public:
  const char *name() const override { return "burn"; }
  const char *summary() const override {
    return "Show how fast each service spends its error budget";
  }
  const char *examples() const override {
    return "  burn --daemon 10.0.0.1:8080\n"
           "  burn --daemon 10.0.0.1:8080 --html burn.html\n";
  }
  void declareOptions(OptionParser &Parser) const override {
    Parser.addFlag("json", "Print the daemon's reply as JSON");
    Parser.addValue("html", "FILE", "Write a web page with plots to FILE");
    declareConnectionOptions(Parser);
  }
  Result<ExitCode> run(const CommandContext &Context) override;
};

Result<ExitCode> BurnCommand::run(const CommandContext &Context) {
  const Options &CommandLine = Context.Options_;
  if (CommandLine.has("html") && CommandLine.value("html").empty())
    return fail(ErrorCode::InvalidArgument,
                "--html: found an empty name; expected a file");
  BOOST_LEAF_AUTO(Settings, readConnectionSettings(Context));
  AdminClient Client(std::move(Settings));
  BOOST_LEAF_AUTO(Body, Client.get("/v1/admin/burn"));
  BOOST_LEAF_AUTO(Summary, state::parseBurnSummary(Body));
  if (CommandLine.has("html")) {
    BOOST_LEAF_CHECK(
        writeOutputFile(CommandLine.value("html"), toHtml(Summary)));
  }
  if (CommandLine.has("json"))
    Context.Output_ << Body << "\n";
  else
    Context.Output_ << toTable(Summary);
  return ExitCode::Done;
}

} // namespace

std::unique_ptr<Command> makeBurnCommand() {
  return std::make_unique<BurnCommand>();
}

} // namespace amaranth::control
