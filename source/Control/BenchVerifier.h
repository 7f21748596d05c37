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

/// Finds answers that belong to another request or contradict themselves.
/// Requires stand-ins as targets, whose output is a function of the prompt.
/// Thread-safe.
class BenchVerifier final {
public:
  /// Checks the last answer to a request.
  void check(const BenchRequestKind &Kind, const BenchRecord &Record);

  /// The faults, in the order in which they were found.
  std::vector<std::string> faults() const;

private:
  std::string findFault(const BenchRequestKind &Kind,
                        const BenchRecord &Record);
  std::string findOutputFault(const BenchRequestKind &Kind,
                              const BenchRecord &Record);

  mutable std::mutex Mutex_;
  std::map<std::string, std::string> InputByOutput_;
  std::vector<std::string> Faults_;
};

} // namespace amaranth::control

#endif
