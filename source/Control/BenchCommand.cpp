#include "Control/BenchRun.h"
#include "Control/Commands.h"
#include "Control/InputFile.h"

#include <charconv>
#include <cstdlib>
#include <sstream>

namespace amaranth::control {

using Json = nlohmann::json;

namespace {

constexpr std::size_t MaxFaultsShown = 10;

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    if (!Part.empty())
      Parts.push_back(Part);
  return Parts;
}

Result<double> readNumber(const Options &CommandLine, const std::string &Name,
                          double Default, double Minimum, double Maximum) {
  if (!CommandLine.has(Name))
    return Default;
  std::string Text = CommandLine.value(Name);
  double Value = 0;
  const char *End = Text.data() + Text.size();
  auto [ParseEnd, Failure] = std::from_chars(Text.data(), End, Value);
  if (Failure != std::errc() || ParseEnd != End || Value < Minimum ||
      Value > Maximum)
    return fail(ErrorCode::InvalidArgument,
                "--" + Name + ": found \"" + Text +
                    "\"; expected a number from " + std::to_string(Minimum) +
                    " to " + std::to_string(Maximum));
  return Value;
}

/// Name of the environment variable that holds the key of \p Account.
std::string keyVariableName(const std::string &Account) {
  std::string Name = "AMARANTH_KEY_";
  for (char C : Account)
    Name +=
        C == '-' || C == '.'
            ? '_'
            : static_cast<char>(std::toupper(static_cast<unsigned char>(C)));
  return Name;
}

Result<std::map<std::string, std::string>>
readKeys(const BenchScenario &Scenario) {
  std::map<std::string, std::string> Keys;
  for (const BenchAccount &Account : Scenario.Accounts_) {
    std::string Variable = keyVariableName(Account.Name_);
    const char *Key = std::getenv(Variable.c_str());
    if (!Key || !*Key)
      return fail(ErrorCode::InvalidArgument,
                  "the environment has no " + Variable +
                      "; expected the key of client account " + Account.Name_);
    Keys[Account.Name_] = Key;
  }
  return Keys;
}

/// Reads the scenario file and writes its faults to \p Messages.
Result<BenchScenario> readScenario(const std::string &Path,
                                   std::ostream &Messages) {
  BOOST_LEAF_AUTO(Text, readInputFile(Path));
  BenchScenarioReading Reading = readBenchScenario(Text);
  for (const state::DocumentFault &Fault : Reading.Faults_)
    Messages << toString(Path, Fault) << "\n";
  if (!Reading.Scenario_)
    return fail(ErrorCode::InvalidArgument, Path + " is not a valid scenario");
  return std::move(*Reading.Scenario_);
}

Json demandJson(const BenchScenario &Scenario) {
  Json Requests = Json::array();
  for (const KindDemand &Demand : computeDemand(Scenario)) {
    const BenchRequestKind &Kind = Scenario.Kinds_[Demand.KindIndex_];
    Json Entry = {{"name", Kind.Name_},
                  {"service", Kind.Service_},
                  {"share", Demand.Share_},
                  {"mean_words", Demand.MeanWords_},
                  {"mean_tokens", Demand.MeanTokens_}};
    if (!Kind.Call_.empty())
      Entry["call"] = Kind.Call_;
    Requests.push_back(std::move(Entry));
  }
  return {{"deployment", Scenario.Deployment_},
          {"load_lag_ms", Scenario.LoadLag_.count()},
          {"requests", Requests}};
}

/// A fleet under test, with its results.
struct TestedFleet {
  const char *Name_;
  BenchRunSettings Settings_;
  BenchReport Report_;
  BenchVerifier Verifier_;
};

/// Sends load to daemons and reports the outcomes of the requests.
class BenchCommand final : public Command {
public:
  const char *name() const override { return "bench"; }
  const char *summary() const override {
    return "Send the load of a scenario to daemons and measure the outcomes";
  }
  const char *arguments() const override { return "SCENARIO"; }
  int argumentCount() const override { return 1; }
  const char *examples() const override {
    return "  bench --daemons 127.0.0.1:8101,127.0.0.1:8102 "
           "config/scenarios/demo-casita-taller.toml\n"
           "  bench --daemons 127.0.0.1:8101 --compare 127.0.0.1:9101 "
           "--capacity 120 --rounds 2 peak.toml\n"
           "  bench --demand peak.toml\n";
  }
  void declareOptions(OptionParser &Parser) const override;
  Result<ExitCode> run(const CommandContext &Context) override;

private:
  using Fleets = std::vector<std::unique_ptr<TestedFleet>>;

  Result<Fleets> readFleets(const CommandContext &Context,
                            const BenchScenario &Scenario) const;
  Result<BenchRunSettings> readSettings(const CommandContext &Context,
                                        const BenchScenario &Scenario) const;
  std::vector<BenchOrder> runRounds(const CommandContext &Context,
                                    const BenchScenario &Scenario,
                                    Fleets &TestedFleets, int Rounds) const;
  void printResults(const CommandContext &Context,
                    const BenchScenario &Scenario,
                    const Fleets &TestedFleets) const;
  bool reportFaults(const CommandContext &Context,
                    const Fleets &TestedFleets) const;
};

void BenchCommand::declareOptions(OptionParser &Parser) const {
  Parser.addValue("daemons", "LIST", "Caller addresses, separated by commas");
  Parser.addValue("compare", "LIST",
                  "Daemons of a second fleet (baseline); both get the same "
                  "load in turn");
  Parser.addValue("rounds", "N", "Runs of each fleet, each with the next seed");
  Parser.addValue("capacity", "RATE",
                  "Requests/s that the targets sustain; phases with a load "
                  "need it");
  Parser.addValue("seed", "N", "Replaces the seed of the scenario");
  Parser.addValue("concurrency", "N", "Requests in flight at once");
  Parser.addValue("standins", "LIST", "Stand-ins that phases can slow");
  Parser.addValue("compare-standins", "LIST", "The same for the second fleet");
  Parser.addValue("orders", "FILE",
                  "Write the outcome of each order to FILE, as JSON");
  Parser.addFlag("demand", "Print only the request mix, as JSON");
  Parser.addFlag("json", "Print the results as JSON");
}

Result<BenchRunSettings>
BenchCommand::readSettings(const CommandContext &Context,
                           const BenchScenario &Scenario) const {
  const Options &CommandLine = Context.Options_;
  BenchRunSettings Settings;
  BOOST_LEAF_AUTO(Capacity, readNumber(CommandLine, "capacity", 0, 0.1, 1e6));
  BOOST_LEAF_AUTO(Concurrency, readNumber(CommandLine, "concurrency",
                                          Settings.Concurrency_, 1, 2000));
  BOOST_LEAF_AUTO(Seed,
                  readNumber(CommandLine, "seed",
                             static_cast<double>(Scenario.Seed_), 0, 2e9));
  BOOST_LEAF_ASSIGN(Settings.BearerKeys_, readKeys(Scenario));
  Settings.Capacity_ = Capacity;
  Settings.Concurrency_ = static_cast<int>(Concurrency);
  Settings.Seed_ = static_cast<std::uint64_t>(Seed);
  if (Scenario.needsCapacity() && Capacity == 0)
    return fail(ErrorCode::InvalidArgument,
                "the scenario gives loads as shares of the capacity; expected "
                "--capacity RATE");
  return Settings;
}

Result<BenchCommand::Fleets>
BenchCommand::readFleets(const CommandContext &Context,
                         const BenchScenario &Scenario) const {
  const Options &CommandLine = Context.Options_;
  BOOST_LEAF_AUTO(Settings, readSettings(Context, Scenario));
  double Capacity = Settings.Capacity_;
  Settings.Hosts_ = splitList(CommandLine.value("daemons"));
  Settings.Standins_ = splitList(CommandLine.value("standins"));
  if (Settings.Hosts_.empty())
    return fail(ErrorCode::InvalidArgument,
                "found no --daemons; expected the caller address of at least "
                "one daemon");
  Fleets TestedFleets;
  TestedFleets.push_back(std::unique_ptr<TestedFleet>(new TestedFleet{
      "policy", Settings, BenchReport(Scenario, Capacity), {}}));
  if (!CommandLine.has("compare"))
    return TestedFleets;
  Settings.Hosts_ = splitList(CommandLine.value("compare"));
  Settings.Standins_ = splitList(CommandLine.value("compare-standins"));
  if (Settings.Hosts_.empty())
    return fail(ErrorCode::InvalidArgument,
                "found an empty --compare; expected caller addresses");
  TestedFleets.push_back(std::unique_ptr<TestedFleet>(new TestedFleet{
      "baseline", Settings, BenchReport(Scenario, Capacity), {}}));
  return TestedFleets;
}

Result<ExitCode> BenchCommand::run(const CommandContext &Context) {
  const Options &CommandLine = Context.Options_;
  BOOST_LEAF_AUTO(
      Scenario, readScenario(CommandLine.arguments().at(0), Context.Messages_));
  if (CommandLine.has("demand")) {
    Context.Output_ << demandJson(Scenario).dump(2) << "\n";
    return ExitCode::Done;
  }
  BOOST_LEAF_AUTO(Rounds, readNumber(CommandLine, "rounds", 1, 1, 100));
  BOOST_LEAF_AUTO(TestedFleets, readFleets(Context, Scenario));
  std::vector<BenchOrder> Orders =
      runRounds(Context, Scenario, TestedFleets, static_cast<int>(Rounds));
  if (CommandLine.has("orders")) {
    Json List = Json::array();
    for (const BenchOrder &Order : Orders)
      List.push_back({{"order_id", Order.OrderId_},
                      {"service", Order.Service_},
                      {"outcome", toString(Order.Outcome_)},
                      {"keys", Order.KeyCount_}});
    BOOST_LEAF_CHECK(
        writeOutputFile(CommandLine.value("orders"), List.dump() + "\n"));
  }
  printResults(Context, Scenario, TestedFleets);
  return reportFaults(Context, TestedFleets) ? ExitCode::Done
                                             : ExitCode::Failed;
}

std::vector<BenchOrder> BenchCommand::runRounds(const CommandContext &Context,
                                                const BenchScenario &Scenario,
                                                Fleets &TestedFleets,
                                                int Rounds) const {
  std::vector<BenchOrder> Orders;
  for (int Round = 0; Round < Rounds; ++Round)
    for (auto &Fleet : TestedFleets) {
      BenchRunSettings Settings = Fleet->Settings_;
      // Both fleets get the same load in a round.
      Settings.Seed_ += static_cast<std::uint64_t>(Round);
      Context.Messages_ << Fleet->Name_ << ": round " << Round + 1 << " of "
                        << Rounds << ", seed " << Settings.Seed_ << std::endl;
      BenchRun Run(Scenario, std::move(Settings), Context.Messages_);
      Run.run(Fleet->Report_, Fleet->Verifier_, Orders);
    }
  return Orders;
}

void BenchCommand::printResults(const CommandContext &Context,
                                const BenchScenario &Scenario,
                                const Fleets &TestedFleets) const {
  if (Context.Options_.has("json")) {
    Json Body = {{"scenario", Scenario.Name_}};
    for (const auto &Fleet : TestedFleets) {
      Body[Fleet->Name_] = Fleet->Report_.toJson();
      Body[Fleet->Name_]["faults"] = Fleet->Verifier_.faults();
    }
    Context.Output_ << Body.dump(2) << "\n";
    return;
  }
  for (const auto &Fleet : TestedFleets)
    Context.Output_ << "== " << Scenario.Name_ << ", " << Fleet->Name_ << "\n"
                    << Fleet->Report_.toText() << "\n";
  if (TestedFleets.size() == 2)
    Context.Output_ << "== comparison\n"
                    << compareReports(TestedFleets[0]->Report_,
                                      TestedFleets[1]->Report_);
}

/// Writes the faults of the runs to the messages. True if the outcomes add up
/// to the planned requests and every answer belongs to its request.
bool BenchCommand::reportFaults(const CommandContext &Context,
                                const Fleets &TestedFleets) const {
  bool Passed = true;
  for (const auto &Fleet : TestedFleets) {
    if (!Fleet->Report_.addsUp()) {
      Context.Messages_
          << Fleet->Name_
          << ": the outcomes do not add up to the planned requests\n";
      Passed = false;
    }
    std::vector<std::string> Faults = Fleet->Verifier_.faults();
    for (std::size_t I = 0; I < std::min(Faults.size(), MaxFaultsShown); ++I)
      Context.Messages_ << Fleet->Name_ << ": wrong answer: " << Faults[I]
                        << "\n";
    if (Faults.size() > MaxFaultsShown)
      Context.Messages_ << Fleet->Name_ << ": " << Faults.size()
                        << " wrong answers in all\n";
    Passed = Passed && Faults.empty();
  }
  return Passed;
}

} // namespace

std::unique_ptr<Command> makeBenchCommand() {
  return std::make_unique<BenchCommand>();
}

} // namespace amaranth::control
