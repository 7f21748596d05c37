/// \file
/// Learns how much of a duration does not depend on the output length.
#ifndef AMARANTH_COORDINATION_WORKSCALE_H
#define AMARANTH_COORDINATION_WORKSCALE_H

#include "Support/Time.h"

#include <cstddef>

namespace amaranth::coordination {

/// Settings of WorkScale.
struct WorkScaleSettings {
  double Memory_ = 0.99; ///< Weight that older samples keep at each new one.
  std::size_t MinSamples_ = 20;
  /// Least spread of the work (standard deviation / mean) for a fit; samples of
  /// one size say nothing about the fixed part.
  double MinSpread_ = 0.2;
  /// A duration this many times the expected one comes from a straggler and is
  /// left out, unless several follow each other.
  double OutlierFactor_ = 4;
  std::size_t MaxOutliers_ = 20;
  /// Change of the fixed part, in units of work, that makes a new scale.
  double MaxDrift_ = 1;
};

/// Fits duration = fixed + rate * work over recent attempts. The work of a
/// Generate stage includes an assumed fixed part; where engines have another
/// one, short requests look many times faster or slower than long ones, and
/// both the comparison of targets and the number of places derived from their
/// rate are wrong. Not thread-safe.
class WorkScale final {
public:
  explicit WorkScale(const WorkScaleSettings &Settings = {});

  /// Records an attempt that succeeded. \p Duration is in seconds. True if the
  /// scale changed so much that paces measured before are not comparable.
  bool record(double Work, double Duration);

  /// \p Work with the fixed part that was measured in place of the assumed one,
  /// so that durations are proportional to it; at least 1. Without a fit
  /// \p Work itself.
  double effective(double Work) const;

private:
  bool isOutlier(double Work, double Duration) const;
  void fit();

  WorkScaleSettings Settings_;
  // Weighted sums over the samples.
  double Weight_ = 0;
  double SumX_ = 0;
  double SumY_ = 0;
  double SumXx_ = 0;
  double SumXy_ = 0;
  std::size_t Samples_ = 0;
  std::size_t Outliers_ = 0; ///< In a row.
  bool Fitted_ = false;
  double ReportedShift_ = 0; ///< When record() last returned true.
  double Shift_ = 0;         ///< Added to the work; fixed / rate.
  double PerUnit_ = 0;       ///< Seconds for each unit of work.
};

} // namespace amaranth::coordination

#endif
