#include "Control/BenchReport.h"

#include "State/TextTable.h"

#include <cstdio>

namespace amaranth::control {

using Json = nlohmann::json;
using state::TextTable;

namespace {

/// If one request in a hundred is sent later than this, latencies are
/// distorted.
constexpr double MaxP99LatenessMs = 20;

std::string formatNumber(std::optional<double> Value, int Decimals) {
  if (!Value)
    return "-";
  std::array<char, 64> Buffer{};
  std::snprintf(Buffer.data(), Buffer.size(), "%.*f", Decimals, *Value);
  return Buffer.data();
}

std::string formatPercent(std::optional<double> Value) {
  return Value ? formatNumber(*Value * 100, 2) + "%" : "-";
}

void addTallyRow(TextTable &Table, const std::string &Group,
                 const std::string &Name, const BenchTally &Tally) {
  std::vector<std::string> Cells = {Group, Name, std::to_string(Tally.sent())};
  for (BenchOutcome Outcome : AllBenchOutcomes)
    Cells.push_back(std::to_string(Tally.count(Outcome)));
  Cells.push_back(formatPercent(Tally.attainment()));
  Cells.push_back(formatPercent(Tally.served()));
  for (BenchSize Size : {BenchSize::Short, BenchSize::Long})
    for (double Fraction : {0.5, 0.99})
      Cells.push_back(formatNumber(Tally.quantile(Fraction, Size), 1));
  Table.addRow(std::move(Cells));
}

Json toJson(std::optional<double> Value) {
  return Value ? Json(*Value) : Json();
}

Json toJson(const BenchTally &Tally) {
  Json Body = {{"sent", Tally.sent()},
               {"attainment", toJson(Tally.attainment())},
               {"served", toJson(Tally.served())},
               {"p50_short_ms", toJson(Tally.quantile(0.5, BenchSize::Short))},
               {"p99_short_ms", toJson(Tally.quantile(0.99, BenchSize::Short))},
               {"p50_long_ms", toJson(Tally.quantile(0.5, BenchSize::Long))},
               {"p99_long_ms", toJson(Tally.quantile(0.99, BenchSize::Long))},
               {"caller_repeats", Tally.callerRepeats()}};
  for (BenchOutcome Outcome : AllBenchOutcomes)
    Body["outcomes"][toString(Outcome)] = Tally.count(Outcome);
  return Body;
}

template <typename Groups> Json toJson(const Groups &Source) {
  Json Body = Json::object();
  for (const auto &[Name, Tally] : Source)
    Body[Name] = toJson(Tally);
  return Body;
}

double milliseconds(Microseconds Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

bool isMet(const BenchGoal &Goal, double Value) {
  return (!Goal.AtLeast_ || Value >= *Goal.AtLeast_) &&
         (!Goal.AtMost_ || Value <= *Goal.AtMost_);
}

std::string describeBound(const BenchGoal &Goal) {
  std::string Text;
  if (Goal.AtLeast_)
    Text = "at least " + formatNumber(Goal.AtLeast_, 3);
  if (Goal.AtMost_)
    Text += (Text.empty() ? "at most " : ", at most ") +
            formatNumber(Goal.AtMost_, 3);
  return Text;
}

std::optional<double> divide(std::optional<double> Numerator,
                             std::optional<double> Denominator) {
  if (!Numerator || !Denominator || *Denominator == 0)
    return std::nullopt;
  return *Numerator / *Denominator;
}

} // namespace

BenchReport::BenchReport(const BenchScenario &Scenario, double Capacity)
    : Scenario_(&Scenario), Capacity_(Capacity) {}

void BenchReport::add(const BenchRecord &Record) {
  const PlannedRequest &Request = *Record.Request_;
  const BenchRequestKind &Kind = Scenario_->Kinds_[Request.KindIndex_];
  const std::string &Phase = Scenario_->Phases_[Request.PhaseIndex_].Name_;
  Total_.add(Kind, Record);
  Phases_[Phase].add(Kind, Record);
  Kinds_[Kind.Name_].add(Kind, Record);
  Accounts_[Request.Account_].add(Kind, Record);
  PhaseAccounts_[{Phase, Request.Account_}].add(Kind, Record);
  LatenessMs_.push_back(milliseconds(Record.Lateness_));
}

void BenchReport::finishRun(std::size_t Planned) {
  ++Runs_;
  PlannedRequests_ += Planned;
}

void BenchReport::merge(const BenchReport &Other) {
  Total_.merge(Other.Total_);
  for (const auto &[Name, Tally] : Other.Phases_)
    Phases_[Name].merge(Tally);
  for (const auto &[Name, Tally] : Other.Kinds_)
    Kinds_[Name].merge(Tally);
  for (const auto &[Name, Tally] : Other.Accounts_)
    Accounts_[Name].merge(Tally);
  for (const auto &[Names, Tally] : Other.PhaseAccounts_)
    PhaseAccounts_[Names].merge(Tally);
  LatenessMs_.insert(LatenessMs_.end(), Other.LatenessMs_.begin(),
                     Other.LatenessMs_.end());
  Runs_ += Other.Runs_;
  PlannedRequests_ += Other.PlannedRequests_;
}

const BenchTally *BenchReport::phaseTally(const std::string &Name) const {
  auto Found = Phases_.find(Name);
  return Found == Phases_.end() ? nullptr : &Found->second;
}

double BenchReport::measuredSeconds(const std::string &PhaseName) const {
  Milliseconds Duration{0};
  for (const BenchPhase &Phase : Scenario_->Phases_)
    if (PhaseName.empty() || Phase.Name_ == PhaseName)
      Duration += Phase.Duration_;
  return std::chrono::duration<double>(Duration).count() *
         static_cast<double>(runCount());
}

double BenchReport::goodput(const std::string &Phase) const {
  const BenchTally *Tally = Phase.empty() ? &Total_ : phaseTally(Phase);
  if (!Tally)
    return 0;
  return static_cast<double>(Tally->count(BenchOutcome::InTime)) /
         measuredSeconds(Phase);
}

std::optional<double>
BenchReport::goodputShare(const std::string &Phase) const {
  double TokensPerRequest = 0;
  for (const KindDemand &Demand : computeDemand(*Scenario_))
    TokensPerRequest += Demand.Share_ * Demand.MeanTokens_;
  if (TokensPerRequest == 0)
    return divide(goodput(Phase), Capacity_);
  const BenchTally *Tally = Phase.empty() ? &Total_ : phaseTally(Phase);
  if (!Tally)
    return std::nullopt;
  double Tokens =
      static_cast<double>(Tally->tokensInTime()) / measuredSeconds(Phase);
  return divide(Tokens, Capacity_ * TokensPerRequest);
}

bool BenchReport::saturated() const {
  return computeQuantile(LatenessMs_, 0.99).value_or(0) > MaxP99LatenessMs;
}

const BenchTally *BenchReport::findTally(const BenchGoal &Goal,
                                         const std::string &Phase) const {
  if (Goal.Account_.empty())
    return Phase.empty() ? &Total_ : phaseTally(Phase);
  if (Phase.empty()) {
    auto Found = Accounts_.find(Goal.Account_);
    return Found == Accounts_.end() ? nullptr : &Found->second;
  }
  auto Found = PhaseAccounts_.find({Phase, Goal.Account_});
  return Found == PhaseAccounts_.end() ? nullptr : &Found->second;
}

std::optional<double> BenchReport::measure(const BenchGoal &Goal,
                                           const std::string &Phase) const {
  const BenchTally *Tally = findTally(Goal, Phase);
  if (!Tally)
    return std::nullopt;
  switch (Goal.Measure_) {
  case BenchMeasure::Attainment:
    return Tally->attainment();
  case BenchMeasure::Served:
    return Tally->served();
  case BenchMeasure::P99Short:
    return Tally->quantile(0.99, BenchSize::Short);
  case BenchMeasure::P99:
    return Tally->quantile(0.99, std::nullopt);
  case BenchMeasure::ExtraShare:
    return Tally->extraShare();
  case BenchMeasure::GoodputShare:
    break;
  }
  return goodputShare(Phase);
}

GoalResult BenchReport::evaluate(const BenchGoal &Goal) const {
  GoalResult Result;
  Result.Goal_ = &Goal;
  Result.Value_ = measure(Goal, Goal.Phase_);
  if (Goal.Relation_ != BenchRelation::None && Result.Value_) {
    std::optional<double> Reference = measure(Goal, Goal.Reference_);
    if (Goal.Relation_ == BenchRelation::Ratio)
      Result.Value_ = divide(Result.Value_, Reference);
    else if (Reference)
      Result.Value_ = *Result.Value_ - *Reference;
    else
      Result.Value_ = std::nullopt;
  }
  Result.Met_ = Result.Value_ && isMet(Goal, *Result.Value_);
  return Result;
}

std::vector<GoalResult> BenchReport::goals() const {
  std::vector<GoalResult> Results;
  for (const BenchGoal &Goal : Scenario_->Goals_)
    Results.push_back(evaluate(Goal));
  return Results;
}

bool BenchReport::addsUp() const {
  for (const TallyMap *Tallies : {&Phases_, &Kinds_, &Accounts_}) {
    std::size_t Outcomes = 0;
    for (const auto &[Name, Tally] : *Tallies)
      Outcomes += Tally.outcomes();
    if (Outcomes != PlannedRequests_)
      return false;
  }
  return Total_.outcomes() == PlannedRequests_ &&
         Total_.sent() == PlannedRequests_;
}

std::string BenchReport::outcomeTable() const {
  TextTable Table({"group", "name", "sent", "in_time", "late", "not_run",
                   "unknown", "failed", "cut", "attainment", "served",
                   "short p50 ms", "short p99 ms", "long p50 ms",
                   "long p99 ms"});
  for (const BenchPhase &Phase : Scenario_->Phases_)
    if (const BenchTally *Tally = phaseTally(Phase.Name_))
      addTallyRow(Table, "phase", Phase.Name_, *Tally);
  for (const auto &[Name, Tally] : Kinds_)
    addTallyRow(Table, "request", Name, Tally);
  for (const auto &[Name, Tally] : Accounts_)
    addTallyRow(Table, "account", Name, Tally);
  addTallyRow(Table, "total", "", Total_);
  return Table.toString();
}

std::string BenchReport::stageTable() const {
  if (Total_.stages().empty())
    return "no answer reported the cost of its stages\n";
  TextTable Table({"stage", "runs", "attempts", "hedges", "useful ms/run",
                   "wasted ms/run", "wasted share"});
  for (const auto &[Name, Cost] : Total_.stages()) {
    double Runs = static_cast<double>(Cost.Runs_);
    double Useful = milliseconds(Cost.Useful_);
    double Wasted = milliseconds(Cost.Wasted_);
    Table.addRow({Name, std::to_string(Cost.Runs_),
                  std::to_string(Cost.Attempts_), std::to_string(Cost.Hedges_),
                  formatNumber(Useful / Runs, 2),
                  formatNumber(Wasted / Runs, 2),
                  formatPercent(divide(Wasted, Useful + Wasted))});
  }
  return Table.toString();
}

std::string BenchReport::refusalTable() const {
  if (Total_.refusals().empty())
    return "";
  TextTable Table({"outcome and type", "count"});
  for (const auto &[Type, Count] : Total_.refusals())
    Table.addRow({Type, std::to_string(Count)});
  return Table.toString();
}

std::string BenchReport::goalTable() const {
  if (Scenario_->Goals_.empty())
    return "";
  TextTable Table({"goal", "bound", "measured", "met"});
  for (const GoalResult &Result : goals())
    Table.addRow({Result.Goal_->Name_, describeBound(*Result.Goal_),
                  formatNumber(Result.Value_, 4), Result.Met_ ? "yes" : "no"});
  return Table.toString();
}

std::string BenchReport::toText() const {
  std::string Text = outcomeTable() + "\n" + stageTable();
  std::string Refusals = refusalTable();
  if (!Refusals.empty())
    Text += "\n" + Refusals;
  Text += "\ngoodput requests/s: " + formatNumber(goodput(""), 1);
  for (const BenchPhase &Phase : Scenario_->Phases_)
    Text += ", " + Phase.Name_ + " " + formatNumber(goodput(Phase.Name_), 1);
  if (Capacity_ > 0)
    Text += "; capacity " + formatNumber(Capacity_, 1) +
            ", share of it in work " + formatPercent(goodputShare(""));
  Text +=
      "\nextra attempts per stage run: " + formatPercent(Total_.extraShare()) +
      ", repeated by callers: " + std::to_string(Total_.callerRepeats()) + "\n";
  Text += "generator lateness ms: p50 " +
          formatNumber(computeQuantile(LatenessMs_, 0.5), 2) + ", p99 " +
          formatNumber(computeQuantile(LatenessMs_, 0.99), 2) + ", max " +
          formatNumber(computeQuantile(LatenessMs_, 1), 2) +
          (saturated() ? " -- SATURATED, latencies are not valid\n" : "\n");
  std::string Goals = goalTable();
  return Goals.empty() ? Text : Text + "\n" + Goals;
}

Json BenchReport::toJson() const {
  Json Body = {{"total", control::toJson(Total_)},
               {"phases", control::toJson(Phases_)},
               {"requests", control::toJson(Kinds_)},
               {"accounts", control::toJson(Accounts_)},
               {"refusals", Total_.refusals()},
               {"runs", Runs_},
               {"planned", PlannedRequests_},
               {"adds_up", addsUp()},
               {"goodput", goodput("")},
               {"extra_share", control::toJson(Total_.extraShare())},
               {"stages", Json::object()},
               {"goals", Json::array()}};
  if (Capacity_ > 0) {
    Body["capacity"] = Capacity_;
    Body["goodput_share"] = control::toJson(goodputShare(""));
  }
  for (const BenchPhase &Phase : Scenario_->Phases_)
    if (phaseTally(Phase.Name_))
      Body["phases"][Phase.Name_]["goodput"] = goodput(Phase.Name_);
  for (const auto &[Name, Cost] : Total_.stages())
    Body["stages"][Name] = {{"runs", Cost.Runs_},
                            {"attempts", Cost.Attempts_},
                            {"hedges", Cost.Hedges_},
                            {"useful_us", Cost.Useful_.count()},
                            {"wasted_us", Cost.Wasted_.count()}};
  for (const GoalResult &Result : goals())
    Body["goals"].push_back({{"name", Result.Goal_->Name_},
                             {"value", control::toJson(Result.Value_)},
                             {"met", Result.Met_}});
  for (const auto &[Name, Fraction] :
       {std::pair("p50", 0.5), std::pair("p99", 0.99), std::pair("max", 1.0)})
    Body["lateness_ms"][Name] =
        control::toJson(computeQuantile(LatenessMs_, Fraction));
  Body["saturated"] = saturated();
  return Body;
}

std::string compareReports(const BenchReport &Policy,
                           const BenchReport &Baseline) {
  TextTable Table({"measure", "policy", "baseline", "policy / baseline"});
  auto AddMeasure = [&Table](const char *Name,
                             std::optional<double> PolicyValue,
                             std::optional<double> BaselineValue) {
    Table.addRow({Name, formatNumber(PolicyValue, 4),
                  formatNumber(BaselineValue, 4),
                  formatNumber(divide(PolicyValue, BaselineValue), 3)});
  };
  const BenchTally &PolicyTally = Policy.total();
  const BenchTally &BaselineTally = Baseline.total();
  AddMeasure("attainment of accepted", PolicyTally.attainment(),
             BaselineTally.attainment());
  AddMeasure("served", PolicyTally.served(), BaselineTally.served());
  AddMeasure("work share of capacity", Policy.goodputShare(""),
             Baseline.goodputShare(""));
  AddMeasure("goodput requests/s", Policy.goodput(""), Baseline.goodput(""));
  AddMeasure("short p50 ms", PolicyTally.quantile(0.5, BenchSize::Short),
             BaselineTally.quantile(0.5, BenchSize::Short));
  AddMeasure("short p99 ms", PolicyTally.quantile(0.99, BenchSize::Short),
             BaselineTally.quantile(0.99, BenchSize::Short));
  AddMeasure("long p50 ms", PolicyTally.quantile(0.5, BenchSize::Long),
             BaselineTally.quantile(0.5, BenchSize::Long));
  AddMeasure("long p99 ms", PolicyTally.quantile(0.99, BenchSize::Long),
             BaselineTally.quantile(0.99, BenchSize::Long));
  AddMeasure("extra attempts per stage run", PolicyTally.extraShare(),
             BaselineTally.extraShare());
  return Table.toString();
}

} // namespace amaranth::control
