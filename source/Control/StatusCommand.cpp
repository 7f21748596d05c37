#include "Control/AdminClient.h"
#include "Control/AdminReplies.h"
#include "Control/Commands.h"
#include "State/TextTable.h"

#include <cstdio>

namespace amaranth::control {

namespace {

std::string formatLoad(double Load) {
  constexpr std::size_t BufferSize = 64;
  char Buffer[BufferSize];
  std::snprintf(Buffer, sizeof(Buffer), "%.2f", Load);
  return Buffer;
}

std::string formatHost(const HostStatus &Status) {
  state::TextTable Table({"HOST", "DATA CENTRE", "INCARNATION", "STATE",
                          "IN FLIGHT", "KEY-VALUE SERVICE"});
  Table.addRow({Status.Host_, Status.DataCentre_, Status.Incarnation_,
                Status.State_, std::to_string(Status.InFlight_),
                Status.KeyValueReachable_ ? "reachable" : "unreachable"});
  return Table.toString();
}

std::string formatMembers(const HostStatus &Status) {
  state::TextTable Table(
      {"MEMBER", "DATA CENTRE", "ADDRESS", "STATUS", "INCARNATION", "LOAD"});
  for (const MemberStatus &Member : Status.Members_)
    Table.addRow({Member.Host_, Member.DataCentre_, Member.CallerAddress_,
                  Member.Status_, Member.Incarnation_,
                  formatLoad(Member.Load_)});
  return Table.toString();
}

std::string formatServices(const HostStatus &Status) {
  state::TextTable Table({"SERVICE", "REVISION", "STATE"});
  for (const ServiceStatus &Service : Status.Services_)
    Table.addRow({Service.Name_, std::to_string(Service.Revision_),
                  Service.Deleted_ ? "deleted" : "in force"});
  return Table.toString();
}

std::string formatKeyValueCalls(const HostStatus &Status) {
  state::TextTable Table({"KEY-VALUE CALL", "COUNT"});
  for (const auto &[Call, Count] : Status.KeyValueCalls_)
    Table.addRow({Call, std::to_string(Count)});
  return Table.toString();
}

/// Shows one host and its view of the fleet.
class StatusCommand final : public Command {
public:
  const char *name() const override { return "status"; }
  const char *summary() const override {
    return "Show a host, its view of the fleet and the services in force";
  }
  const char *examples() const override {
    return "  status --daemon 10.0.0.1:8080\n";
  }
  void declareOptions(OptionParser &Parser) const override {
    Parser.addFlag("json", "Print the daemon's reply as JSON");
    declareConnectionOptions(Parser);
  }
  Result<ExitCode> run(const CommandContext &Context) override;
};

Result<ExitCode> StatusCommand::run(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Settings, readConnectionSettings(Context));
  AdminClient Client(std::move(Settings));
  BOOST_LEAF_AUTO(Body, Client.get("/v1/admin/status"));
  BOOST_LEAF_AUTO(Status, parseHostStatus(Body));
  if (Context.Options_.has("json"))
    Context.Output_ << Body << "\n";
  else
    Context.Output_ << formatHost(Status) << "\n"
                    << formatMembers(Status) << "\n"
                    << formatServices(Status) << "\n"
                    << formatKeyValueCalls(Status);
  return ExitCode::Done;
}

} // namespace

std::unique_ptr<Command> makeStatusCommand() {
  return std::make_unique<StatusCommand>();
}

} // namespace amaranth::control
