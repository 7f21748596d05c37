/// \file
/// Versions of streams, kept in the platform's store.
#ifndef AMARANTH_SERVING_STOREDSTREAMORIGINS_H
#define AMARANTH_SERVING_STOREDSTREAMORIGINS_H

#include "Serving/StreamOrigins.h"
#include "Serving/StreamRecords.h"
#include "Serving/VersionRecords.h"
#include "State/RoutingTable.h"

namespace amaranth::serving {

/// Settings of StoredStreamOrigins.
struct StoredStreamOriginsSettings {
  coordination::ServiceVersionsSettings Versions_{};
  VersionRecordsSettings VersionRecords_{};
  StreamRecordsSettings Streams_{};
};

/// Finds the version that began a stream: one of this host's streams; any
/// stream, if only one version of the service is in the window; otherwise a
/// stream in the records of the hosts.
class StoredStreamOrigins final : public StreamOrigins {
public:
  StoredStreamOrigins(transport::Loop &Executor, protocol::PlatformStore &Store,
                      const VersionWriterElection &Election,
                      const StoredStreamOriginsSettings &Settings);

  void start();
  void onConfiguration(const state::RoutingTable &Table);
  void onTarget(const state::TargetRecord &Target, SteadyTime Now);
  void onTargetRemoved(const std::string &Id, SteadyTime Now);
  /// Call for every change under VersionRecords::keyPrefix().
  void onVersionRecord(const protocol::StoreItem &Item, SteadyTime Now);
  void onStoreRestored();
  void onVersionRecordsComplete() { Versions_.onRecordsComplete(); }
  /// Whether the records of targets and versions follow the store. Call often.
  void update(bool IsCurrent, std::size_t Hosts, SteadyTime Now);
  // StreamOrigins
  std::optional<std::string>
  findOwnVersion(const std::string &Service,
                 const std::string &RequestId) const override;
  transport::Awaitable<std::optional<std::string>>
  findVersion(std::string Service, std::string RequestId,
              SteadyTime Deadline) override;
  void onStreamBegun(const std::string &Service, const std::string &RequestId,
                     const std::string &Version) override;
  bool mayBegin(const state::TargetRecord &Target,
                SteadyTime Now) const override;

private:
  /// The version that began all streams of \p Service, if the store confirms
  /// that there is only one.
  transport::Awaitable<std::optional<std::string>>
  findOnlyVersion(std::string Service, SteadyTime Deadline);
  /// Whether this host would know of a further version.
  bool isCurrent(SteadyTime Now) const;

  transport::Loop &Loop_;
  coordination::ServiceVersions Versions_;
  coordination::BegunStreams Begun_;
  VersionRecords VersionRecords_;
  StreamRecords StreamRecords_;
  Milliseconds SettleTime_;
  bool IsCurrent_ = false;
  std::optional<SteadyTime> UpdatedAt_;
  SteadyTime CurrentFrom_{}; ///< Later after this host did not run for a time.
};

} // namespace amaranth::serving

#endif
