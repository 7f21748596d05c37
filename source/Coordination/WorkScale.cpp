#include "Coordination/WorkScale.h"

#include <algorithm>
#include <cmath>

namespace amaranth::coordination {

namespace {

/// Minimum effective work; an attempt produces at least one token.
constexpr double MinWork = 1;

} // namespace

WorkScale::WorkScale(const WorkScaleSettings &Settings) : Settings_(Settings) {}

bool WorkScale::record(double Work, double Duration) {
  if (isOutlier(Work, Duration) &&
      ConsecutiveOutliers_ < Settings_.MaxOutliers_) {
    ++ConsecutiveOutliers_;
    return false;
  }
  ConsecutiveOutliers_ = 0;
  for (double *Sum : {&Weight_, &SumX_, &SumY_, &SumXx_, &SumXy_})
    *Sum *= Settings_.DecayFactor_;
  Weight_ += 1;
  SumX_ += Work;
  SumY_ += Duration;
  SumXx_ += Work * Work;
  SumXy_ += Work * Duration;
  ++SampleCount_;
  if (SampleCount_ >= Settings_.MinSamples_)
    updateFit();
  if (std::abs(FixedWorkOffset_ - ReportedOffset_) <= Settings_.MaxDrift_)
    return false;
  ReportedOffset_ = FixedWorkOffset_;
  return true;
}

double WorkScale::effective(double Work) const {
  if (!HasFit_)
    return Work;
  return std::max(MinWork, Work + FixedWorkOffset_);
}

bool WorkScale::isOutlier(double Work, double Duration) const {
  return HasFit_ && Duration > Settings_.OutlierFactor_ * SecondsPerUnit_ *
                                   effective(Work);
}

void WorkScale::updateFit() {
  double MeanX = SumX_ / Weight_;
  double MeanY = SumY_ / Weight_;
  double Variance = SumXx_ / Weight_ - MeanX * MeanX;
  double Covariance = SumXy_ / Weight_ - MeanX * MeanY;
  double MinDeviation = Settings_.MinSpread_ * MeanX;
  if (Variance < MinDeviation * MinDeviation || Covariance <= 0)
    return;
  SecondsPerUnit_ = Covariance / Variance;
  FixedWorkOffset_ = MeanY / SecondsPerUnit_ - MeanX;
  HasFit_ = true;
}

} // namespace amaranth::coordination
