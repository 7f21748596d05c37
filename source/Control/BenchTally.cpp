#include "Control/BenchTally.h"

#include <algorithm>
#include <cmath>

namespace amaranth::control {

void BenchTally::add(const BenchRequestKind &Kind, const BenchRecord &Record) {
  ++Sent_;
  ++Outcomes_[Record.Outcome_];
  CallerRepeats_ += static_cast<std::size_t>(std::max(0, Record.Attempts_ - 1));
  bool Complete = Record.Outcome_ == BenchOutcome::InTime ||
                  Record.Outcome_ == BenchOutcome::Late;
  if (!Complete) {
    ++Refusals_[std::string(toString(Record.Outcome_)) + " " +
                Record.Answer_.ProblemType_];
    return;
  }
  if (Record.Outcome_ == BenchOutcome::InTime)
    TokensInTime_ += static_cast<std::size_t>(Record.Answer_.Tokens_);
  std::vector<double> &Latencies =
      Kind.Size_ == BenchSize::Short ? ShortMs_ : LongMs_;
  Latencies.push_back(
      std::chrono::duration<double, std::milli>(Record.Latency_).count());
  for (const BenchStageCost &Cost : Record.Answer_.Stages_) {
    StageTotal &Total = Stages_[Kind.Service_ + "/" + Cost.Stage_];
    ++Total.Runs_;
    Total.Attempts_ += static_cast<std::size_t>(Cost.Attempts_);
    Total.Hedges_ += static_cast<std::size_t>(Cost.Hedges_);
    Total.Useful_ += Cost.Useful_;
    Total.Wasted_ += Cost.Wasted_;
  }
}

void BenchTally::merge(const BenchTally &Other) {
  Sent_ += Other.Sent_;
  CallerRepeats_ += Other.CallerRepeats_;
  TokensInTime_ += Other.TokensInTime_;
  for (const auto &[Outcome, Count] : Other.Outcomes_)
    Outcomes_[Outcome] += Count;
  for (const auto &[Type, Count] : Other.Refusals_)
    Refusals_[Type] += Count;
  for (const auto &[Name, Cost] : Other.Stages_) {
    StageTotal &Total = Stages_[Name];
    Total.Runs_ += Cost.Runs_;
    Total.Attempts_ += Cost.Attempts_;
    Total.Hedges_ += Cost.Hedges_;
    Total.Useful_ += Cost.Useful_;
    Total.Wasted_ += Cost.Wasted_;
  }
  ShortMs_.insert(ShortMs_.end(), Other.ShortMs_.begin(), Other.ShortMs_.end());
  LongMs_.insert(LongMs_.end(), Other.LongMs_.begin(), Other.LongMs_.end());
}

std::size_t BenchTally::count(BenchOutcome Outcome) const {
  auto Found = Outcomes_.find(Outcome);
  return Found == Outcomes_.end() ? 0 : Found->second;
}

std::size_t BenchTally::outcomes() const {
  std::size_t Sum = 0;
  for (BenchOutcome Outcome : AllBenchOutcomes)
    Sum += count(Outcome);
  return Sum;
}

std::optional<double> BenchTally::attainment() const {
  std::size_t Accepted = Sent_ - count(BenchOutcome::NotRun);
  if (Accepted == 0)
    return std::nullopt;
  return static_cast<double>(count(BenchOutcome::InTime)) /
         static_cast<double>(Accepted);
}

std::optional<double> BenchTally::served() const {
  if (Sent_ == 0)
    return std::nullopt;
  return static_cast<double>(count(BenchOutcome::InTime)) /
         static_cast<double>(Sent_);
}

std::optional<double>
BenchTally::quantile(double Fraction, std::optional<BenchSize> Size) const {
  if (Size)
    return computeQuantile(*Size == BenchSize::Short ? ShortMs_ : LongMs_,
                           Fraction);
  std::vector<double> AllMs = ShortMs_;
  AllMs.insert(AllMs.end(), LongMs_.begin(), LongMs_.end());
  return computeQuantile(std::move(AllMs), Fraction);
}

std::optional<double> BenchTally::extraShare() const {
  std::size_t Runs = 0;
  std::size_t Extra = 0;
  for (const auto &[Name, Total] : Stages_) {
    Runs += Total.Runs_;
    Extra += Total.Attempts_ - std::min(Total.Attempts_, Total.Runs_);
  }
  if (Runs == 0)
    return std::nullopt;
  return static_cast<double>(Extra) / static_cast<double>(Runs);
}

std::optional<double> computeQuantile(std::vector<double> Values,
                                      double Fraction) {
  if (Values.empty())
    return std::nullopt;
  auto NearestRank = static_cast<std::size_t>(
      std::ceil(Fraction * static_cast<double>(Values.size())));
  std::size_t Index = NearestRank == 0 ? 0 : NearestRank - 1;
  Index = std::min(Index, Values.size() - 1);
  auto Nth = Values.begin() + static_cast<std::ptrdiff_t>(Index);
  std::nth_element(Values.begin(), Nth, Values.end());
  return *Nth;
}

} // namespace amaranth::control
