#include "Serving/StreamRecords.h"

#include "Serving/StoreKeys.h"
#include "Support/Log.h"

#include <algorithm>

namespace amaranth::serving {

using protocol::FleetMessage;
using protocol::StoreItem;
using protocol::StoreItems;
using protocol::StoreLease;
using protocol::StoreStatus;
using protocol::StreamVersion;
using protocol::StreamVersions;
using transport::Awaitable;

namespace {

/// At most one line about unreadable records in this time.
constexpr Seconds UnreadableLogPeriod{10};
/// Of a stream in a record.
constexpr std::size_t BytesPerStream = 10;
/// A lookup ends after so many reads. The second one finds a stream that began
/// just before the first.
constexpr int ReadsPerLookup = 2;

} // namespace

StreamRecords::StreamRecords(transport::Loop &Executor,
                             protocol::PlatformStore &Store,
                             const coordination::ServiceVersions &Versions,
                             const coordination::BegunStreams &Begun,
                             StreamRecordsSettings Settings)
    : Loop_(Executor), Store_(Store), Versions_(Versions), Begun_(Begun),
      Settings_(std::move(Settings)),
      Key_(keyPrefix() + storeKeyPart(Settings_.Host_) + "/" +
           std::to_string(Settings_.Incarnation_)),
      Reads_(
          Executor, Store, *this,
          {keyPrefix(), Settings_.MinReadPeriod_, Settings_.ReadsPerSecond_}) {}

const std::string &StreamRecords::keyPrefix() {
  static const std::string Prefix = "amaranth/streams/";
  return Prefix;
}

void StreamRecords::start() {
  transport::startTask(Loop_, writeRecords());
  Reads_.start();
}

Milliseconds StreamRecords::writePeriod() const {
  return sharedCallPeriod(Hosts_, Settings_.WritesPerSecond_,
                          Settings_.MinWritePeriod_);
}

void StreamRecords::setHosts(std::size_t Hosts) {
  Hosts_ = Hosts;
  Reads_.setHosts(Hosts);
}

void StreamRecords::onStoreRestored() {
  Lease_ = 0;
  HasChanged_ = true;
  ++Restores_;
}

Awaitable<void> StreamRecords::writeRecords() {
  for (;;) {
    co_await transport::pause(Loop_, Settings_.CheckPeriod_);
    SteadyTime Now = SteadyClock::now();
    std::set<std::string> Several = Versions_.withSeveral(Now);
    if (Several != WrittenServices_) {
      WrittenServices_ = std::move(Several);
      HasChanged_ = true;
      LogEvent(LogLevel::Info, "services_with_several_versions")
          .field("services", WrittenServices_.size());
    }
    if (WrittenServices_.empty()) {
      HasChanged_ = false;
      Lease_ = 0;
      continue;
    }
    if (Lease_ != 0 && Now >= RenewAt_)
      co_await renew();
    if (!HasChanged_ || SteadyClock::now() < NextWriteAt_)
      continue;
    HasChanged_ = false;
    bool IsWritten = co_await write();
    HasChanged_ = HasChanged_ || !IsWritten;
    NextWriteAt_ =
        Now + (IsWritten ? writePeriod()
                         : std::max(writePeriod(), Settings_.RetryPeriod_));
  }
}

Awaitable<void> StreamRecords::renew() {
  RenewAt_ = SteadyClock::now() + Settings_.RenewPeriod_;
  HasChanged_ = true;
  std::uint64_t RestoresBefore = Restores_;
  StoreStatus Status = co_await Store_.keepLease(Lease_);
  if (Restores_ != RestoresBefore)
    co_return;
  if (Status == StoreStatus::LeaseNotFound)
    Lease_ = 0;
  else if (Status != StoreStatus::Ok)
    RenewAt_ = SteadyClock::now() + Settings_.RetryPeriod_;
}

Awaitable<bool> StreamRecords::write() {
  SteadyTime Now = SteadyClock::now();
  std::size_t MaxStreams = Settings_.MaxValueBytes_ / 2 / BytesPerStream;
  StreamVersions Record = Begun_.record(
      [this](const std::string &Service) {
        return WrittenServices_.contains(Service);
      },
      MaxStreams, Now);
  if (Record.Streams_.empty() && Lease_ == 0)
    co_return true;
  std::uint64_t RestoresBefore = Restores_;
  if (Lease_ == 0) {
    StoreLease Lease = co_await Store_.grantLease(Settings_.LeaseTime_);
    if (Lease.Status_ != StoreStatus::Ok || Restores_ != RestoresBefore)
      co_return false;
    Lease_ = Lease.Id_;
    RenewAt_ = SteadyClock::now() + Settings_.RenewPeriod_;
  }
  std::string Key = Key_;
  std::string Value = protocol::encodeFleetMessage(FleetMessage(Record));
  StoreStatus Status = co_await Store_.put(Key, Value, Lease_);
  if (Status == StoreStatus::LeaseNotFound)
    Lease_ = 0;
  LogEvent(Status == StoreStatus::Ok ? LogLevel::Debug : LogLevel::Warn,
           "stream_record_written")
      .field("streams", Record.Streams_.size())
      .field("bytes", Value.size())
      .field("status", toString(Status));
  if (Restores_ != RestoresBefore)
    co_return false;
  // A call that the store refuses would be refused again.
  co_return Status == StoreStatus::Ok || Status == StoreStatus::Invalid;
}

void StreamRecords::onItemsRead(const std::vector<StoreItem> &Items) {
  Read_.clear();
  for (const StoreItem &Item : Items) {
    std::optional<FleetMessage> Message =
        protocol::decodeFleetMessage(Item.Value_);
    const auto *Record =
        Message ? std::get_if<StreamVersions>(&*Message) : nullptr;
    if (!Record) {
      noteUnreadable(Item.Key_);
      continue;
    }
    for (const StreamVersion &Stream : Record->Streams_) {
      const std::string &Version = Record->Versions_[Stream.Version_];
      auto [Known, IsNew] = Read_.try_emplace(Stream.Stream_, Version);
      if (!IsNew && Known->second != Version)
        Known->second.reset();
    }
  }
}

void StreamRecords::noteUnreadable(const std::string &Key) {
  SteadyTime Now = SteadyClock::now();
  if (UnreadableLoggedAt_ && Now - *UnreadableLoggedAt_ < UnreadableLogPeriod)
    return;
  UnreadableLoggedAt_ = Now;
  LogEvent(LogLevel::Warn, "stream_record_unreadable").field("key", Key);
}

Awaitable<std::optional<std::string>>
StreamRecords::findVersion(std::uint64_t Stream, SteadyTime Deadline) {
  for (int Reads = 0;; ++Reads) {
    auto Found = Read_.find(Stream);
    if (Found != Read_.end())
      co_return Found->second;
    if (Reads == ReadsPerLookup || SteadyClock::now() >= Deadline)
      co_return std::nullopt;
    co_await Reads_.read(Deadline);
  }
}

} // namespace amaranth::serving
