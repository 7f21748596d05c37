#include "State/BurnReport.h"

#include "State/BurnPage.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace amaranth;
using namespace amaranth::state;

namespace {

constexpr SteadyTime Start{Seconds{360000}};

FinishedRequest makeRequest(RequestResult Result, SteadyTime FinishedAt) {
  FinishedRequest Request;
  Request.Service_ = "guides";
  Request.Account_ = "shop";
  Request.Result_ = Result;
  Request.Deadline_ = Milliseconds{1000};
  Request.Elapsed_ = Milliseconds{400};
  Request.Stages_ = {{"encode", Milliseconds{100}},
                     {"generate", Milliseconds{300}}};
  Request.FinishedAt_ = FinishedAt;
  return Request;
}

void recordMany(BurnReport &Report, int Count, const FinishedRequest &Request) {
  for (int Index = 0; Index < Count; ++Index)
    Report.record(Request);
}

const BurnRow &findRow(const BurnSummary &Summary, const std::string &Account) {
  auto Found = std::find_if(
      Summary.Rows_.begin(), Summary.Rows_.end(),
      [&](const BurnRow &Candidate) { return Candidate.Account_ == Account; });
  REQUIRE(Found != Summary.Rows_.end());
  return *Found;
}

} // namespace

// Guards against burn rates computed over the wrong window, and against refused
// requests counted as missed.
TEST_CASE("burn rates follow the misses within each window") {
  BurnReport Report({});
  Report.setObjective("guides", {0.99, Milliseconds{500}});
  recordMany(Report, 980, makeRequest(RequestResult::InTime, Start));
  recordMany(Report, 20, makeRequest(RequestResult::Late, Start));
  recordMany(Report, 50, makeRequest(RequestResult::Refused, Start));
  SteadyTime Later = Start + Seconds{1800};
  recordMany(Report, 995, makeRequest(RequestResult::InTime, Later));
  recordMany(Report, 5, makeRequest(RequestResult::Failed, Later));
  for (const char *Account : {"shop", "(all)"}) {
    BurnRow Row = findRow(Report.summary(Later), Account);
    CHECK(Row.LongWindowBurn_.Accepted_ == 2000);
    CHECK(Row.LongWindowBurn_.Missed_ == 25);
    CHECK(Row.LongWindowBurn_.Refused_ == 50);
    CHECK(Row.LongWindowBurn_.BurnRate_ == Approx(1.25));
    CHECK(Row.ShortWindowBurn_.Accepted_ == 1000);
    CHECK(Row.ShortWindowBurn_.BurnRate_ == Approx(0.5));
    // 61 of 120 slots are covered.
    REQUIRE(Row.MinutesToExhaustion_);
    CHECK(*Row.MinutesToExhaustion_ ==
          Approx((1 - 1.25 * 61 / 120) * 60 / 0.5));
    CHECK(Row.History_.size() == 120);
  }
  // The budget stays spent while the first misses are in the long window.
  BurnRow Exhausted = findRow(Report.summary(Later + Seconds{1700}), "shop");
  CHECK(Exhausted.ShortWindowBurn_.BurnRate_ == 0);
  CHECK(Exhausted.MinutesToExhaustion_ == 0);
  BurnRow Recovered = findRow(Report.summary(Later + Seconds{1900}), "shop");
  CHECK(Recovered.LongWindowBurn_.BurnRate_ == Approx(0.5));
  CHECK_FALSE(Recovered.MinutesToExhaustion_);
  CHECK(Report.summary(Later + Seconds{3700}).Rows_.empty());
}

// Guards against charging the longest stage instead of the one that was slower
// than its average.
TEST_CASE("the stage over its share spends the budget") {
  BurnReport Report({});
  recordMany(Report, 100, makeRequest(RequestResult::InTime, Start));
  FinishedRequest Late = makeRequest(RequestResult::Late, Start);
  Late.Elapsed_ = Milliseconds{1200};
  Late.Stages_[0].Elapsed_ = Milliseconds{600};
  Late.Stages_[1].Elapsed_ = Milliseconds{600};
  recordMany(Report, 3, Late);
  FinishedRequest Failed = makeRequest(RequestResult::Failed, Start);
  Failed.FailedStage_ = "generate";
  Report.record(Failed);
  BurnRow Row = findRow(Report.summary(Start), "shop");
  REQUIRE(Row.Stages_.size() == 2);
  CHECK(Row.Stages_[0].Stage_ == "encode");
  CHECK(Row.Stages_[0].BudgetShare_ == Approx(0.75));
  // Its share of the deadline is 250 ms, as it takes a quarter of the average
  // request.
  CHECK(Row.Stages_[0].TimeOverShare_ == Milliseconds{3 * 350});
  CHECK(Row.Stages_[1].Stage_ == "generate");
  CHECK(Row.Stages_[1].BudgetShare_ == Approx(0.25));
}

// Guards against missed requests that are charged to no stage because the time
// was spent outside all stages.
TEST_CASE("waiting outside the stages is charged as such") {
  BurnReport Report({});
  FinishedRequest Late = makeRequest(RequestResult::Late, Start);
  Late.Elapsed_ = Milliseconds{1500};
  Report.record(Late);
  BurnRow Row = findRow(Report.summary(Start), "shop");
  REQUIRE(Row.Stages_.size() == 1);
  CHECK(Row.Stages_[0].Stage_ == "(outside stages)");
  CHECK(Row.Stages_[0].BudgetShare_ == Approx(1));
}

// Guards against short requests that exceed the p99 objective but are not
// reported because they meet the deadline.
TEST_CASE("short requests burn against the p99 objective") {
  BurnReport Report({});
  Report.setObjective("guides", {0.99, Milliseconds{300}});
  FinishedRequest Short = makeRequest(RequestResult::InTime, Start);
  Short.Short_ = true;
  recordMany(Report, 10, Short);
  Short.Elapsed_ = Milliseconds{200};
  recordMany(Report, 490, Short);
  BurnRow Row = findRow(Report.summary(Start), "shop");
  CHECK(Row.ShortRequests_.Answered_ == 500);
  CHECK(Row.ShortRequests_.OverObjective_ == 10);
  CHECK(Row.ShortRequests_.BurnRate_ == Approx(2));
}

// Guards against memory that grows with the number of accounts or stages.
TEST_CASE("accounts beyond the limit share a row until others are idle") {
  BurnReport Report({.MaxSeries_ = 4});
  for (int Index = 0; Index < 10; ++Index) {
    FinishedRequest Request = makeRequest(RequestResult::Late, Start);
    Request.Account_ = "a" + std::to_string(Index);
    for (int Stage = 0; Stage < 40; ++Stage)
      Request.Stages_.push_back(
          {"s" + std::to_string(Stage), Milliseconds{5000}});
    Report.record(Request);
  }
  BurnSummary Summary = Report.summary(Start);
  CHECK(Summary.Rows_.size() == 5);
  CHECK(findRow(Summary, "(other)").LongWindowBurn_.Accepted_ == 7);
  CHECK(findRow(Summary, "a0").Stages_.size() <= 24);
  FinishedRequest Request =
      makeRequest(RequestResult::InTime, Start + Seconds{4000});
  Request.Account_ = "a9";
  Report.record(Request);
  CHECK(findRow(Report.summary(Request.FinishedAt_), "a9")
            .LongWindowBurn_.Accepted_ == 1);
}

// Guards against a command line that shows other figures than the daemon sent,
// and against names whose markup is interpreted in the page.
TEST_CASE("the report survives JSON and is escaped in the page") {
  BurnReport Report({.Host_ = "<host&>"});
  recordMany(Report, 2, makeRequest(RequestResult::Late, Start));
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
  for (const char *Malformed : {"", "[]", "{\"host\":1}"})
    CHECK_FALSE(capture([&] { return parseBurnSummary(Malformed); }));
}
