#include "Control/AdminClient.h"
#include "Control/AdminReplies.h"
#include "Control/Commands.h"
#include "State/TextTable.h"

namespace amaranth::control {

namespace {

/// Shows the targets with the state and load that one host has for them.
class TargetsCommand final : public Command {
public:
  const char *name() const override { return "targets"; }
  const char *summary() const override {
    return "Show the state and load of the targets";
  }
  const char *examples() const override {
    return "  targets --daemon 10.0.0.1:8080\n";
  }
  void declareOptions(OptionParser &Parser) const override {
    Parser.addFlag("json", "Print the daemon's reply as JSON");
    declareConnectionOptions(Parser);
  }
  Result<ExitCode> run(const CommandContext &Context) override;
};

Result<ExitCode> TargetsCommand::run(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Settings, readConnectionSettings(Context));
  AdminClient Client(std::move(Settings));
  BOOST_LEAF_AUTO(Body, Client.get("/v1/admin/targets"));
  BOOST_LEAF_AUTO(Targets, parseTargets(Body));
  if (Context.Options_.has("json")) {
    Context.Output_ << Body << "\n";
    return ExitCode::Done;
  }
  state::TextTable Table({"SERVICE", "TARGET", "ADDRESS", "DATA CENTRE",
                          "STATUS", "IN FLIGHT", "QUEUED TOKENS", "LOAD AGE MS",
                          "LATENCY MS"});
  for (const TargetStatus &Target : Targets)
    Table.addRow({Target.Service_, Target.Name_, Target.Address_,
                  Target.DataCentre_, Target.Status_,
                  std::to_string(Target.InFlight_),
                  std::to_string(Target.QueuedTokens_), Target.LoadAge_,
                  Target.Latency_});
  Context.Output_ << Table.toString();
  return ExitCode::Done;
}

} // namespace

std::unique_ptr<Command> makeTargetsCommand() {
  return std::make_unique<TargetsCommand>();
}

} // namespace amaranth::control
