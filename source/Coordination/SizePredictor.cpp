#include "Coordination/SizePredictor.h"

#include <algorithm>

namespace amaranth::coordination {

namespace {

/// Weight of the newest request in the moving average of an account.
constexpr double SampleWeight = 0.1;

} // namespace

SizePredictor::SizePredictor(const SizePredictorSettings &Settings)
    : Settings_(Settings) {}

SizePrediction SizePredictor::predict(const std::string &Account,
                                      std::size_t InputBytes, int MaxTokens) {
  double Share = 1;
  {
    std::lock_guard Lock(Mutex_);
    auto AccountShare = UsedShare_.find(Account);
    if (AccountShare != UsedShare_.end())
      Share = AccountShare->second;
  }
  SizePrediction Prediction;
  Prediction.Tokens_ = Share * std::max(0, MaxTokens);
  Prediction.Cost_ =
      Prediction.Tokens_ + Settings_.FixedCost_ +
      Settings_.CostPerInputByte_ * static_cast<double>(InputBytes);
  if (Prediction.Cost_ >= Settings_.LongCost_)
    Prediction.Class_ = SizeClass::Long;
  return Prediction;
}

void SizePredictor::record(const std::string &Account, int MaxTokens,
                           double ActualTokens) {
  if (MaxTokens <= 0)
    return;
  double Used = std::clamp(ActualTokens / MaxTokens, 0.0, 1.0);
  std::lock_guard Lock(Mutex_);
  auto AccountShare = UsedShare_.find(Account);
  if (AccountShare != UsedShare_.end())
    AccountShare->second += SampleWeight * (Used - AccountShare->second);
  else if (UsedShare_.size() < Settings_.MaxAccounts_)
    UsedShare_[Account] = 1 + SampleWeight * (Used - 1);
}

} // namespace amaranth::coordination
