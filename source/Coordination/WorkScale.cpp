#include "Coordination/WorkScale.h"

#include <algorithm>
#include <cmath>

namespace amaranth::coordination {

namespace {

/// Least effective work; an attempt produces at least one token.
constexpr double MinWork = 1;

} // namespace

WorkScale::WorkScale(const WorkScaleSettings &Settings) : Settings_(Settings) {}

bool WorkScale::record(double Work, double Duration) {
  if (isOutlier(Work, Duration) && Outliers_ < Settings_.MaxOutliers_) {
    ++Outliers_;
    return false;
  }
  Outliers_ = 0;
  for (double *Sum : {&Weight_, &SumX_, &SumY_, &SumXx_, &SumXy_})
    *Sum *= Settings_.Memory_;
  Weight_ += 1;
  SumX_ += Work;
  SumY_ += Duration;
  SumXx_ += Work * Work;
  SumXy_ += Work * Duration;
  ++Samples_;
  if (Samples_ >= Settings_.MinSamples_)
    fit();
  if (std::abs(Shift_ - ReportedShift_) <= Settings_.MaxDrift_)
    return false;
  ReportedShift_ = Shift_;
  return true;
}

double WorkScale::effective(double Work) const {
  if (!Fitted_)
    return Work;
  return std::max(MinWork, Work + Shift_);
}

bool WorkScale::isOutlier(double Work, double Duration) const {
  return Fitted_ &&
         Duration > Settings_.OutlierFactor_ * PerUnit_ * effective(Work);
}

void WorkScale::fit() {
  double MeanX = SumX_ / Weight_;
  double MeanY = SumY_ / Weight_;
  double Variance = SumXx_ / Weight_ - MeanX * MeanX;
  double Covariance = SumXy_ / Weight_ - MeanX * MeanY;
  double Spread = Settings_.MinSpread_ * MeanX;
  if (Variance < Spread * Spread || Covariance <= 0)
    return;
  PerUnit_ = Covariance / Variance;
  Shift_ = MeanY / PerUnit_ - MeanX;
  Fitted_ = true;
}

} // namespace amaranth::coordination
