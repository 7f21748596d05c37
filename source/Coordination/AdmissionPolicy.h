/// \file
/// Interface of admission control.
#ifndef AMARANTH_COORDINATION_ADMISSIONPOLICY_H
#define AMARANTH_COORDINATION_ADMISSIONPOLICY_H

#include "Coordination/SizePredictor.h"
#include "Support/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace amaranth::coordination {

/// A request before any of its stages has run.
struct AdmissionRequest {
  std::string RequestId_;
  std::string Service_;
  std::string Account_;
  double Weight_ = 1;       ///< Relative share of the account under contention.
  double FleetLimit_ = 1e9; ///< Requests per second of the account.
  std::size_t InputBytes_ = 0;
  int MaxTokens_ = 0; ///< 0 for calls of plain services.
  SteadyTime Deadline_;
};

/// An admitted request.
struct Grant {
  std::string Service_;
  std::string Account_;
  int MaxTokens_ = 0;
  SizePrediction Size_;
  int Priority_ = 0; ///< At engines; higher runs first.
  SteadyTime Start_;
};

class Permit;

/// Admits, queues or refuses requests. Thread-safe.
class AdmissionPolicy {
public:
  /// A permit, or the refusal of a request before any stage ran.
  struct Decision;

  virtual ~AdmissionPolicy() = default;

  /// Blocks while the request is queued, at most until its deadline.
  virtual Decision admit(const AdmissionRequest &Request) = 0;

  /// Ends the wait of a queued request whose caller has disconnected.
  virtual void cancel(const std::string &RequestId) = 0;

private:
  friend class Permit;
  /// Ends a grant. \p ActualTokens is set only if the request was completed.
  virtual void release(const Grant &EndedGrant,
                       std::optional<double> ActualTokens) = 0;
};

/// Holds the concurrency slot of a running request and releases it when it goes
/// out of scope. The policy must outlive it.
class Permit final {
public:
  Permit() = default;
  Permit(AdmissionPolicy &Owner, Grant Granted)
      : Owner_(&Owner), Granted_(std::move(Granted)) {}
  Permit(Permit &&Other) noexcept
      : Owner_(std::exchange(Other.Owner_, nullptr)),
        Granted_(std::move(Other.Granted_)),
        ActualTokens_(Other.ActualTokens_) {}
  Permit &operator=(Permit &&Other) noexcept {
    if (this == &Other)
      return *this;
    release();
    Owner_ = std::exchange(Other.Owner_, nullptr);
    Granted_ = std::move(Other.Granted_);
    ActualTokens_ = Other.ActualTokens_;
    return *this;
  }
  ~Permit() { release(); }

  /// Records that the request was completed with \p ActualTokens, which
  /// improves later predictions.
  void complete(double ActualTokens) { ActualTokens_ = ActualTokens; }

  /// Releases the slot now.
  void release() {
    if (Owner_)
      std::exchange(Owner_, nullptr)->release(Granted_, ActualTokens_);
  }

  explicit operator bool() const { return Owner_ != nullptr; }
  const Grant &grant() const { return Granted_; }

private:
  AdmissionPolicy *Owner_ = nullptr;
  Grant Granted_;
  std::optional<double> ActualTokens_;
};

struct AdmissionPolicy::Decision {
  Permit Permit_;      ///< Empty if refused.
  int Status_ = 200;   ///< HTTP status of a refusal.
  std::string Detail_; ///< Why it was refused.
  /// Time after which the request may be repeated.
  Milliseconds RetryAfter_{0};
};

} // namespace amaranth::coordination

#endif
