/// \file
/// Records of the streams of all hosts in the platform's store.
#ifndef AMARANTH_SERVING_STREAMRECORDS_H
#define AMARANTH_SERVING_STREAMRECORDS_H

#include "Coordination/Streams/BegunStreams.h"
#include "Protocol/PlatformStore.h"
#include "Serving/SharedStoreRead.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace amaranth::serving {

/// Settings of StreamRecords.
struct StreamRecordsSettings {
  std::string Host_;
  /// Differs after each start of the host, so that it does not replace the
  /// record of its predecessor.
  std::uint64_t Incarnation_ = 0;
  /// A record is renewed, and written again, this often; it then outlasts the
  /// window. Writing it again replaces what a late call or an older copy of the
  /// store has brought back.
  Milliseconds RenewPeriod_{15000};
  Milliseconds LeaseTime_ = coordination::StreamWindow + Seconds{20};
  Milliseconds RetryPeriod_{500};
  Milliseconds CheckPeriod_{20};
  Milliseconds MinWritePeriod_{200};
  Milliseconds MinReadPeriod_{250};
  /// Calls a second that the store allows all hosts together, of which the
  /// records of streams use a quarter.
  double WritesPerSecond_ = 400;
  double ReadsPerSecond_ = 2000;
  std::size_t MaxValueBytes_ = 1024 * 1024;
};

/// Writes the streams that this host began to a record of its own while several
/// versions of their service are in the window, and reads the records of all
/// hosts when a stream is looked up.
class StreamRecords final : private SharedStoreReadListener {
public:
  StreamRecords(transport::Loop &Executor, protocol::PlatformStore &Store,
                const coordination::ServiceVersions &Versions,
                const coordination::BegunStreams &Begun,
                StreamRecordsSettings Settings);

  static const std::string &keyPrefix();

  void start();
  /// A stream was added to the host's own.
  void onStreamBegun() { HasChanged_ = true; }
  /// The store was restored from an older copy: its ids of leases may have been
  /// given out again, and the record may be missing.
  void onStoreRestored();
  /// Number of hosts that share the store.
  void setHosts(std::size_t Hosts);
  Milliseconds writePeriod() const;
  Milliseconds readPeriod() const { return Reads_.period(); }
  /// The version that began \p Stream according to the records; nothing if they
  /// do not have it, name several versions or cannot be read by \p Deadline.
  transport::Awaitable<std::optional<std::string>>
  findVersion(std::uint64_t Stream, SteadyTime Deadline);

private:
  // SharedStoreReadListener
  void onItemsRead(const std::vector<protocol::StoreItem> &Items) override;

  /// Versions of the streams as they were read; an empty optional means that
  /// records contradict each other.
  using VersionMap =
      std::unordered_map<std::uint64_t, std::optional<std::string>>;

  transport::Awaitable<void> writeRecords();
  transport::Awaitable<bool> write();
  transport::Awaitable<void> renew();
  void noteUnreadable(const std::string &Key);

  transport::Loop &Loop_;
  protocol::PlatformStore &Store_;
  const coordination::ServiceVersions &Versions_;
  const coordination::BegunStreams &Begun_;
  StreamRecordsSettings Settings_;
  std::string Key_;
  std::size_t Hosts_ = 1;

  bool HasChanged_ = false;
  std::set<std::string> WrittenServices_; ///< Those with several versions.
  std::uint64_t Lease_ = 0;
  std::uint64_t Restores_ = 0; ///< Number of restores so far.
  SteadyTime NextWriteAt_{};
  SteadyTime RenewAt_{};

  SharedStoreRead Reads_;
  VersionMap Read_; ///< As found by the last read.
  std::optional<SteadyTime> UnreadableLoggedAt_;
};

} // namespace amaranth::serving

#endif
