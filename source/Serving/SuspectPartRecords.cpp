#include "Serving/SuspectPartRecords.h"

#include "Support/Log.h"

#include <algorithm>

namespace amaranth::serving {

using protocol::FleetMessage;
using protocol::StoreItem;
using protocol::StoreItems;
using protocol::StoreLease;
using protocol::StoreStatus;
using protocol::SuspectPart;
using protocol::SuspectParts;
using transport::Awaitable;

namespace {

const std::string RecordPrefix = "amaranth/suspect-parts/";

/// The store bounds the length of keys, and its messages are text.
bool isValidKeyPart(const std::string &Id) {
  constexpr std::size_t MaxLength = 128;
  return Id.size() <= MaxLength &&
         std::all_of(Id.begin(), Id.end(), [](char C) {
           return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'z') ||
                  (C >= 'A' && C <= 'Z');
         });
}

} // namespace

SuspectPartRecords::SuspectPartRecords(
    transport::Loop &Executor, protocol::PlatformStore &Store,
    coordination::SuspectPartRegistry &Registry,
    SuspectPartRecordsSettings Settings)
    : Loop_(Executor), Store_(Store), Registry_(Registry), Settings_(Settings),
      HasChanged_(Executor) {}

void SuspectPartRecords::start() { transport::startTask(Loop_, run()); }

void SuspectPartRecords::onPartChanged(const std::string &Id, bool IsWriter) {
  bool IsSuspect = Registry_.findSuspect(Id, SteadyClock::now()).has_value();
  if (!IsSuspect && !Suspects_.contains(Id))
    return;
  if (IsSuspect)
    Suspects_.insert(Id);
  else
    Suspects_.erase(Id);
  if (!IsWriter || !isValidKeyPart(Id))
    return;
  Changed_.insert(Id);
  HasChanged_.notify();
}

Awaitable<void> SuspectPartRecords::run() {
  co_await readRecords();
  for (;;) {
    if (Changed_.empty()) {
      SteadyTime NoDeadline = SteadyTime::max();
      co_await HasChanged_.wait(NoDeadline);
      continue;
    }
    std::string Id = *Changed_.begin();
    Changed_.erase(Changed_.begin());
    bool IsWritten = co_await writeRecord(Id);
    if (IsWritten)
      continue;
    Changed_.insert(Id);
    co_await transport::pause(Loop_, Settings_.RetryPeriod_);
  }
}

Awaitable<void> SuspectPartRecords::readRecords() {
  std::string Prefix = RecordPrefix;
  StoreItems Records = co_await Store_.range(Prefix);
  while (Records.Status_ != StoreStatus::Ok) {
    co_await transport::pause(Loop_, Settings_.RetryPeriod_);
    Records = co_await Store_.range(Prefix);
  }
  for (const StoreItem &Record : Records.Items_) {
    std::optional<FleetMessage> Message =
        protocol::decodeFleetMessage(Record.Value_);
    const auto *Parts =
        Message ? std::get_if<SuspectParts>(&*Message) : nullptr;
    if (!Parts) {
      LogEvent(LogLevel::Warn, "suspect_record_unreadable")
          .field("key", Record.Key_);
      continue;
    }
    Registry_.merge(*Parts, SteadyClock::now());
    for (const SuspectPart &Part : Parts->Parts_)
      if (!Part.Cleared_)
        Suspects_.insert(Part.Id_);
  }
  LogEvent(LogLevel::Info, "suspect_records_read")
      .field("records", Records.Items_.size());
}

Awaitable<bool> SuspectPartRecords::writeRecord(const std::string &Id) {
  StoreLease Lease = co_await Store_.grantLease(Settings_.LeaseTime_);
  if (Lease.Status_ != StoreStatus::Ok)
    co_return false;
  SuspectPart Cleared;
  Cleared.Id_ = Id;
  Cleared.Answered_ = true;
  Cleared.Cleared_ = true;
  SuspectParts Record;
  Record.Parts_.push_back(
      Registry_.findSuspect(Id, SteadyClock::now()).value_or(Cleared));
  std::string Key = RecordPrefix + Id;
  std::string Value = protocol::encodeFleetMessage(FleetMessage(Record));
  StoreStatus Status = co_await Store_.put(Key, Value, Lease.Id_);
  LogEvent(LogLevel::Info, "suspect_record_written")
      .field("part", Id)
      .field("cleared", Record.Parts_[0].Cleared_ ? 1 : 0)
      .field("status", toString(Status));
  // A call that the store refuses would be refused again.
  co_return Status == StoreStatus::Ok || Status == StoreStatus::Invalid;
}

} // namespace amaranth::serving
