/// \file
/// Estimate of the part of a duration that does not depend on the output
/// length.
#ifndef AMARANTH_COORDINATION_WORKSCALE_H
#define AMARANTH_COORDINATION_WORKSCALE_H

#include "Support/Time.h"

#include <cstddef>

namespace amaranth::coordination {

/// Settings of WorkScale.
struct WorkScaleSettings {
  double DecayFactor_ = 0.99; ///< Applied to older samples at each new one.
  std::size_t MinSamples_ = 20;
  /// Minimum spread of the work (standard deviation / mean) for a fit, because
  /// samples of one size do not determine the fixed part.
  double MinSpread_ = 0.2;
  /// A duration longer than this multiple of the expected one is attributed to
  /// a straggler and ignored, but at most MaxOutliers_ in a row.
  double OutlierFactor_ = 4;
  std::size_t MaxOutliers_ = 20;
  /// Change of the fixed part, in units of work, from which record() reports a
  /// new scale.
  double MaxDrift_ = 1;
};

/// Fits duration = fixed + rate * work over recent attempts. The work of a
/// Generate stage includes an assumed fixed part. Where engines have a
/// different one, short requests seem many times faster or slower than long
/// ones, and both the comparison of targets and the concurrency derived from
/// their rate are wrong. Not thread-safe.
class WorkScale final {
public:
  explicit WorkScale(const WorkScaleSettings &Settings = {});

  /// Records an attempt that succeeded. \p Duration is in seconds. Returns true
  /// if the scale changed so much that earlier durations per unit of work are
  /// not comparable.
  bool record(double Work, double Duration);

  /// Returns \p Work with the measured fixed part instead of the assumed one,
  /// so that durations are proportional to it; at least 1. Returns \p Work
  /// unchanged if there is no fit yet.
  double effective(double Work) const;

private:
  bool isOutlier(double Work, double Duration) const;
  void updateFit();

  WorkScaleSettings Settings_;
  // Weighted sums over the samples.
  double Weight_ = 0;
  double SumX_ = 0;
  double SumY_ = 0;
  double SumXx_ = 0;
  double SumXy_ = 0;
  std::size_t SampleCount_ = 0;
  std::size_t ConsecutiveOutliers_ = 0;
  bool HasFit_ = false;
  /// FixedWorkOffset_ when record() last returned true.
  double ReportedOffset_ = 0;
  /// Added to the work: measured minus assumed fixed part.
  double FixedWorkOffset_ = 0;
  double SecondsPerUnit_ = 0;
};

} // namespace amaranth::coordination

#endif
