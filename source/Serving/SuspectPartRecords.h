/// \file
/// Records of suspect prompt parts in the platform's store.
#ifndef AMARANTH_SERVING_SUSPECTPARTRECORDS_H
#define AMARANTH_SERVING_SUSPECTPARTRECORDS_H

#include "Coordination/Engines/SuspectPartRegistry.h"
#include "Protocol/PlatformStore.h"

#include <set>
#include <string>

namespace amaranth::serving {

/// Settings of SuspectPartRecords.
struct SuspectPartRecordsSettings {
  /// A record is removed this long after it was written.
  Milliseconds LeaseTime_{600000};
  Milliseconds RetryPeriod_{500};
};

/// Keeps the prompt parts that have reached the crash limit in the platform's
/// store. Hosts of a running fleet tell each other; the records are for hosts
/// that start after all have been killed at the same time.
class SuspectPartRecords final {
public:
  SuspectPartRecords(transport::Loop &Executor, protocol::PlatformStore &Store,
                     coordination::SuspectPartRegistry &Registry,
                     SuspectPartRecordsSettings Settings = {});

  /// Merges the records into the registry, then writes changed ones.
  void start();
  /// Call when the registry has changed a part. The hosts of a fleet let one of
  /// them write.
  void onPartChanged(const std::string &Id, bool IsWriter);

private:
  transport::Awaitable<void> run();
  transport::Awaitable<void> readRecords();
  /// False if the record has to be written again.
  transport::Awaitable<bool> writeRecord(const std::string &Id);

  transport::Loop &Loop_;
  protocol::PlatformStore &Store_;
  coordination::SuspectPartRegistry &Registry_;
  SuspectPartRecordsSettings Settings_;
  std::set<std::string> Suspects_; ///< Parts that may have a record.
  std::set<std::string> Changed_;  ///< Parts that this host has to write.
  transport::Wakeup HasChanged_;
};

} // namespace amaranth::serving

#endif
