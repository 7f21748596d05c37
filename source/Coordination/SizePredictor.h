/// \file
/// Prediction of request sizes.
#ifndef AMARANTH_COORDINATION_SIZEPREDICTOR_H
#define AMARANTH_COORDINATION_SIZEPREDICTOR_H

#include <cstddef>
#include <map>
#include <mutex>
#include <string>

namespace amaranth::coordination {

/// Class of a request; each has its own concurrency limit and engine priority.
enum class SizeClass { Short, Long };

/// Settings of SizePredictor.
struct SizePredictorSettings {
  double LongCost_ = 48; ///< Predicted cost from which a request is long.
  double CostPerInputByte_ = 0.0125; ///< Prompt tokens cost less than output.
  double FixedCost_ = 8; ///< Added to every request, in output tokens.
  std::size_t MaxAccounts_ = 20'000;
};

/// Predicted size of a request.
struct SizePrediction {
  SizeClass Class_ = SizeClass::Short;
  double Tokens_ = 0; ///< Output tokens.
  double Cost_ = 0;   ///< Input and output, in output tokens.
};

/// Predicts the size of a request from its input length, max_tokens and the
/// share of max_tokens that earlier requests of its account used. Thread-safe.
class SizePredictor final {
public:
  explicit SizePredictor(const SizePredictorSettings &Settings);

  SizePrediction predict(const std::string &Account, std::size_t InputBytes,
                         int MaxTokens);

  /// Records how many of \p MaxTokens a completed request used.
  void record(const std::string &Account, int MaxTokens, double ActualTokens);

private:
  SizePredictorSettings Settings_;
  std::mutex Mutex_;
  std::map<std::string, double> UsedShare_; ///< Moving average by account.
};

} // namespace amaranth::coordination

#endif
