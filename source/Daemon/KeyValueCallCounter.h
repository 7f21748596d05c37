/// \file
/// Counts the calls that this daemon makes to the key-value service.
#ifndef AMARANTH_DAEMON_KEYVALUECALLCOUNTER_H
#define AMARANTH_DAEMON_KEYVALUECALLCOUNTER_H

#include "Protocol/EtcdClient.h"
#include "State/Metrics.h"

#include <map>
#include <string>

namespace amaranth::daemon {

/// Exports the number of calls of each kind. They are counted because every
/// call is billed, and because the permitted call rate grows more slowly than
/// the fleet. Thread-safe.
class KeyValueCallCounter final : public protocol::KeyValueObserver {
public:
  explicit KeyValueCallCounter(state::Metrics &Metrics);

  void onCall(protocol::KeyValueCall Call) override;

  /// Number of calls so far, by the name of their kind.
  std::map<std::string, std::uint64_t> counts() const;

private:
  std::map<protocol::KeyValueCall, state::Counter *> Counters_;
};

} // namespace amaranth::daemon

#endif
