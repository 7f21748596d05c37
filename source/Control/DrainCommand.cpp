#include "Control/AdminClient.h"
#include "Control/Commands.h"

namespace amaranth::control {

namespace {

/// Drains one host. A second daemon to try on failure would be another host, so
/// exactly one --daemon is accepted.
class DrainCommand final : public Command {
public:
  const char *name() const override { return "drain"; }
  const char *summary() const override {
    return "Drain a host: finish its requests, then leave the fleet";
  }
  const char *examples() const override {
    return "  drain --daemon 10.0.0.1:8080\n";
  }
  void declareOptions(OptionParser &Parser) const override {
    declareConnectionOptions(Parser);
  }
  Result<ExitCode> run(const CommandContext &Context) override;
};

Result<ExitCode> DrainCommand::run(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Settings, readConnectionSettings(Context));
  if (Settings.Daemons_.size() != 1)
    return fail(ErrorCode::InvalidArgument,
                "found several --daemon options; expected one, because only "
                "that host is drained");
  AdminClient Client(std::move(Settings));
  const std::string &Address = Client.settings().Daemons_[0];
  BOOST_LEAF_CHECK(Client.send(Address, "POST", "/v1/admin/drain", ""));
  Context.Output_ << Address << ": draining\n";
  return ExitCode::Done;
}

} // namespace

std::unique_ptr<Command> makeDrainCommand() {
  return std::make_unique<DrainCommand>();
}

} // namespace amaranth::control
