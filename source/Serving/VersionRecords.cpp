#include "Serving/VersionRecords.h"

#include "Protocol/FleetMessages.h"
#include "Serving/StoreKeys.h"
#include "Support/Log.h"

#include <set>

namespace amaranth::serving {

using coordination::VersionName;
using protocol::FleetMessage;
using protocol::ServiceVersion;
using protocol::StoreItem;
using protocol::StoreLease;
using protocol::StoreStatus;
using transport::Awaitable;

namespace {

/// At most one line about unreadable records in this time.
constexpr Seconds UnreadableLogPeriod{10};

} // namespace

VersionRecords::VersionRecords(transport::Loop &Executor,
                               protocol::PlatformStore &Store,
                               coordination::ServiceVersions &Versions,
                               const VersionWriterElection &Election,
                               VersionRecordsSettings Settings)
    : Loop_(Executor), Store_(Store), Versions_(Versions), Election_(Election),
      Settings_(Settings),
      Reads_(Executor, Store, *this,
             {keyPrefix(), Settings.MinReadPeriod_, Settings.ReadsPerSecond_}) {
}

const std::string &VersionRecords::keyPrefix() {
  static const std::string Prefix = "amaranth/versions/";
  return Prefix;
}

std::string VersionRecords::key(const VersionName &Name) {
  return keyPrefix() + storeKeyPart(Name.Service_) + "/" +
         storeKeyPart(Name.Version_);
}

void VersionRecords::start() {
  transport::startTask(Loop_, run());
  Reads_.start();
}

void VersionRecords::onRecordChanged(const StoreItem &Item, SteadyTime Now) {
  if (Item.Removed_) {
    Versions_.removeRecord(Item.Key_);
    LogEvent(LogLevel::Info, "version_record_ended").field("key", Item.Key_);
    return;
  }
  if (std::optional<VersionName> Name = readRecord(Item))
    Versions_.setRecord(Item.Key_, *Name, Now);
  else
    Versions_.removeRecord(Item.Key_);
}

void VersionRecords::onStoreRestored() {
  Kept_.clear();
  ++Restores_;
}

std::optional<VersionName> VersionRecords::readRecord(const StoreItem &Item) {
  std::optional<FleetMessage> Message =
      protocol::decodeFleetMessage(Item.Value_);
  const auto *Record =
      Message ? std::get_if<ServiceVersion>(&*Message) : nullptr;
  if (Record && key({Record->Service_, Record->Version_}) == Item.Key_)
    return VersionName{Record->Service_, Record->Version_};
  SteadyTime Now = SteadyClock::now();
  if (!UnreadableLoggedAt_ ||
      Now - *UnreadableLoggedAt_ >= UnreadableLogPeriod) {
    UnreadableLoggedAt_ = Now;
    LogEvent(LogLevel::Warn, "version_record_unreadable")
        .field("key", Item.Key_);
  }
  return std::nullopt;
}

void VersionRecords::onItemsRead(const std::vector<StoreItem> &Items) {
  Read_.clear();
  for (const StoreItem &Item : Items)
    if (std::optional<VersionName> Name = readRecord(Item))
      Read_[Name->Service_].insert(Name->Version_);
}

Awaitable<bool> VersionRecords::isOnlyRecord(std::set<std::string> Services,
                                             std::string Version,
                                             SteadyTime Deadline) {
  bool IsRead = co_await Reads_.read(Deadline);
  if (!IsRead)
    co_return false;
  std::set<std::string> Recorded;
  for (const auto &[Service, Versions] : Read_)
    if (Services.contains(Service))
      Recorded.insert(Versions.begin(), Versions.end());
  co_return Recorded == std::set{Version};
}

void VersionRecords::noteUnrecorded(const std::vector<VersionName> &Registered,
                                    SteadyTime Now) {
  std::set<VersionName> Unrecorded;
  for (const VersionName &Name : Registered)
    if (!Versions_.recordedAt(Name))
      Unrecorded.insert(Name);
  std::erase_if(UnrecordedSince_, [&](const auto &Entry) {
    return !Unrecorded.contains(Entry.first);
  });
  for (const VersionName &Name : Unrecorded)
    UnrecordedSince_.try_emplace(Name, Now);
}

bool VersionRecords::shouldKeep(const VersionName &Name, SteadyTime Now) {
  if (Election_.writesVersionsOf(Name.Service_))
    return true;
  auto Unrecorded = UnrecordedSince_.find(Name);
  return Unrecorded != UnrecordedSince_.end() && Election_.watchesStore() &&
         Now - Unrecorded->second >= Settings_.OverdueTime_;
}

Awaitable<void> VersionRecords::run() {
  for (;;) {
    co_await transport::pause(Loop_, Settings_.CheckPeriod_);
    if (!Versions_.isComplete())
      continue;
    SteadyTime Now = SteadyClock::now();
    std::vector<VersionName> Registered = Versions_.registered();
    noteUnrecorded(Registered, Now);
    std::erase_if(Registered, [&](const VersionName &Name) {
      return !shouldKeep(Name, Now);
    });
    std::set<VersionName> OwnRecords(Registered.begin(), Registered.end());
    // The leases of other records end by themselves: ending them could remove
    // a record that another host has just taken over.
    std::erase_if(Kept_, [&](const auto &Entry) {
      return !OwnRecords.contains(Entry.first);
    });
    for (const VersionName &Name : Registered)
      co_await keep(Name);
  }
}

bool VersionRecords::needsWrite(const VersionName &Name, const Kept &Record,
                                SteadyTime Now) const {
  std::optional<SteadyTime> RecordedAt = Versions_.recordedAt(Name);
  if (Record.Lease_ == 0)
    return !RecordedAt || Now - *RecordedAt >= Settings_.RenewPeriod_;
  return !RecordedAt && Now - Record.WrittenAt_ >= Settings_.MissingTime_;
}

Awaitable<void> VersionRecords::keep(VersionName Name) {
  SteadyTime Now = SteadyClock::now();
  Kept &Record = Kept_[Name];
  if (needsWrite(Name, Record, Now)) {
    if (Now < Record.NextCallAt_ && Record.Lease_ == 0)
      co_return;
    bool IsWritten = co_await write(Name);
    Kept_[Name].NextCallAt_ =
        SteadyClock::now() +
        (IsWritten ? Settings_.RenewPeriod_ : Settings_.RetryPeriod_);
    co_return;
  }
  if (Record.Lease_ == 0 || Now < Record.NextCallAt_)
    co_return;
  std::uint64_t Lease = Record.Lease_;
  std::uint64_t RestoresBefore = Restores_;
  StoreStatus Status = co_await Store_.keepLease(Lease);
  if (Restores_ != RestoresBefore)
    co_return;
  Kept &Renewed = Kept_[Name];
  if (Status == StoreStatus::Ok) {
    Renewed.NextCallAt_ = SteadyClock::now() + Settings_.RenewPeriod_;
    co_return;
  }
  Renewed.NextCallAt_ = SteadyClock::now() + Settings_.RetryPeriod_;
  if (Status != StoreStatus::LeaseNotFound)
    co_return;
  Renewed = {};
  bool IsWritten = co_await write(Name);
  if (!IsWritten)
    Kept_[Name].NextCallAt_ = SteadyClock::now() + Settings_.RetryPeriod_;
}

Awaitable<bool> VersionRecords::write(VersionName Name) {
  std::uint64_t RestoresBefore = Restores_;
  StoreLease Lease = co_await Store_.grantLease(Settings_.LeaseTime_);
  if (Lease.Status_ != StoreStatus::Ok)
    co_return false;
  ServiceVersion Record{Name.Service_, Name.Version_};
  std::string Key = key(Name);
  std::string Value = protocol::encodeFleetMessage(FleetMessage(Record));
  StoreStatus Status = co_await Store_.put(Key, Value, Lease.Id_);
  LogEvent(LogLevel::Info, "version_record_written")
      .field("service", Name.Service_)
      .field("version", Name.Version_)
      .field("status", toString(Status));
  if (Restores_ != RestoresBefore)
    co_return false;
  Kept &Written = Kept_[Name];
  Written.Lease_ = Status == StoreStatus::Ok ? Lease.Id_ : 0;
  if (Status != StoreStatus::Ok)
    co_return false;
  Written.WrittenAt_ = SteadyClock::now();
  co_return true;
}

} // namespace amaranth::serving
