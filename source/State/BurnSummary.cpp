#include "State/BurnSummary.h"

#include "State/TextTable.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdio>

namespace amaranth::state {

namespace {

using nlohmann::json;

json toJsonValue(const BurnWindow &Window) {
  return {{"accepted", Window.Accepted_},
          {"missed", Window.Missed_},
          {"refused", Window.Refused_},
          {"attainment", Window.Attainment_},
          {"burn_rate", Window.BurnRate_}};
}

json toJsonValue(const BurnRow &Row) {
  json Stages = json::array();
  for (const StageBurn &Stage : Row.Stages_)
    Stages.push_back({{"stage", Stage.Stage_},
                      {"budget_share", Stage.BudgetShare_},
                      {"over_share_ms", Stage.TimeOverShare_.count()}});
  json History = json::array();
  for (const BurnPoint &Point : Row.History_)
    History.push_back(
        {{"accepted", Point.Accepted_}, {"missed", Point.Missed_}});
  json MinutesToExhaustion;
  if (Row.MinutesToExhaustion_)
    MinutesToExhaustion = *Row.MinutesToExhaustion_;
  return {{"service", Row.Service_},
          {"account", Row.Account_},
          {"objective",
           {{"attainment", Row.Objective_.Attainment_},
            {"short_p99_ms", Row.Objective_.ShortP99_.count()}}},
          {"short_window", toJsonValue(Row.ShortWindowBurn_)},
          {"long_window", toJsonValue(Row.LongWindowBurn_)},
          {"short_requests",
           {{"answered", Row.ShortRequests_.Answered_},
            {"over", Row.ShortRequests_.OverObjective_},
            {"burn_rate", Row.ShortRequests_.BurnRate_}}},
          {"minutes_to_exhaustion", MinutesToExhaustion},
          {"stages", Stages},
          {"history", History}};
}

BurnWindow readWindow(const json &Value) {
  BurnWindow Window;
  Value.at("accepted").get_to(Window.Accepted_);
  Value.at("missed").get_to(Window.Missed_);
  Value.at("refused").get_to(Window.Refused_);
  Value.at("attainment").get_to(Window.Attainment_);
  Value.at("burn_rate").get_to(Window.BurnRate_);
  return Window;
}

Milliseconds readMilliseconds(const json &Value) {
  return Milliseconds{Value.get<std::int64_t>()};
}

void readStagesAndHistory(const json &Value, BurnRow &Row) {
  for (const json &Entry : Value.at("stages")) {
    StageBurn Stage;
    Entry.at("stage").get_to(Stage.Stage_);
    Entry.at("budget_share").get_to(Stage.BudgetShare_);
    Stage.TimeOverShare_ = readMilliseconds(Entry.at("over_share_ms"));
    Row.Stages_.push_back(std::move(Stage));
  }
  for (const json &Entry : Value.at("history"))
    Row.History_.push_back({Entry.at("accepted").get<std::uint64_t>(),
                            Entry.at("missed").get<std::uint64_t>()});
}

BurnRow readRow(const json &Value) {
  BurnRow Row;
  Value.at("service").get_to(Row.Service_);
  Value.at("account").get_to(Row.Account_);
  const json &Goal = Value.at("objective");
  Goal.at("attainment").get_to(Row.Objective_.Attainment_);
  Row.Objective_.ShortP99_ = readMilliseconds(Goal.at("short_p99_ms"));
  Row.ShortWindowBurn_ = readWindow(Value.at("short_window"));
  Row.LongWindowBurn_ = readWindow(Value.at("long_window"));
  const json &ShortRequests = Value.at("short_requests");
  ShortRequests.at("answered").get_to(Row.ShortRequests_.Answered_);
  ShortRequests.at("over").get_to(Row.ShortRequests_.OverObjective_);
  ShortRequests.at("burn_rate").get_to(Row.ShortRequests_.BurnRate_);
  const json &MinutesToExhaustion = Value.at("minutes_to_exhaustion");
  if (!MinutesToExhaustion.is_null())
    Row.MinutesToExhaustion_ = MinutesToExhaustion.get<double>();
  readStagesAndHistory(Value, Row);
  return Row;
}

std::string formatFixed(double Value, int Decimals) {
  constexpr std::size_t MaxNumberChars = 64;
  char Buffer[MaxNumberChars];
  std::snprintf(Buffer, sizeof(Buffer), "%.*f", Decimals, Value);
  return Buffer;
}

std::string formatPercent(double Share) {
  return formatFixed(Share * 100, 2) + " %";
}

std::string describeLargestStage(const BurnRow &Row) {
  if (Row.Stages_.empty())
    return "-";
  const StageBurn &Largest = Row.Stages_.front();
  return Largest.Stage_ + " (" + formatFixed(Largest.BudgetShare_ * 100, 0) +
         " %, " + std::to_string(Largest.TimeOverShare_.count()) + " ms over)";
}

} // namespace

std::string toJson(const BurnSummary &Summary) {
  json Rows = json::array();
  for (const BurnRow &Row : Summary.Rows_)
    Rows.push_back(toJsonValue(Row));
  json Value = {{"host", Summary.Host_},
                {"created_at_ms", Summary.CreatedAt_.count()},
                {"short_window_s", Summary.ShortWindow_.count()},
                {"long_window_s", Summary.LongWindow_.count()},
                {"slot_s", Summary.SlotLength_.count()},
                {"rows", Rows}};
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<BurnSummary> parseBurnSummary(std::string_view Json) {
  // The JSON library reports syntax errors and missing or wrong fields as
  // exceptions.
  try {
    json Value = json::parse(Json);
    BurnSummary Summary;
    Value.at("host").get_to(Summary.Host_);
    Summary.CreatedAt_ = readMilliseconds(Value.at("created_at_ms"));
    Summary.ShortWindow_ =
        Seconds{Value.at("short_window_s").get<std::int64_t>()};
    Summary.LongWindow_ =
        Seconds{Value.at("long_window_s").get<std::int64_t>()};
    Summary.SlotLength_ = Seconds{Value.at("slot_s").get<std::int64_t>()};
    for (const json &Row : Value.at("rows"))
      Summary.Rows_.push_back(readRow(Row));
    return Summary;
  } catch (const json::exception &Failure) {
    return fail(ErrorCode::CorruptData,
                std::string("not a burn report: ") + Failure.what());
  }
}

std::string describeExhaustion(const BurnRow &Row) {
  if (!Row.MinutesToExhaustion_)
    return "-";
  if (*Row.MinutesToExhaustion_ <= 0)
    return "now";
  return formatFixed(*Row.MinutesToExhaustion_, 0) + " min";
}

std::string toTable(const BurnSummary &Summary) {
  TextTable Table({"SERVICE", "ACCOUNT", "OBJECTIVE", "ACCEPTED", "REFUSED",
                   "ATTAINMENT", "BURN 5 MIN", "BURN 1 H", "SHORT BURN",
                   "EXHAUSTED IN", "SPENT BY"});
  for (const BurnRow &Row : Summary.Rows_)
    Table.addRow({Row.Service_, Row.Account_,
                  formatPercent(Row.Objective_.Attainment_),
                  std::to_string(Row.LongWindowBurn_.Accepted_),
                  std::to_string(Row.LongWindowBurn_.Refused_),
                  formatPercent(Row.LongWindowBurn_.Attainment_),
                  formatFixed(Row.ShortWindowBurn_.BurnRate_, 2),
                  formatFixed(Row.LongWindowBurn_.BurnRate_, 2),
                  formatFixed(Row.ShortRequests_.BurnRate_, 2),
                  describeExhaustion(Row), describeLargestStage(Row)});
  return Table.toString();
}

} // namespace amaranth::state
