#include "State/DaemonSettings.h"
#include "State/ServiceDocument.h"

#include <catch2/catch.hpp>

#include <array>
#include <fstream>
#include <random>
#include <sstream>

using namespace amaranth::state;

namespace {

const std::string Settings = R"(host = "h1"
data_centre = "north"
caller_address = "127.0.0.1:8000"
seeds = ["127.0.0.1:8001", "[::1]:8002"]
key_value_endpoints = ["127.0.0.1:2379"]
fleet_secret = "0123456789abcdef"
operator_key_digest = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
log_level = "info"
probe_period_ms = 200
max_in_flight = 16
baseline_policy = false
)";

std::string readConfig(const std::string &Path) {
  std::ifstream Stream(AMARANTH_SOURCE_DIR "/config/" + Path);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  REQUIRE_FALSE(Text.str().empty());
  return Text.str();
}

/// Changes texts at random places, reproducibly.
class Mutator final {
public:
  explicit Mutator(std::uint32_t Seed) : Random_(Seed) {}

  std::string mutate(std::string Text) {
    for (std::size_t Count = 1 + below(3); Count > 0; --Count)
      mutateOnce(Text);
    return Text;
  }

private:
  std::size_t below(std::size_t Limit) { return Random_() % Limit; }

  void mutateOnce(std::string &Text) {
    // Values and syntax that take other paths through the reader.
    static constexpr std::array Tokens = {
        "-1", "0",    "1e999",   "nan",       "9223372036854775807",
        "\"", "[",    "]]",      "{",         "= ",
        "\n", "true", "[]",      "\"\"\"",    "1979-05-27",
        "'",  "#",    "\\u0000", "\xff\xfe",  "127.0.0.1:0",
        "{}", "=[[",  "[[a]]\n", "a.b.c=1\n", "\"\\uD800\""};
    std::size_t At = below(Text.size() + 1);
    std::size_t Length = below(20);
    switch (below(6)) {
    case 0:
      Text.insert(At, Tokens[below(Tokens.size())]);
      break;
    case 1:
      Text.erase(At, Length);
      break;
    case 2:
      Text.insert(At, Text.substr(below(Text.size() + 1), Length * 4));
      break;
    case 3:
      if (At < Text.size())
        Text[At] = static_cast<char>(below(256));
      break;
    case 4:
      Text.resize(At);
      break;
    default:
      replaceValue(Text, Tokens[below(Tokens.size())]);
    }
  }

  void replaceValue(std::string &Text, const char *Value) {
    std::size_t Sign = Text.find(" = ", below(Text.size() + 1));
    if (Sign == std::string::npos)
      return;
    std::size_t End = std::min(Text.find('\n', Sign), Text.size());
    Text.replace(Sign + 3, End - Sign - 3, Value);
  }

  std::mt19937 Random_;
};

/// Either a value or at least one complete fault.
template <typename T>
bool isSound(const std::optional<T> &Value,
             const std::vector<DocumentFault> &Faults) {
  if (Value)
    return Faults.empty();
  for (const DocumentFault &Fault : Faults)
    if (Fault.Line_ < 1 || Fault.Found_.empty() || Fault.Allowed_.empty())
      return false;
  return !Faults.empty();
}

/// What other components rely on without checking it again.
bool isUsable(const ServiceDocument &Document) {
  bool Ok = !Document.Name_.empty() && Document.Deadline_.count() > 0;
  Ok = Ok && Document.Stages_.empty() != Document.Calls_.empty();
  auto AllFound = [&](const std::vector<std::string> &Names) {
    for (const std::string &Name : Names)
      Ok = Ok && Document.findTarget(Name);
    Ok = Ok && !Names.empty();
  };
  for (const Stage &Each : Document.Stages_)
    AllFound(Each.Targets_);
  for (const PlainCall &Each : Document.Calls_)
    AllFound(Each.Targets_);
  for (const ClientAccount &Each : Document.Accounts_)
    Ok = Ok && Each.KeyDigest_.size() == 64 && Each.Weight_ > 0;
  return Ok;
}

} // namespace

// Guards against a document that crashes the daemon, that is refused without a
// reason, or that is accepted with values nothing else can work with.
TEST_CASE("damaged documents are read or refused with a reason") {
  std::vector<std::string> Valid = {readConfig("casita-taller/guides.toml"),
                                    readConfig("mnimi-kartes/cards.toml")};
  Mutator Source(71);
  int Refused = 0;
  constexpr int Rounds = 3000;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::string Text = Source.mutate(Valid[Round % Valid.size()]);
    DocumentReading Reading = readServiceDocument(Text);
    INFO(Text);
    REQUIRE(isSound(Reading.Document_, Reading.Faults_));
    if (Reading.Document_)
      REQUIRE(isUsable(*Reading.Document_));
    Refused += Reading.Document_ ? 0 : 1;
  }
  // The mutations reach both outcomes.
  CHECK(Refused > Rounds / 10);
  CHECK(Refused < Rounds);
}

// Guards against settings that crash the daemon or are refused without a
// reason.
TEST_CASE("damaged settings are read or refused with a reason") {
  REQUIRE(readDaemonSettings(Settings).Settings_);
  Mutator Source(72);
  for (int Round = 0; Round < 3000; ++Round) {
    std::string Text = Source.mutate(Settings);
    SettingsReading Reading = readDaemonSettings(Text);
    INFO(Text);
    REQUIRE(isSound(Reading.Settings_, Reading.Faults_));
  }
}
