#include "Control/AdminClient.h"
#include "Control/Commands.h"
#include "Support/Log.h"

#include <nlohmann/json.hpp>

namespace amaranth::control {

namespace {

/// Sets the log level of each named daemon; it lasts until the daemon restarts.
class LogLevelCommand final : public Command {
public:
  const char *name() const override { return "log-level"; }
  const char *summary() const override {
    return "Set the log level of the daemons named by --daemon";
  }
  const char *arguments() const override { return "debug|info|warn|error"; }
  int argumentCount() const override { return 1; }
  const char *examples() const override {
    return "  log-level debug --daemon 10.0.0.1:8080\n";
  }
  void declareOptions(OptionParser &Parser) const override {
    declareConnectionOptions(Parser);
  }
  Result<ExitCode> run(const CommandContext &Context) override;
};

Result<ExitCode> LogLevelCommand::run(const CommandContext &Context) {
  const std::string &Level = Context.Options_.arguments()[0];
  if (!capture([&] { return parseLogLevel(Level); }))
    return fail(ErrorCode::InvalidArgument,
                "found log level \"" + Level +
                    "\"; expected debug, info, warn or error");
  BOOST_LEAF_AUTO(Settings, readConnectionSettings(Context));
  AdminClient Client(std::move(Settings));
  std::string Body = nlohmann::json({{"level", Level}}).dump();
  for (const std::string &Address : Client.settings().Daemons_) {
    BOOST_LEAF_CHECK(Client.send(Address, "PUT", "/v1/admin/log-level", Body));
    Context.Output_ << Address << ": log level " << Level << "\n";
  }
  return ExitCode::Done;
}

} // namespace

std::unique_ptr<Command> makeLogLevelCommand() {
  return std::make_unique<LogLevelCommand>();
}

} // namespace amaranth::control
