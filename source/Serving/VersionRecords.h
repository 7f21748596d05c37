/// \file
/// Records of the versions of services in the platform's store.
#ifndef AMARANTH_SERVING_VERSIONRECORDS_H
#define AMARANTH_SERVING_VERSIONRECORDS_H

#include "Coordination/Streams/ServiceVersions.h"
#include "Protocol/PlatformStore.h"
#include "Serving/SharedStoreRead.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace amaranth::serving {

/// Settings of VersionRecords.
struct VersionRecordsSettings {
  /// While targets of a version are registered, its record is renewed. It then
  /// outlasts the window.
  Milliseconds RenewPeriod_{15000};
  Milliseconds LeaseTime_ = coordination::StreamWindow + Seconds{20};
  Milliseconds RetryPeriod_{500};
  /// A record that does not arrive here so long after it was written is
  /// written again.
  Milliseconds MissingTime_{2000};
  /// A version that has no record for so long is recorded by each host that
  /// watches the store: the elected one may not reach it. Shorter than the time
  /// after which versions get streams without a record.
  Milliseconds OverdueTime_{1000};
  Milliseconds CheckPeriod_{50};
  Milliseconds MinReadPeriod_{250};
  /// Calls a second that the store allows all hosts together.
  double ReadsPerSecond_ = 2000;
};

/// Says which host writes the records of a service.
class VersionWriterElection {
public:
  virtual ~VersionWriterElection() = default;
  virtual bool writesVersionsOf(const std::string &Service) const = 0;
  /// Whether this host is one of those that watch the store.
  virtual bool watchesStore() const = 0;
};

/// Keeps a record in the store for each version of a service that has
/// registered targets, and passes the records of all hosts on to
/// ServiceVersions. Hosts that start after all were killed learn from them
/// which versions were in service.
class VersionRecords final : private SharedStoreReadListener {
public:
  VersionRecords(transport::Loop &Executor, protocol::PlatformStore &Store,
                 coordination::ServiceVersions &Versions,
                 const VersionWriterElection &Election,
                 VersionRecordsSettings Settings = {});

  static const std::string &keyPrefix();
  static std::string key(const coordination::VersionName &Name);

  void start();
  /// Call for every change under keyPrefix().
  void onRecordChanged(const protocol::StoreItem &Item, SteadyTime Now);
  /// The store was restored from an older copy: its ids of leases may have been
  /// given out again.
  void onStoreRestored();
  /// Number of hosts that share the store.
  void setHosts(std::size_t Hosts) { Reads_.setHosts(Hosts); }
  /// Whether \p Version is the only version of \p Services with a record, by a
  /// read of the store that begins now. False if that is not known by
  /// \p Deadline.
  transport::Awaitable<bool> isOnlyRecord(std::set<std::string> Services,
                                          std::string Version,
                                          SteadyTime Deadline);

private:
  // SharedStoreReadListener
  void onItemsRead(const std::vector<protocol::StoreItem> &Items) override;

  /// A record that this host writes.
  struct Kept {
    std::uint64_t Lease_ = 0; ///< 0 if this host has not written it.
    SteadyTime WrittenAt_{};
    SteadyTime NextCallAt_{};
  };

  transport::Awaitable<void> run();
  transport::Awaitable<void> keep(coordination::VersionName Name);
  /// False if the record has to be written again.
  transport::Awaitable<bool> write(coordination::VersionName Name);
  void noteUnrecorded(const std::vector<coordination::VersionName> &Registered,
                      SteadyTime Now);
  /// Whether this host writes the record of a registered version.
  bool shouldKeep(const coordination::VersionName &Name, SteadyTime Now);
  /// The version that a record names; nothing if it is unreadable.
  std::optional<coordination::VersionName>
  readRecord(const protocol::StoreItem &Item);
  bool needsWrite(const coordination::VersionName &Name, const Kept &Record,
                  SteadyTime Now) const;

  transport::Loop &Loop_;
  protocol::PlatformStore &Store_;
  coordination::ServiceVersions &Versions_;
  const VersionWriterElection &Election_;
  VersionRecordsSettings Settings_;
  std::map<coordination::VersionName, Kept> Kept_;
  std::uint64_t Restores_ = 0; ///< Number of restores so far.
  /// Registered versions without a record, and since when.
  std::map<coordination::VersionName, SteadyTime> UnrecordedSince_;
  std::optional<SteadyTime> UnreadableLoggedAt_;
  SharedStoreRead Reads_;
  /// The versions of each service with a record, as found by the last read.
  std::map<std::string, std::set<std::string>> Read_;
};

} // namespace amaranth::serving

#endif
