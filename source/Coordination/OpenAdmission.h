/// \file
/// Baseline admission.
#ifndef AMARANTH_COORDINATION_OPENADMISSION_H
#define AMARANTH_COORDINATION_OPENADMISSION_H

#include "Coordination/AdmissionPolicy.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <set>

namespace amaranth::coordination {

/// Admits every request in order of arrival; the baseline that Admission is
/// compared with. A request still queued at its deadline is refused.
/// Thread-safe.
class OpenAdmission final : public AdmissionPolicy {
public:
  /// \p MaxInFlight requests run at once.
  explicit OpenAdmission(int MaxInFlight);

  Decision admit(const AdmissionRequest &Request) override;
  void cancel(const std::string &RequestId) override;

private:
  void release(const Grant &Ended, std::optional<CompletedWork> Work) override;

  const int MaxInFlight_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::deque<std::uint64_t> Queue_;
  std::set<std::string> Waiting_;
  std::uint64_t NextId_ = 1;
  int InFlight_ = 0;
};

} // namespace amaranth::coordination

#endif
