#include "Control/BenchScenario.h"

#include "State/TomlReader.h"

#include <algorithm>

namespace amaranth::control {

using state::IntegerRange;
using state::NumberRange;
using state::Presence;
using state::quoteFound;
using state::TextRule;
using state::TomlReader;

namespace {

constexpr IntegerRange SeedRange = {0, 2147483647};
constexpr IntegerRange CallerRange = {1, 1000};
/// Keeps load tests short.
constexpr IntegerRange DurationRange = {100, 300000};
constexpr IntegerRange LagRange = {0, 60000};
constexpr IntegerRange TimeoutRange = {1, 600000};
constexpr IntegerRange WordRange = {1, 100000};
constexpr IntegerRange TokenRange = {1, 32768};
constexpr IntegerRange SlowedRange = {1, 1000};
constexpr NumberRange RateRange = {0, 10000};
constexpr NumberRange LoadRange = {0, 20};
constexpr NumberRange ShareRange = {0, 100};
constexpr NumberRange FactorRange = {0, 1000};
constexpr NumberRange BoundRange = {-1e9, 1e9};

bool isSize(std::string_view Text) { return Text == "short" || Text == "long"; }
constexpr TextRule SizeRule = {isSize, "\"short\" or \"long\""};

struct MeasureName {
  const char *Name_;
  BenchMeasure Measure_;
};
constexpr MeasureName MeasureNames[] = {
    {"attainment", BenchMeasure::Attainment},
    {"served", BenchMeasure::Served},
    {"goodput_share", BenchMeasure::GoodputShare},
    {"p99_short", BenchMeasure::P99Short},
    {"p99", BenchMeasure::P99},
    {"extra_share", BenchMeasure::ExtraShare},
};

const MeasureName *findMeasure(std::string_view Text) {
  for (const MeasureName &Entry : MeasureNames)
    if (Text == Entry.Name_)
      return &Entry;
  return nullptr;
}
bool isMeasure(std::string_view Text) { return findMeasure(Text) != nullptr; }
constexpr TextRule MeasureRule = {
    isMeasure, "\"attainment\", \"served\", \"goodput_share\", "
               "\"p99_short\", \"p99\" or \"extra_share\""};

bool isRelation(std::string_view Text) {
  return Text == "ratio" || Text == "difference";
}
constexpr TextRule RelationRule = {isRelation, "\"ratio\" or \"difference\""};

bool isTitle(std::string_view Text) {
  return !Text.empty() && Text.size() <= 200;
}
constexpr TextRule TitleRule = {isTitle, "1 to 200 characters"};

void readLength(TomlReader &Reader, const char *MinimumKey,
                const char *MaximumKey, IntegerRange Range,
                BenchLength &Length) {
  Reader.readInteger(MinimumKey, Range, Length.Minimum_);
  Length.Maximum_ = Length.Minimum_;
  Reader.readInteger(MaximumKey, Range, Length.Maximum_);
  if (Length.Maximum_ < Length.Minimum_)
    Reader.addFault(MaximumKey, std::to_string(Length.Maximum_),
                    std::string("at least ") + MinimumKey);
}

BenchAccount readAccount(TomlReader &Reader) {
  BenchAccount Account;
  Reader.readText("name", Presence::Required, state::NameRule, Account.Name_);
  Reader.readNumber("weight", ShareRange, Account.Weight_);
  Reader.rejectUnknown();
  return Account;
}

BenchPhase readPhase(TomlReader &Reader) {
  BenchPhase Phase;
  Reader.readText("name", Presence::Required, state::NameRule, Phase.Name_);
  Reader.readMilliseconds("duration_ms", DurationRange, Phase.Duration_);
  bool HasRate = Reader.readNumber("rate", RateRange, Phase.Rate_);
  bool HasLoad = Reader.readNumber("load", LoadRange, Phase.Load_);
  if (HasRate == HasLoad)
    Reader.addFault("rate", HasRate ? "both rate and load" : "no rate",
                    "one of rate (requests/s) and load (share of capacity)");
  bool HasSlowed =
      Reader.readInteger("slowed", SlowedRange, Phase.SlowedStandins_);
  bool HasFactor =
      Reader.readNumber("slow_factor", FactorRange, Phase.SlowFactor_);
  if (HasSlowed != HasFactor)
    Reader.addFault("slowed", "one of slowed and slow_factor",
                    "both of them, or neither");
  Reader.rejectUnknown();
  return Phase;
}

void readPipelineKeys(TomlReader &Reader, BenchRequestKind &Kind) {
  readLength(Reader, "min_words", "max_words", WordRange, Kind.Words_);
  readLength(Reader, "min_tokens", "max_tokens", TokenRange, Kind.Tokens_);
  Reader.readFlag("stream", Kind.Stream_);
  Reader.readFlag("direct", Kind.Direct_);
}

BenchRequestKind readKind(TomlReader &Reader, const BenchScenario &Scenario) {
  BenchRequestKind Kind;
  Reader.readText("name", Presence::Required, state::NameRule, Kind.Name_);
  Reader.readText("service", Presence::Required, state::NameRule,
                  Kind.Service_);
  Reader.readTexts("accounts", Presence::Optional, state::NameRule,
                   Kind.Accounts_);
  for (std::size_t I = 0; I < Kind.Accounts_.size(); ++I)
    if (!Scenario.findAccount(Kind.Accounts_[I]))
      Reader.addElementFault("accounts", I, quoteFound(Kind.Accounts_[I]),
                             "the name of an [[account]]");
  Reader.readNumber("share", ShareRange, Kind.Share_);
  Reader.readTexts("phases", Presence::Optional, state::NameRule, Kind.Phases_);
  for (std::size_t I = 0; I < Kind.Phases_.size(); ++I)
    if (!Scenario.findPhase(Kind.Phases_[I]))
      Reader.addElementFault("phases", I, quoteFound(Kind.Phases_[I]),
                             "the name of a [[phase]]");
  std::string Size;
  if (Reader.readText("size", Presence::Optional, SizeRule, Size))
    Kind.Size_ = Size == "long" ? BenchSize::Long : BenchSize::Short;
  Reader.readMilliseconds("timeout_ms", TimeoutRange, Kind.Timeout_);
  bool Plain =
      Reader.readText("call", Presence::Optional, state::NameRule, Kind.Call_);
  if (Plain)
    Reader.readFlag("order", Kind.IsOrder_);
  else
    readPipelineKeys(Reader, Kind);
  Reader.rejectUnknown();
  return Kind;
}

void readRelation(TomlReader &Reader, const BenchScenario &Scenario,
                  BenchGoal &Goal) {
  bool HasReference = Reader.readText("reference", Presence::Optional,
                                      state::NameRule, Goal.Reference_);
  std::string Relation;
  bool HasRelation =
      Reader.readText("relation", Presence::Optional, RelationRule, Relation);
  if (HasReference != HasRelation)
    Reader.addFault("reference", "one of reference and relation",
                    "both of them, or neither");
  if (HasRelation)
    Goal.Relation_ =
        Relation == "ratio" ? BenchRelation::Ratio : BenchRelation::Difference;
  if (HasReference && !Scenario.findPhase(Goal.Reference_))
    Reader.addFault("reference", quoteFound(Goal.Reference_),
                    "the name of a [[phase]]");
}

BenchGoal readGoal(TomlReader &Reader, const BenchScenario &Scenario) {
  BenchGoal Goal;
  Reader.readText("name", Presence::Required, TitleRule, Goal.Name_);
  std::string Measure;
  if (Reader.readText("measure", Presence::Required, MeasureRule, Measure))
    Goal.Measure_ = findMeasure(Measure)->Measure_;
  if (Reader.readText("phase", Presence::Optional, state::NameRule,
                      Goal.Phase_) &&
      !Scenario.findPhase(Goal.Phase_))
    Reader.addFault("phase", quoteFound(Goal.Phase_),
                    "the name of a [[phase]]");
  if (Reader.readText("account", Presence::Optional, state::NameRule,
                      Goal.Account_) &&
      !Scenario.findAccount(Goal.Account_))
    Reader.addFault("account", quoteFound(Goal.Account_),
                    "the name of an [[account]]");
  readRelation(Reader, Scenario, Goal);
  double Bound = 0;
  if (Reader.readNumber("at_least", BoundRange, Bound))
    Goal.AtLeast_ = Bound;
  if (Reader.readNumber("at_most", BoundRange, Bound))
    Goal.AtMost_ = Bound;
  if (!Goal.AtLeast_ && !Goal.AtMost_)
    Reader.addFault("at_least", "no bound", "at_least or at_most");
  Reader.rejectUnknown();
  return Goal;
}

/// Rejects an empty list and duplicate names. Reports group by name, so entries
/// of the same name would be merged silently.
template <typename Entry>
void checkNames(TomlReader &Root, const char *Key,
                const std::vector<Entry> &Entries) {
  if (Entries.empty())
    Root.addFault(Key, std::string("no [[") + Key + "]]", "at least one");
  for (std::size_t I = 0; I < Entries.size(); ++I)
    for (std::size_t J = 0; J < I; ++J)
      if (!Entries[I].Name_.empty() && Entries[I].Name_ == Entries[J].Name_)
        Root.addFault(Key, quoteFound(Entries[I].Name_) + " a second time",
                      "a name that no other entry has");
}

} // namespace

const BenchPhase *BenchScenario::findPhase(std::string_view Name) const {
  auto Found =
      std::find_if(Phases_.begin(), Phases_.end(),
                   [Name](const BenchPhase &P) { return P.Name_ == Name; });
  return Found == Phases_.end() ? nullptr : &*Found;
}

const BenchAccount *BenchScenario::findAccount(std::string_view Name) const {
  auto Found =
      std::find_if(Accounts_.begin(), Accounts_.end(),
                   [Name](const BenchAccount &A) { return A.Name_ == Name; });
  return Found == Accounts_.end() ? nullptr : &*Found;
}

bool BenchScenario::needsCapacity() const {
  auto UsesLoad = [](const BenchPhase &P) { return P.Load_ > 0; };
  auto UsesGoodputShare = [](const BenchGoal &G) {
    return G.Measure_ == BenchMeasure::GoodputShare;
  };
  return std::any_of(Phases_.begin(), Phases_.end(), UsesLoad) ||
         std::any_of(Goals_.begin(), Goals_.end(), UsesGoodputShare);
}

BenchScenarioReading readBenchScenario(std::string_view Text) {
  BenchScenarioReading Reading;
  std::optional<toml::table> Table = state::parseToml(Text, Reading.Faults_);
  if (!Table)
    return Reading;
  TomlReader Root(*Table, "", Reading.Faults_);
  BenchScenario Scenario;
  int Seed = 1;
  Root.readText("name", Presence::Required, state::NameRule, Scenario.Name_);
  Root.readInteger("seed", SeedRange, Seed);
  Scenario.Seed_ = static_cast<std::uint64_t>(Seed);
  Root.readText("deployment", Presence::Required, state::NameRule,
                Scenario.Deployment_);
  Root.readMilliseconds("load_lag_ms", LagRange, Scenario.LoadLag_);
  Root.readInteger("callers_per_account", CallerRange,
                   Scenario.CallersPerAccount_);
  for (TomlReader &Reader : Root.readTables("account"))
    Scenario.Accounts_.push_back(readAccount(Reader));
  for (TomlReader &Reader : Root.readTables("phase"))
    Scenario.Phases_.push_back(readPhase(Reader));
  for (TomlReader &Reader : Root.readTables("request"))
    Scenario.Kinds_.push_back(readKind(Reader, Scenario));
  for (TomlReader &Reader : Root.readTables("goal"))
    Scenario.Goals_.push_back(readGoal(Reader, Scenario));
  checkNames(Root, "account", Scenario.Accounts_);
  checkNames(Root, "phase", Scenario.Phases_);
  checkNames(Root, "request", Scenario.Kinds_);
  Root.rejectUnknown();
  if (Reading.Faults_.empty())
    Reading.Scenario_ = std::move(Scenario);
  return Reading;
}

} // namespace amaranth::control
