/// \file
/// The room that stage results take up at their targets.
#ifndef AMARANTH_COORDINATION_STAGES_RESULTLEDGER_H
#define AMARANTH_COORDINATION_STAGES_RESULTLEDGER_H

#include "Support/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace amaranth::coordination {

/// Bytes of results at each target, known from the calls made and the results
/// freed. A target that reports no room although the ledger has some holds
/// results of another dispatcher; it is then taken as full for a while.
class ResultLedger final {
public:
  /// A call may leave \p Bytes at \p Target.
  void reserve(const std::string &Target, std::uint64_t Bytes);
  void unreserve(const std::string &Target, std::uint64_t Bytes);
  /// A result exists until \p Expiry unless it is freed.
  void add(const std::string &Target, const std::string &Handle,
           std::uint64_t Bytes, SteadyTime Expiry);
  bool contains(const std::string &Target, const std::string &Handle) const;
  void remove(const std::string &Target, const std::string &Handle);
  void onNoRoom(const std::string &Target, SteadyTime FullUntil);
  void forgetTarget(const std::string &Target);

  /// Bytes left of \p Room.
  std::uint64_t left(const std::string &Target, std::uint64_t Room,
                     SteadyTime Now);

private:
  struct Result {
    std::uint64_t Bytes_ = 0;
    SteadyTime Expiry_;
  };
  struct Entry {
    std::uint64_t Reserved_ = 0;
    std::map<std::string, Result> Results_;
    SteadyTime FullUntil_{};
  };

  std::map<std::string, Entry> Targets_;
};

} // namespace amaranth::coordination

#endif
