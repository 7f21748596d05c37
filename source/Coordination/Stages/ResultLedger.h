/// \file
/// Storage that stage results occupy at their targets.
#ifndef AMARANTH_COORDINATION_STAGES_RESULTLEDGER_H
#define AMARANTH_COORDINATION_STAGES_RESULTLEDGER_H

#include "Support/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace amaranth::coordination {

/// Bytes of results stored at each target, computed from the calls sent and the
/// results released by this dispatcher. A target that reports that it is full
/// although the ledger shows free space stores results of another dispatcher;
/// it is then treated as full for a while. Not thread-safe.
class ResultLedger final {
public:
  /// Reserves \p Bytes at \p Target for the results of a call.
  void reserve(const std::string &Target, std::uint64_t Bytes);
  /// Ends a reservation.
  void unreserve(const std::string &Target, std::uint64_t Bytes);
  /// Records the stored result of \p Piece, which exists until \p Expiry unless
  /// it is removed.
  void add(const std::string &Target, const std::string &Handle,
           const std::string &Piece, std::uint64_t Bytes, SteadyTime Expiry);
  /// True if \p Target reported the result for a piece other than \p Piece,
  /// also if it has been removed since. Results of two pieces never have the
  /// same handle, so that the answer is a copy of an earlier one.
  bool wasReportedForOther(const std::string &Target, const std::string &Handle,
                           const std::string &Piece) const;
  /// Ends the use of the bytes of a result.
  void remove(const std::string &Target, const std::string &Handle);
  /// Treats \p Target as full until \p FullUntil.
  void onTargetFull(const std::string &Target, SteadyTime FullUntil);
  void forgetTarget(const std::string &Target);

  /// Returns the free part of \p Capacity, the bytes that \p Target can store.
  std::uint64_t freeBytes(const std::string &Target, std::uint64_t Capacity,
                          SteadyTime Now);

private:
  struct StoredResult {
    std::string Piece_;
    std::uint64_t Bytes_ = 0; ///< 0 once it has been removed.
  };
  struct TargetUsage {
    std::uint64_t ReservedBytes_ = 0;
    std::uint64_t StoredBytes_ = 0;
    /// Results that have not expired, by handle.
    std::map<std::string, StoredResult> Results_;
    /// The handles of Results_ in the order of their expiry.
    std::deque<std::pair<SteadyTime, std::string>> Expiries_;
    SteadyTime FullUntil_{};
  };

  static void removeExpired(TargetUsage &Usage, SteadyTime Now);

  std::map<std::string, TargetUsage> UsageByTarget_;
};

} // namespace amaranth::coordination

#endif
