#include "State/BurnReport.h"

#include "State/BurnPage.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace amaranth;
using namespace amaranth::state;

namespace {

constexpr SteadyTime Start{Seconds{360000}};

FinishedRequest request(RequestResult Result, SteadyTime At) {
  FinishedRequest Request;
  Request.Service_ = "guides";
  Request.Account_ = "shop";
  Request.Result_ = Result;
  Request.Deadline_ = Milliseconds{1000};
  Request.Taken_ = Milliseconds{400};
  Request.Stages_ = {{"encode", Milliseconds{100}},
                     {"generate", Milliseconds{300}}};
  Request.FinishedAt_ = At;
  return Request;
}

void recordMany(BurnReport &Report, int Count, const FinishedRequest &Request) {
  for (int I = 0; I < Count; ++I)
    Report.record(Request);
}

const BurnRow &rowOf(const BurnSummary &Summary, const std::string &Account) {
  auto Found =
      std::find_if(Summary.Rows_.begin(), Summary.Rows_.end(),
                   [&](const BurnRow &R) { return R.Account_ == Account; });
  REQUIRE(Found != Summary.Rows_.end());
  return *Found;
}

} // namespace

// Guards against burn rates over the wrong window, and against refusals
// counted as misses.
TEST_CASE("burn rates follow the misses within each window") {
  BurnReport Report({});
  Report.setObjective("guides", {0.99, Milliseconds{500}});
  recordMany(Report, 980, request(RequestResult::InTime, Start));
  recordMany(Report, 20, request(RequestResult::Late, Start));
  recordMany(Report, 50, request(RequestResult::Refused, Start));
  SteadyTime Later = Start + Seconds{1800};
  recordMany(Report, 995, request(RequestResult::InTime, Later));
  recordMany(Report, 5, request(RequestResult::Failed, Later));
  for (const char *Account : {"shop", "(all)"}) {
    BurnRow Row = rowOf(Report.summary(Later), Account);
    CHECK(Row.Long_.Accepted_ == 2000);
    CHECK(Row.Long_.Missed_ == 25);
    CHECK(Row.Long_.Refused_ == 50);
    CHECK(Row.Long_.BurnRate_ == Approx(1.25));
    CHECK(Row.Short_.Accepted_ == 1000);
    CHECK(Row.Short_.BurnRate_ == Approx(0.5));
    // 61 of 120 slots are covered.
    REQUIRE(Row.MinutesToExhaustion_);
    CHECK(*Row.MinutesToExhaustion_ ==
          Approx((1 - 1.25 * 61 / 120) * 60 / 0.5));
    CHECK(Row.History_.size() == 120);
  }
  // The budget is spent while the first misses are within the long window.
  BurnRow Spent = rowOf(Report.summary(Later + Seconds{1700}), "shop");
  CHECK(Spent.Short_.BurnRate_ == 0);
  CHECK(Spent.MinutesToExhaustion_ == 0);
  BurnRow Quiet = rowOf(Report.summary(Later + Seconds{1900}), "shop");
  CHECK(Quiet.Long_.BurnRate_ == Approx(0.5));
  CHECK_FALSE(Quiet.MinutesToExhaustion_);
  CHECK(Report.summary(Later + Seconds{3700}).Rows_.empty());
}

// Guards against blaming the longest stage instead of the one that was slower
// than usual.
TEST_CASE("the stage over its share spends the budget") {
  BurnReport Report({});
  recordMany(Report, 100, request(RequestResult::InTime, Start));
  FinishedRequest Late = request(RequestResult::Late, Start);
  Late.Taken_ = Milliseconds{1200};
  Late.Stages_[0].Taken_ = Milliseconds{600};
  Late.Stages_[1].Taken_ = Milliseconds{600};
  recordMany(Report, 3, Late);
  FinishedRequest Failed = request(RequestResult::Failed, Start);
  Failed.FailedStage_ = "generate";
  Report.record(Failed);
  BurnRow Row = rowOf(Report.summary(Start), "shop");
  REQUIRE(Row.Stages_.size() == 2);
  CHECK(Row.Stages_[0].Stage_ == "encode");
  CHECK(Row.Stages_[0].BudgetShare_ == Approx(0.75));
  // Its share of the deadline is 250 ms, as it usually takes a quarter.
  CHECK(Row.Stages_[0].OverShare_ == Milliseconds{3 * 350});
  CHECK(Row.Stages_[1].Stage_ == "generate");
  CHECK(Row.Stages_[1].BudgetShare_ == Approx(0.25));
}

// Guards against misses that no stage is charged with, when a request waited
// outside every stage.
TEST_CASE("waiting outside the stages is charged as such") {
  BurnReport Report({});
  FinishedRequest Late = request(RequestResult::Late, Start);
  Late.Taken_ = Milliseconds{1500};
  Report.record(Late);
  BurnRow Row = rowOf(Report.summary(Start), "shop");
  REQUIRE(Row.Stages_.size() == 1);
  CHECK(Row.Stages_[0].Stage_ == "(outside stages)");
  CHECK(Row.Stages_[0].BudgetShare_ == Approx(1));
}

// Guards against short requests over their objective that go unreported while
// the deadline is met.
TEST_CASE("short requests burn against the p99 objective") {
  BurnReport Report({});
  Report.setObjective("guides", {0.99, Milliseconds{300}});
  FinishedRequest Short = request(RequestResult::InTime, Start);
  Short.Short_ = true;
  recordMany(Report, 10, Short);
  Short.Taken_ = Milliseconds{200};
  recordMany(Report, 490, Short);
  BurnRow Row = rowOf(Report.summary(Start), "shop");
  CHECK(Row.ShortRequests_.Answered_ == 500);
  CHECK(Row.ShortRequests_.Over_ == 10);
  CHECK(Row.ShortRequests_.BurnRate_ == Approx(2));
}

// Guards against memory that grows with the number of accounts or stages.
TEST_CASE("accounts beyond the limit share a row until others are idle") {
  BurnReport Report({.MaxSeries_ = 4});
  for (int I = 0; I < 10; ++I) {
    FinishedRequest Request = request(RequestResult::Late, Start);
    Request.Account_ = "a" + std::to_string(I);
    for (int S = 0; S < 40; ++S)
      Request.Stages_.push_back({"s" + std::to_string(S), Milliseconds{5000}});
    Report.record(Request);
  }
  BurnSummary Summary = Report.summary(Start);
  CHECK(Summary.Rows_.size() == 5);
  CHECK(rowOf(Summary, "(other)").Long_.Accepted_ == 7);
  CHECK(rowOf(Summary, "a0").Stages_.size() <= 24);
  FinishedRequest Request =
      request(RequestResult::InTime, Start + Seconds{4000});
  Request.Account_ = "a9";
  Report.record(Request);
  CHECK(rowOf(Report.summary(Request.FinishedAt_), "a9").Long_.Accepted_ == 1);
}

// Guards against a command line that shows other numbers than the daemon sent,
// and against markup in names that takes effect in the page.
TEST_CASE("the report survives JSON and is escaped in the page") {
  BurnReport Report({.Host_ = "<host&>"});
  recordMany(Report, 2, request(RequestResult::Late, Start));
  BurnSummary Summary = Report.summary(Start);
  Expected<BurnSummary> Parsed =
      capture([&] { return parseBurnSummary(toJson(Summary)); });
  REQUIRE(Parsed);
  CHECK(toJson(*Parsed) == toJson(Summary));
  CHECK(toTable(*Parsed) == toTable(Summary));
  std::string Page = toHtml(*Parsed);
  CHECK(Page.find("<host") == std::string::npos);
  CHECK(Page.find("&lt;host&amp;&gt;") != std::string::npos);
  CHECK(Page.find("<svg") != std::string::npos);
  CHECK(Page.find("http") == std::string::npos);
  for (const char *Bad : {"", "[]", "{\"host\":1}"})
    CHECK_FALSE(capture([&] { return parseBurnSummary(Bad); }));
}
