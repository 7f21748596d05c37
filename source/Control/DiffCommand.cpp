#include "Control/AdminClient.h"
#include "Control/Commands.h"
#include "Control/InputFile.h"
#include "Control/ServiceChange.h"
#include "Control/ServiceReport.h"

namespace amaranth::control {

namespace {

/// Shows what apply would change, without changing it.
class DiffCommand final : public Command {
public:
  const char *name() const override { return "diff"; }
  const char *summary() const override {
    return "Show what applying documents would change";
  }
  const char *arguments() const override { return "FILE|DIR"; }
  int argumentCount() const override { return 1; }
  const char *examples() const override {
    return "  diff guides.toml --daemon 10.0.0.1:8080\n"
           "  diff services/ --daemon 10.0.0.1:8080 --json\n";
  }
  void declareOptions(OptionParser &Parser) const override {
    Parser.addFlag("json", "Print the result as JSON");
    declareConnectionOptions(Parser);
  }
  Result<ExitCode> run(const CommandContext &Context) override;
};

Result<ExitCode> DiffCommand::run(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Settings, readConnectionSettings(Context));
  BOOST_LEAF_AUTO(Files, readDocuments(Context.Options_.arguments()[0]));
  std::string Faults = describeFaults(Files);
  if (!Faults.empty()) {
    Context.Messages_ << Faults;
    return ExitCode::Failed;
  }
  AdminClient Client(std::move(Settings));
  ServiceReport Report(Context);
  for (const DocumentFile &File : Files) {
    const std::string &Name = File.Reading_.Document_->Name_;
    BOOST_LEAF_AUTO(Current, readService(Client, Name));
    std::string Difference = describeDifference(Current, File.Text_);
    Report.add(Name, Current.Revision_,
               Difference.empty() ? "unchanged" : "changed", Difference);
  }
  Report.finish();
  return ExitCode::Done;
}

} // namespace

std::unique_ptr<Command> makeDiffCommand() {
  return std::make_unique<DiffCommand>();
}

} // namespace amaranth::control
