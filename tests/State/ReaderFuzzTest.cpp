#include "State/DaemonSettings.h"
#include "State/ServiceDocument.h"

#include <catch2/catch.hpp>

#include <array>
#include <fstream>
#include <random>
#include <sstream>

using namespace amaranth::state;

namespace {

const std::string ValidSettings = R"(host = "h1"
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

/// Applies random mutations to texts, reproducible by their seed.
class Mutator final {
public:
  explicit Mutator(std::uint32_t Seed) : Random_(Seed) {}

  std::string mutate(std::string Text) {
    for (std::size_t Count = 1 + randomBelow(3); Count > 0; --Count)
      applyMutation(Text);
    return Text;
  }

private:
  std::size_t randomBelow(std::size_t Limit) { return Random_() % Limit; }

  void applyMutation(std::string &Text) {
    // Values and syntax that the reader handles in different branches.
    static constexpr std::array Tokens = {
        "-1", "0",    "1e999",   "nan",       "9223372036854775807",
        "\"", "[",    "]]",      "{",         "= ",
        "\n", "true", "[]",      "\"\"\"",    "1979-05-27",
        "'",  "#",    "\\u0000", "\xff\xfe",  "127.0.0.1:0",
        "{}", "=[[",  "[[a]]\n", "a.b.c=1\n", "\"\\uD800\""};
    std::size_t Position = randomBelow(Text.size() + 1);
    std::size_t Length = randomBelow(20);
    switch (randomBelow(6)) {
    case 0:
      Text.insert(Position, Tokens[randomBelow(Tokens.size())]);
      break;
    case 1:
      Text.erase(Position, Length);
      break;
    case 2:
      Text.insert(Position,
                  Text.substr(randomBelow(Text.size() + 1), Length * 4));
      break;
    case 3:
      if (Position < Text.size())
        Text[Position] = static_cast<char>(randomBelow(256));
      break;
    case 4:
      Text.resize(Position);
      break;
    default:
      replaceValue(Text, Tokens[randomBelow(Tokens.size())]);
    }
  }

  void replaceValue(std::string &Text, const char *Value) {
    std::size_t Assignment = Text.find(" = ", randomBelow(Text.size() + 1));
    if (Assignment == std::string::npos)
      return;
    std::size_t End = std::min(Text.find('\n', Assignment), Text.size());
    Text.replace(Assignment + 3, End - Assignment - 3, Value);
  }

  std::mt19937 Random_;
};

/// True if there is either a value or at least one fault, and all faults are
/// complete.
template <typename T>
bool isConsistent(const std::optional<T> &Value,
                  const std::vector<DocumentFault> &Faults) {
  if (Value)
    return Faults.empty();
  for (const DocumentFault &Fault : Faults)
    if (Fault.Line_ < 1 || Fault.Found_.empty() || Fault.Allowed_.empty())
      return false;
  return !Faults.empty();
}

/// Checks the properties that other components rely on without validating them
/// again.
bool isUsable(const ServiceDocument &Document) {
  bool Usable = !Document.Name_.empty() && Document.Deadline_.count() > 0;
  Usable = Usable && Document.Stages_.empty() != Document.Calls_.empty();
  auto CheckTargets = [&](const std::vector<std::string> &Names) {
    for (const std::string &Name : Names)
      Usable = Usable && Document.findTarget(Name);
    Usable = Usable && !Names.empty();
  };
  for (const Stage &Entry : Document.Stages_)
    CheckTargets(Entry.Targets_);
  for (const PlainCall &Entry : Document.Calls_)
    CheckTargets(Entry.Targets_);
  for (const ClientAccount &Entry : Document.Accounts_)
    Usable = Usable && Entry.KeyDigest_.size() == 64 && Entry.Weight_ > 0;
  return Usable;
}

} // namespace

// Guards against documents that crash the daemon, that are rejected without a
// reason, or that are accepted with values that other components cannot handle.
TEST_CASE("damaged documents are read or refused with a reason") {
  std::vector<std::string> ValidDocuments = {
      readConfig("casita-taller/guides.toml"),
      readConfig("mnimi-kartes/cards.toml")};
  Mutator TextMutator(71);
  int RejectedCount = 0;
  constexpr int RoundCount = 3000;
  for (int Round = 0; Round < RoundCount; ++Round) {
    std::string Text =
        TextMutator.mutate(ValidDocuments[Round % ValidDocuments.size()]);
    DocumentReadResult Reading = readServiceDocument(Text);
    INFO(Text);
    REQUIRE(isConsistent(Reading.Document_, Reading.Faults_));
    if (Reading.Document_)
      REQUIRE(isUsable(*Reading.Document_));
    RejectedCount += Reading.Document_ ? 0 : 1;
  }
  // Some mutated documents are accepted and some rejected.
  CHECK(RejectedCount > RoundCount / 10);
  CHECK(RejectedCount < RoundCount);
}

// Guards against settings that crash the daemon or are rejected without a
// reason.
TEST_CASE("damaged settings are read or refused with a reason") {
  REQUIRE(readDaemonSettings(ValidSettings).Settings_);
  Mutator TextMutator(72);
  for (int Round = 0; Round < 3000; ++Round) {
    std::string Text = TextMutator.mutate(ValidSettings);
    SettingsReadResult Reading = readDaemonSettings(Text);
    INFO(Text);
    REQUIRE(isConsistent(Reading.Settings_, Reading.Faults_));
  }
}
