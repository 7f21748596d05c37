#include "Control/BenchReport.h"

#include "Control/BenchVerifier.h"
#include "Support/Digest.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace amaranth;
using namespace amaranth::control;

namespace {

/// Makes records for a scenario with a phase of 10 s and one of 5 s.
class ReportFixture {
protected:
  ReportFixture() {
    Scenario_.Accounts_ = {{"a", 1}, {"b", 1}};
    Scenario_.Phases_.resize(2);
    Scenario_.Phases_[0].Name_ = "first";
    Scenario_.Phases_[0].Duration_ = Seconds{10};
    Scenario_.Phases_[1].Name_ = "second";
    Scenario_.Phases_[1].Duration_ = Seconds{5};
    Scenario_.Kinds_.resize(2);
    Scenario_.Kinds_[0].Name_ = "question";
    Scenario_.Kinds_[1].Name_ = "guide";
    Scenario_.Kinds_[1].Size_ = BenchSize::Long;
  }

  BenchRecord record(BenchOutcome Outcome, int LatencyMs = 10,
                     std::size_t Phase = 0, const std::string &Account = "a",
                     std::size_t Kind = 0) {
    PlannedRequest Request;
    Request.PhaseIndex_ = Phase;
    Request.KindIndex_ = Kind;
    Request.Account_ = Account;
    Request.Input_ = "input";
    Request.MaxTokens_ = 1;
    Requests_.push_back(Request);
    BenchRecord Record;
    Record.Request_ = &Requests_.back();
    Record.Outcome_ = Outcome;
    Record.Latency_ = Milliseconds{LatencyMs};
    Record.Attempts_ = 1;
    return Record;
  }

  BenchScenario Scenario_;
  std::deque<PlannedRequest> Requests_;
};

} // namespace

// Guards against a request that is missing from the table or counted twice.
TEST_CASE_METHOD(ReportFixture, "A table adds up only if nothing is missing") {
  BenchReport Report(Scenario_, 100);
  for (BenchOutcome Outcome : AllBenchOutcomes)
    Report.add(record(Outcome));
  Report.finishRun(AllBenchOutcomes.size());
  CHECK(Report.addsUp());

  BenchReport Missing(Scenario_, 100);
  Missing.add(record(BenchOutcome::InTime));
  Missing.finishRun(2);
  CHECK_FALSE(Missing.addsUp());

  BenchReport Duplicate(Scenario_, 100);
  Duplicate.add(record(BenchOutcome::InTime));
  Duplicate.add(record(BenchOutcome::InTime));
  Duplicate.finishRun(1);
  CHECK_FALSE(Duplicate.addsUp());
}

// Guards against refusals that lower the attainment of accepted requests, and
// against late answers that raise it.
TEST_CASE_METHOD(ReportFixture, "Attainment counts accepted requests only") {
  BenchReport Report(Scenario_, 100);
  for (int I = 0; I < 3; ++I)
    Report.add(record(BenchOutcome::InTime));
  Report.add(record(BenchOutcome::Late));
  Report.add(record(BenchOutcome::NotRun));
  CHECK(Report.total().attainment() == 0.75);
  CHECK(Report.total().served() == 0.6);
  BenchReport Refused(Scenario_, 100);
  Refused.add(record(BenchOutcome::NotRun));
  CHECK_FALSE(Refused.total().attainment());
}

// Guards against dividing goodput by the wrong duration, also after several
// runs.
TEST_CASE_METHOD(ReportFixture, "Goodput is per second over all runs") {
  BenchReport Report(Scenario_, 100);
  for (int I = 0; I < 30; ++I)
    Report.add(record(BenchOutcome::InTime, 10, I < 20 ? 0 : 1));
  Report.add(record(BenchOutcome::Late));
  Report.finishRun(31);
  CHECK(Report.goodput("") == Approx(2));
  CHECK(Report.goodput("first") == Approx(2));
  BenchReport Twice(Scenario_, 100);
  Twice.merge(Report);
  Twice.merge(Report);
  CHECK(Twice.goodput("second") == Approx(2));
  CHECK(Twice.addsUp());
}

// Guards against a high goodput share for an overloaded fleet that answers the
// cheap requests of the mix and drops the costly ones.
TEST_CASE_METHOD(ReportFixture,
                 "The goodput share is counted in output tokens") {
  Scenario_.Kinds_[0].Tokens_ = {2, 2};
  Scenario_.Kinds_[1].Tokens_ = {38, 38};
  BenchReport Report(Scenario_, 1);
  for (int I = 0; I < 15; ++I) {
    BenchRecord Cheap = record(BenchOutcome::InTime);
    Cheap.Answer_.Tokens_ = 2;
    Report.add(Cheap);
    Report.add(record(BenchOutcome::Failed, 10, 0, "a", 1));
  }
  // The capacity is 1 request/s of 20 tokens for 15 s; 30 tokens were answered.
  CHECK(Report.goodputShare("") == Approx(0.1));
  CHECK_FALSE(BenchReport(Scenario_, 0).goodputShare(""));
}

// Guards against quantiles that mix short and long requests or are off by one.
TEST_CASE_METHOD(ReportFixture, "Quantiles are exact and by size") {
  BenchReport Report(Scenario_, 100);
  for (int I = 1; I <= 100; ++I)
    Report.add(record(BenchOutcome::InTime, I));
  Report.add(record(BenchOutcome::InTime, 5000, 0, "a", 1));
  CHECK(Report.total().quantile(0.5, BenchSize::Short) == 50.0);
  CHECK(Report.total().quantile(0.99, BenchSize::Short) == 99.0);
  CHECK(Report.total().quantile(0.99, BenchSize::Long) == 5000.0);
  CHECK_FALSE(computeQuantile({}, 0.5));
  CHECK(computeQuantile({7}, 0) == 7.0);
}

// Guards against a goal that is reported as met without a measurement, or that
// is measured on the wrong phase or account.
TEST_CASE_METHOD(ReportFixture, "Goals compare the phases that they name") {
  BenchGoal Ratio;
  Ratio.Name_ = "ratio";
  Ratio.Measure_ = BenchMeasure::P99Short;
  Ratio.Phase_ = "second";
  Ratio.Reference_ = "first";
  Ratio.Relation_ = BenchRelation::Ratio;
  Ratio.AtMost_ = 1.3;
  BenchGoal Small;
  Small.Name_ = "small account";
  Small.Account_ = "b";
  Small.Phase_ = "second";
  Small.AtLeast_ = 0.5;
  BenchGoal Unmeasured = Small;
  Unmeasured.Account_ = "c";
  Scenario_.Goals_ = {Ratio, Small, Unmeasured};
  BenchReport Report(Scenario_, 100);
  Report.add(record(BenchOutcome::InTime, 100, 0));
  Report.add(record(BenchOutcome::InTime, 140, 1));
  Report.add(record(BenchOutcome::InTime, 140, 1, "b"));
  std::vector<GoalResult> Goals = Report.goals();
  REQUIRE(Goals.size() == 3);
  CHECK(*Goals[0].Value_ == Approx(1.4));
  CHECK_FALSE(Goals[0].Met_);
  CHECK(Goals[1].Value_ == 1.0);
  CHECK(Goals[1].Met_);
  CHECK_FALSE(Goals[2].Value_);
  CHECK_FALSE(Goals[2].Met_);
}

// Guards against trusting figures from a generator that fell behind schedule.
TEST_CASE_METHOD(ReportFixture, "A late generator is reported") {
  BenchReport Report(Scenario_, 100);
  BenchRecord OnTime = record(BenchOutcome::InTime);
  OnTime.Lateness_ = Microseconds{200};
  Report.add(OnTime);
  CHECK_FALSE(Report.saturated());
  BenchRecord Late = record(BenchOutcome::InTime);
  Late.Lateness_ = Milliseconds{300};
  Report.add(Late);
  CHECK(Report.saturated());
  CHECK(Report.toText().find("SATURATED") != std::string::npos);
}

// Guards against accepting an answer that belongs to another request.
TEST_CASE_METHOD(ReportFixture, "Answers to other requests are found") {
  BenchRequestKind Kind;
  Kind.Service_ = "questions";
  BenchRecord First = record(BenchOutcome::InTime);
  First.Answer_.Kind_ = AnswerKind::Complete;
  First.Answer_.Output_ = sha256Hex("input").substr(0, 12);
  First.Answer_.Tokens_ = 1;

  BenchVerifier Verifier;
  Verifier.check(Kind, First);
  Kind.Direct_ = true;
  Verifier.check(Kind, First);
  CHECK(Verifier.faults().empty());

  BenchRecord Swapped = First;
  PlannedRequest Other = *First.Request_;
  Other.Input_ = "another input";
  Swapped.Request_ = &Other;
  Kind.Direct_ = false;
  Verifier.check(Kind, Swapped);
  CHECK(Verifier.faults().size() == 1);

  BenchRecord Short = First;
  Short.Answer_.Tokens_ = 0;
  Verifier.check(Kind, Short);
  CHECK(Verifier.faults().size() == 2);

  Kind.Call_ = "place";
  BenchRecord Order = First;
  Order.OrderId_ = "1";
  Order.Answer_.ResultCall_ = "place";
  Order.Answer_.ResultOrderId_ = "2";
  Verifier.check(Kind, Order);
  CHECK(Verifier.faults().size() == 3);
}
