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

/// What a completed request took.
struct CompletedWork {
  double Tokens_ = 0;
  /// Time spent on attempts whose target broke off or stayed silent, with the
  /// waits before the next attempt. It says nothing of the load.
  Microseconds LostTime_{0};
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
  /// Ends a grant. \p Work is set only if the request was completed.
  virtual void release(const Grant &EndedGrant,
                       std::optional<CompletedWork> Work) = 0;
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
        Granted_(std::move(Other.Granted_)), Work_(Other.Work_) {}
  Permit &operator=(Permit &&Other) noexcept {
    if (this == &Other)
      return *this;
    release();
    Owner_ = std::exchange(Other.Owner_, nullptr);
    Granted_ = std::move(Other.Granted_);
    Work_ = Other.Work_;
    return *this;
  }
  ~Permit() { release(); }

  /// Records that the request was completed, which improves later predictions.
  void complete(const CompletedWork &Work) { Work_ = Work; }

  /// Releases the slot now.
  void release() {
    if (Owner_)
      std::exchange(Owner_, nullptr)->release(Granted_, Work_);
  }

  explicit operator bool() const { return Owner_ != nullptr; }
  const Grant &grant() const { return Granted_; }

private:
  AdmissionPolicy *Owner_ = nullptr;
  Grant Granted_;
  std::optional<CompletedWork> Work_;
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
