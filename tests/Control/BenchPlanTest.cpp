#include "Control/BenchPlan.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <set>

using namespace amaranth;
using namespace amaranth::control;

namespace {

BenchScenario makeScenario() {
  BenchScenario Scenario;
  Scenario.Accounts_ = {{"large", 3}, {"small", 1}};
  BenchPhase Calm;
  Calm.Name_ = "calm";
  Calm.Duration_ = Seconds{100};
  Calm.Rate_ = 50;
  BenchPhase Peak;
  Peak.Name_ = "peak";
  Peak.Duration_ = Seconds{10};
  Peak.Load_ = 3;
  Scenario.Phases_ = {Calm, Peak};
  BenchRequestKind Question;
  Question.Name_ = "question";
  Question.Words_ = {1, 100};
  Question.Tokens_ = {1, 64};
  Scenario.Kinds_ = {Question};
  return Scenario;
}

std::vector<PlannedRequest>
requestsOfKind(const std::vector<PlannedRequest> &Plan, std::size_t Kind) {
  std::vector<PlannedRequest> Selected;
  for (const PlannedRequest &Request : Plan)
    if (Request.KindIndex_ == Kind)
      Selected.push_back(Request);
  return Selected;
}

} // namespace

// Guards against comparing two fleets under different loads.
TEST_CASE("Equal seeds give equal plans, other seeds give other plans") {
  BenchScenario Scenario = makeScenario();
  auto First = planRequests(Scenario, 100, 7);
  auto Second = planRequests(Scenario, 100, 7);
  auto Other = planRequests(Scenario, 100, 8);
  REQUIRE(First.size() == Second.size());
  for (std::size_t I = 0; I < First.size(); ++I) {
    REQUIRE(First[I].Offset_ == Second[I].Offset_);
    REQUIRE(First[I].Input_ == Second[I].Input_);
    REQUIRE(First[I].MaxTokens_ == Second[I].MaxTokens_);
    REQUIRE(First[I].Account_ == Second[I].Account_);
  }
  CHECK(First.front().Offset_ != Other.front().Offset_);
}

// Guards against a wrong rate and against arrivals that are too regular: the
// gaps of a Poisson process have a standard deviation equal to their mean.
TEST_CASE("Arrivals are a Poisson process at the rate of their phase") {
  auto Plan = planRequests(makeScenario(), 100, 3);
  std::vector<double> Gaps;
  std::size_t Peak = 0;
  for (std::size_t I = 0; I < Plan.size(); ++I) {
    Peak += Plan[I].PhaseIndex_ == 1 ? 1 : 0;
    CHECK((Plan[I].PhaseIndex_ == 1) == (Plan[I].Offset_ >= Seconds{100}));
    if (I > 0 && Plan[I].PhaseIndex_ == 0)
      Gaps.push_back(
          std::chrono::duration<double>(Plan[I].Offset_ - Plan[I - 1].Offset_)
              .count());
  }
  double Sum = 0;
  double Squares = 0;
  for (double Gap : Gaps) {
    Sum += Gap;
    Squares += Gap * Gap;
  }
  double Mean = Sum / static_cast<double>(Gaps.size());
  double Deviation =
      std::sqrt(Squares / static_cast<double>(Gaps.size()) - Mean * Mean);
  CHECK(Mean == Approx(1.0 / 50).epsilon(0.06));
  CHECK(Deviation == Approx(Mean).epsilon(0.1));
  CHECK(static_cast<double>(Peak) == Approx(3000).epsilon(0.06));
}

// Guards against a change of one kind that also changes the others: short
// requests with and without long ones beside them could not be compared.
TEST_CASE("An additional kind does not change the requests of the others") {
  BenchScenario Scenario = makeScenario();
  auto Alone = planRequests(Scenario, 100, 3);
  BenchRequestKind Long = Scenario.Kinds_[0];
  Long.Name_ = "guide";
  Scenario.Kinds_.push_back(Long);
  auto WithLong = requestsOfKind(planRequests(Scenario, 100, 3), 0);
  REQUIRE(WithLong.size() == Alone.size());
  for (std::size_t I = 0; I < Alone.size(); ++I)
    REQUIRE(WithLong[I].Offset_ == Alone[I].Offset_);
}

// Guards against equal inputs, which would hide answers to the wrong request,
// and against lengths outside their bounds.
TEST_CASE("Inputs are unique and lengths within bounds") {
  auto Plan = planRequests(makeScenario(), 100, 3);
  std::set<std::string> Inputs;
  std::size_t Large = 0;
  double Tokens = 0;
  for (const PlannedRequest &Request : Plan) {
    Inputs.insert(Request.Input_);
    REQUIRE(Request.MaxTokens_ >= 1);
    REQUIRE(Request.MaxTokens_ <= 64);
    Tokens += Request.MaxTokens_;
    Large += Request.Account_ == "large" ? 1 : 0;
  }
  double Size = static_cast<double>(Plan.size());
  CHECK(Inputs.size() == Plan.size());
  CHECK(static_cast<double>(Large) / Size == Approx(0.75).epsilon(0.05));
  // The capacity is computed from meanLength(), so the draws must have that
  // mean.
  CHECK(Tokens / Size == Approx(meanLength({1, 64})).epsilon(0.05));
}
