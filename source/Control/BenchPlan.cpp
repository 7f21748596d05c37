#include "Control/BenchPlan.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace amaranth::control {

namespace {

constexpr std::array<const char *, 8> Vocabulary = {
    "walnut", "varnish", "hinge", "lamp", "verse", "garden", "river", "letter"};

/// Random values that are the same with every standard library. The standard
/// fixes the sequence of the engine, but not the algorithms of its
/// distributions.
class PlanRandom final {
public:
  explicit PlanRandom(std::uint64_t Seed) : Engine_(Seed) {}

  /// Uniform in (0, 1].
  double uniform() {
    constexpr int Bits = 53;
    return static_cast<double>((Engine_() >> (64 - Bits)) + 1) *
           std::ldexp(1.0, -Bits);
  }

  std::size_t uniformIndex(std::size_t Count) { return Engine_() % Count; }

  double exponential(double Rate) { return -std::log(uniform()) / Rate; }

  int logUniformLength(const BenchLength &Range) {
    double Low = std::log(Range.Minimum_);
    double High = std::log(Range.Maximum_ + 1.0);
    int Drawn = static_cast<int>(std::exp(Low + (High - Low) * uniform()));
    return std::clamp(Drawn, Range.Minimum_, Range.Maximum_);
  }

private:
  std::mt19937_64 Engine_;
};

/// Derives a distinct seed for each kind in each phase.
std::uint64_t deriveSeed(std::uint64_t Seed, std::size_t Phase,
                         std::size_t Kind) {
  std::uint64_t Mixed = Seed * 0x9E3779B97F4A7C15ULL;
  Mixed ^= (Phase + 1) * 0xBF58476D1CE4E5B9ULL;
  Mixed ^= (Kind + 1) * 0x94D049BB133111EBULL;
  return Mixed;
}

bool isActive(const BenchRequestKind &Kind, const BenchPhase &Phase) {
  return Kind.Phases_.empty() ||
         std::find(Kind.Phases_.begin(), Kind.Phases_.end(), Phase.Name_) !=
             Kind.Phases_.end();
}

bool isSentBy(const BenchRequestKind &Kind, const BenchAccount &Account) {
  return Kind.Accounts_.empty() ||
         std::find(Kind.Accounts_.begin(), Kind.Accounts_.end(),
                   Account.Name_) != Kind.Accounts_.end();
}

std::string drawWords(PlanRandom &Random, int Count) {
  std::string Text;
  for (int I = 0; I < Count; ++I)
    Text.append(I == 0 ? "" : " ")
        .append(Vocabulary[Random.uniformIndex(Vocabulary.size())]);
  return Text;
}

/// Draws the requests of one kind in one phase and appends them to a plan.
class KindPlanner final {
public:
  KindPlanner(const BenchScenario &Scenario, std::uint64_t Seed,
              std::vector<PlannedRequest> &Plan)
      : Scenario_(Scenario), Seed_(Seed), Plan_(Plan) {}

  void addArrivals(std::size_t PhaseIndex, std::size_t KindIndex,
                   Microseconds Start, double Rate) {
    PlanRandom Random(deriveSeed(Seed_, PhaseIndex, KindIndex));
    double End =
        std::chrono::duration<double>(Scenario_.Phases_[PhaseIndex].Duration_)
            .count();
    for (double Arrival = Random.exponential(Rate); Arrival < End;
         Arrival += Random.exponential(Rate))
      Plan_.push_back(
          drawRequest(Random, PhaseIndex, KindIndex,
                      Start + Microseconds{std::llround(Arrival * 1e6)}));
  }

private:
  PlannedRequest drawRequest(PlanRandom &Random, std::size_t PhaseIndex,
                             std::size_t KindIndex, Microseconds Offset) const {
    const BenchRequestKind &Kind = Scenario_.Kinds_[KindIndex];
    PlannedRequest Request;
    Request.Offset_ = Offset;
    Request.PhaseIndex_ = PhaseIndex;
    Request.KindIndex_ = KindIndex;
    Request.Account_ = drawAccount(Random, Kind);
    Request.CallerIndex_ = static_cast<int>(Random.uniformIndex(
        static_cast<std::size_t>(Scenario_.CallersPerAccount_)));
    if (Kind.Call_.empty()) {
      Request.Input_ = drawWords(Random, Random.logUniformLength(Kind.Words_));
      Request.MaxTokens_ = Random.logUniformLength(Kind.Tokens_);
    }
    return Request;
  }

  /// Draws one of the accounts that send the kind, by weight.
  const std::string &drawAccount(PlanRandom &Random,
                                 const BenchRequestKind &Kind) const {
    std::vector<const BenchAccount *> Senders;
    double Sum = 0;
    for (const BenchAccount &Account : Scenario_.Accounts_)
      if (isSentBy(Kind, Account)) {
        Senders.push_back(&Account);
        Sum += Account.Weight_;
      }
    double Drawn = Random.uniform() * Sum;
    for (const BenchAccount *Account : Senders) {
      Drawn -= Account->Weight_;
      if (Drawn <= 0)
        return Account->Name_;
    }
    return Senders.back()->Name_;
  }

  const BenchScenario &Scenario_;
  std::uint64_t Seed_;
  std::vector<PlannedRequest> &Plan_;
};

void numberRequests(std::vector<PlannedRequest> &Plan, std::uint64_t Seed) {
  int NextNumber = 0;
  for (PlannedRequest &Request : Plan) {
    Request.Number_ = NextNumber++;
    // Unique inputs reveal an answer that belongs to another request.
    if (Request.MaxTokens_ > 0)
      Request.Input_ = std::to_string(Seed) + "-" +
                       std::to_string(Request.Number_) + " " + Request.Input_;
  }
}

} // namespace

std::vector<PlannedRequest> planRequests(const BenchScenario &Scenario,
                                         double Capacity, std::uint64_t Seed) {
  std::vector<PlannedRequest> Plan;
  KindPlanner Planner(Scenario, Seed, Plan);
  Microseconds Start{0};
  for (std::size_t P = 0; P < Scenario.Phases_.size(); ++P) {
    const BenchPhase &Phase = Scenario.Phases_[P];
    double PhaseRate = Phase.Load_ > 0 ? Phase.Load_ * Capacity : Phase.Rate_;
    for (std::size_t K = 0; K < Scenario.Kinds_.size(); ++K)
      if (isActive(Scenario.Kinds_[K], Phase) && PhaseRate > 0)
        Planner.addArrivals(P, K, Start, PhaseRate * Scenario.Kinds_[K].Share_);
    Start += Phase.Duration_;
  }
  std::stable_sort(Plan.begin(), Plan.end(),
                   [](const PlannedRequest &A, const PlannedRequest &B) {
                     return A.Offset_ < B.Offset_;
                   });
  numberRequests(Plan, Seed);
  return Plan;
}

std::vector<KindDemand> computeDemand(const BenchScenario &Scenario) {
  double Sum = 0;
  for (const BenchRequestKind &Kind : Scenario.Kinds_)
    Sum += Kind.Share_;
  std::vector<KindDemand> Demand;
  for (std::size_t K = 0; K < Scenario.Kinds_.size(); ++K) {
    const BenchRequestKind &Kind = Scenario.Kinds_[K];
    KindDemand Entry{K, Kind.Share_ / Sum};
    if (Kind.Call_.empty()) {
      Entry.MeanWords_ = meanLength(Kind.Words_);
      Entry.MeanTokens_ = meanLength(Kind.Tokens_);
    }
    Demand.push_back(Entry);
  }
  return Demand;
}

double meanLength(const BenchLength &Length) {
  if (Length.Minimum_ == Length.Maximum_)
    return Length.Minimum_;
  // Exact for the integer draw: the mean is the sum of the probabilities that
  // the length is at least L.
  double Low = std::log(Length.Minimum_);
  double High = std::log(Length.Maximum_ + 1.0);
  double Mean = Length.Minimum_;
  for (int L = Length.Minimum_ + 1; L <= Length.Maximum_; ++L)
    Mean += (High - std::log(L)) / (High - Low);
  return Mean;
}

} // namespace amaranth::control
