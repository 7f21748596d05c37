#include "Control/BenchPlan.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace amaranth::control {

namespace {

constexpr std::array<const char *, 8> Words = {
    "walnut", "varnish", "hinge", "lamp", "verse", "garden", "river", "letter"};

/// Random values that do not depend on the standard library: only the engine's
/// sequence is fixed by the standard, not that of its distributions.
class PlanRandom final {
public:
  explicit PlanRandom(std::uint64_t Seed) : Engine_(Seed) {}

  /// Uniform in (0, 1].
  double unit() {
    constexpr int Bits = 53;
    return static_cast<double>((Engine_() >> (64 - Bits)) + 1) *
           std::ldexp(1.0, -Bits);
  }

  std::size_t below(std::size_t Count) { return Engine_() % Count; }

  double exponential(double Rate) { return -std::log(unit()) / Rate; }

  int length(const BenchLength &Range) {
    double Low = std::log(Range.Minimum_);
    double High = std::log(Range.Maximum_ + 1.0);
    int Drawn = static_cast<int>(std::exp(Low + (High - Low) * unit()));
    return std::clamp(Drawn, Range.Minimum_, Range.Maximum_);
  }

private:
  std::mt19937_64 Engine_;
};

/// Seeds of one kind in one phase, far apart from each other.
std::uint64_t mixSeed(std::uint64_t Seed, std::size_t Phase, std::size_t Kind) {
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

bool sends(const BenchRequestKind &Kind, const BenchAccount &Account) {
  return Kind.Accounts_.empty() ||
         std::find(Kind.Accounts_.begin(), Kind.Accounts_.end(),
                   Account.Name_) != Kind.Accounts_.end();
}

std::string drawWords(PlanRandom &Random, int Count) {
  std::string Text;
  for (int I = 0; I < Count; ++I)
    Text.append(I == 0 ? "" : " ").append(Words[Random.below(Words.size())]);
  return Text;
}

/// Appends the arrivals of one kind in one phase.
class KindPlanner final {
public:
  KindPlanner(const BenchScenario &Scenario, std::uint64_t Seed,
              std::vector<PlannedRequest> &Plan)
      : Scenario_(Scenario), Seed_(Seed), Plan_(Plan) {}

  void add(std::size_t Phase, std::size_t Kind, Microseconds Start,
           double Rate) {
    PlanRandom Random(mixSeed(Seed_, Phase, Kind));
    double End =
        std::chrono::duration<double>(Scenario_.Phases_[Phase].Duration_)
            .count();
    for (double At = Random.exponential(Rate); At < End;
         At += Random.exponential(Rate))
      Plan_.push_back(draw(Random, Phase, Kind,
                           Start + Microseconds{std::llround(At * 1e6)}));
  }

private:
  PlannedRequest draw(PlanRandom &Random, std::size_t Phase, std::size_t Kind,
                      Microseconds Offset) const {
    const BenchRequestKind &Source = Scenario_.Kinds_[Kind];
    PlannedRequest Request;
    Request.Offset_ = Offset;
    Request.Phase_ = Phase;
    Request.Kind_ = Kind;
    Request.Account_ = drawAccount(Random, Source);
    Request.Caller_ = static_cast<int>(
        Random.below(static_cast<std::size_t>(Scenario_.CallersPerAccount_)));
    if (Source.Call_.empty()) {
      Request.Text_ = drawWords(Random, Random.length(Source.Words_));
      Request.Tokens_ = Random.length(Source.Tokens_);
    }
    return Request;
  }

  /// One of the kind's accounts by weight.
  const std::string &drawAccount(PlanRandom &Random,
                                 const BenchRequestKind &Kind) const {
    std::vector<const BenchAccount *> Senders;
    double Sum = 0;
    for (const BenchAccount &Account : Scenario_.Accounts_)
      if (sends(Kind, Account)) {
        Senders.push_back(&Account);
        Sum += Account.Weight_;
      }
    double Drawn = Random.unit() * Sum;
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

void number(std::vector<PlannedRequest> &Plan, std::uint64_t Seed) {
  int Next = 0;
  for (PlannedRequest &Request : Plan) {
    Request.Number_ = Next++;
    // Unique inputs make an answer that belongs to another request visible.
    if (Request.Tokens_ > 0)
      Request.Text_ = std::to_string(Seed) + "-" +
                      std::to_string(Request.Number_) + " " + Request.Text_;
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
    double Total = Phase.Load_ > 0 ? Phase.Load_ * Capacity : Phase.Rate_;
    for (std::size_t K = 0; K < Scenario.Kinds_.size(); ++K)
      if (isActive(Scenario.Kinds_[K], Phase) && Total > 0)
        Planner.add(P, K, Start, Total * Scenario.Kinds_[K].Share_);
    Start += Phase.Duration_;
  }
  std::stable_sort(Plan.begin(), Plan.end(),
                   [](const PlannedRequest &A, const PlannedRequest &B) {
                     return A.Offset_ < B.Offset_;
                   });
  number(Plan, Seed);
  return Plan;
}

std::vector<KindDemand> demandOf(const BenchScenario &Scenario) {
  double Sum = 0;
  for (const BenchRequestKind &Kind : Scenario.Kinds_)
    Sum += Kind.Share_;
  std::vector<KindDemand> Demand;
  for (std::size_t K = 0; K < Scenario.Kinds_.size(); ++K) {
    const BenchRequestKind &Kind = Scenario.Kinds_[K];
    KindDemand Entry{K, Kind.Share_ / Sum};
    if (Kind.Call_.empty()) {
      Entry.MeanWords_ = meanOf(Kind.Words_);
      Entry.MeanTokens_ = meanOf(Kind.Tokens_);
    }
    Demand.push_back(Entry);
  }
  return Demand;
}

double meanOf(const BenchLength &Length) {
  if (Length.Minimum_ == Length.Maximum_)
    return Length.Minimum_;
  // Exact for the discrete draw: the sum of the chances to reach each length.
  double Low = std::log(Length.Minimum_);
  double High = std::log(Length.Maximum_ + 1.0);
  double Mean = Length.Minimum_;
  for (int L = Length.Minimum_ + 1; L <= Length.Maximum_; ++L)
    Mean += (High - std::log(L)) / (High - Low);
  return Mean;
}

} // namespace amaranth::control
