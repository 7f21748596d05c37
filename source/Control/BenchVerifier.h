/// \file
/// Checks that answers belong to their requests.
#ifndef AMARANTH_CONTROL_BENCHVERIFIER_H
#define AMARANTH_CONTROL_BENCHVERIFIER_H

#include "Control/BenchCaller.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace amaranth::control {

/// Finds answers that belong to another request or contradict themselves. It
/// relies on the targets being stand-ins, whose output is a function of the
/// prompt. Thread-safe.
class BenchVerifier final {
public:
  /// Checks the answer of a request that ended.
  void check(const BenchRequestKind &Kind, const BenchRecord &Record);

  /// The faults found, in the order of their discovery.
  std::vector<std::string> faults() const;

private:
  std::string faultIn(const BenchRequestKind &Kind, const BenchRecord &Record);
  std::string faultInOutput(const BenchRequestKind &Kind,
                            const BenchRecord &Record);

  mutable std::mutex Mutex_;
  std::map<std::string, std::string> InputOfOutput_;
  std::vector<std::string> Faults_;
};

} // namespace amaranth::control

#endif
