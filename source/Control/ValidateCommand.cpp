#include "Control/Commands.h"
#include "Control/InputFile.h"

#include <nlohmann/json.hpp>

namespace amaranth::control {

namespace {

using nlohmann::json;

json toJson(const DocumentFile &File) {
  json Faults = json::array();
  for (const state::DocumentFault &Fault : File.Reading_.Faults_)
    Faults.push_back({{"line", Fault.Line_},
                      {"key", Fault.Key_},
                      {"found", Fault.Found_},
                      {"allowed", Fault.Allowed_}});
  json Name;
  if (File.Reading_.Document_)
    Name = File.Reading_.Document_->Name_;
  return {{"file", File.Path_}, {"name", Name}, {"faults", Faults}};
}

/// Checks documents without a daemon, for example before a commit.
class ValidateCommand final : public Command {
public:
  const char *name() const override { return "validate"; }
  const char *summary() const override {
    return "Check service documents without a daemon";
  }
  const char *arguments() const override { return "FILE|DIR"; }
  int argumentCount() const override { return 1; }
  const char *examples() const override {
    return "  validate guides.toml\n  validate services/ --json\n";
  }
  void declareOptions(OptionParser &Parser) const override {
    Parser.addFlag("json", "Print the result as JSON");
  }
  Result<ExitCode> run(const CommandContext &Context) override;
};

Result<ExitCode> ValidateCommand::run(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Files, readDocuments(Context.Options_.arguments()[0]));
  std::string Faults = describeFaults(Files);
  if (Context.Options_.has("json")) {
    json FileReports = json::array();
    for (const DocumentFile &File : Files)
      FileReports.push_back(toJson(File));
    json Report = {{"valid", Faults.empty()}, {"files", FileReports}};
    Context.Output_ << Report.dump(2, ' ', false,
                                   json::error_handler_t::replace)
                    << "\n";
  } else {
    Context.Messages_ << Faults;
    for (const DocumentFile &File : Files)
      if (File.Reading_.Document_)
        Context.Output_ << File.Path_ << ": valid, service "
                        << File.Reading_.Document_->Name_ << "\n";
  }
  return Faults.empty() ? ExitCode::Done : ExitCode::Failed;
}

} // namespace

std::unique_ptr<Command> makeValidateCommand() {
  return std::make_unique<ValidateCommand>();
}

} // namespace amaranth::control
