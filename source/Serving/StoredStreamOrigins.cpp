#include "Serving/StoredStreamOrigins.h"

#include "Support/Log.h"

#include <algorithm>

namespace amaranth::serving {

using transport::Awaitable;

namespace {

/// A host that was not updated for so long may not have run. It may have missed
/// a version until it has heard from the store and its peers again.
constexpr Milliseconds MaxUpdatePause{1000};
/// A host that starts, or does not read the store, waits for it so long.
constexpr Milliseconds MaxCurrentWait{200};
constexpr Milliseconds CurrentCheckPeriod{20};

} // namespace

StoredStreamOrigins::StoredStreamOrigins(
    transport::Loop &Executor, protocol::PlatformStore &Store,
    const VersionWriterElection &Election,
    const StoredStreamOriginsSettings &Settings)
    : Loop_(Executor), Versions_(Settings.Versions_),
      VersionRecords_(Executor, Store, Versions_, Election,
                      Settings.VersionRecords_),
      StreamRecords_(Executor, Store, Versions_, Begun_, Settings.Streams_),
      SettleTime_(Settings.Versions_.SettleTime_) {}

void StoredStreamOrigins::start() {
  VersionRecords_.start();
  StreamRecords_.start();
}

void StoredStreamOrigins::onConfiguration(const state::RoutingTable &Table) {
  std::vector<std::set<std::string>> Routes;
  for (const state::Route &Route : Table.Routes_) {
    if (!Route.IsResumable_)
      continue;
    std::set<std::string> &Services = Routes.emplace_back();
    for (const state::ServiceShare &Share : Route.Services_)
      Services.insert(Share.Service_);
  }
  Versions_.setRoutes(Routes);
}

void StoredStreamOrigins::onTarget(const state::TargetRecord &Target,
                                   SteadyTime Now) {
  Versions_.setTarget(Target.Id_, {Target.Service_, Target.Version_},
                      !Target.IsDraining_, Now);
}

void StoredStreamOrigins::onTargetRemoved(const std::string &Id,
                                          SteadyTime Now) {
  Versions_.removeTarget(Id, Now);
}

void StoredStreamOrigins::onVersionRecord(const protocol::StoreItem &Item,
                                          SteadyTime Now) {
  VersionRecords_.onRecordChanged(Item, Now);
}

void StoredStreamOrigins::onStoreRestored() {
  VersionRecords_.onStoreRestored();
  StreamRecords_.onStoreRestored();
}

void StoredStreamOrigins::update(bool IsCurrent, std::size_t Hosts,
                                 SteadyTime Now) {
  if (UpdatedAt_ && Now - *UpdatedAt_ > MaxUpdatePause)
    CurrentFrom_ = Now + SettleTime_;
  UpdatedAt_ = Now;
  IsCurrent_ = IsCurrent;
  Versions_.forgetOld(Now);
  Begun_.forgetOld(Now);
  VersionRecords_.setHosts(Hosts);
  StreamRecords_.setHosts(Hosts);
}

bool StoredStreamOrigins::isCurrent(SteadyTime Now) const {
  return IsCurrent_ && Versions_.isComplete() && Now >= CurrentFrom_ &&
         UpdatedAt_ && Now - *UpdatedAt_ <= MaxUpdatePause;
}

bool StoredStreamOrigins::mayBegin(const state::TargetRecord &Target,
                                   SteadyTime Now) const {
  return Versions_.mayBegin({Target.Service_, Target.Version_}, Now);
}

Awaitable<std::optional<std::string>>
StoredStreamOrigins::findOnlyVersion(std::string Service, SteadyTime Deadline) {
  std::optional<std::string> Only =
      Versions_.findOnly(Service, SteadyClock::now());
  if (!Only)
    co_return std::nullopt;
  // Changes may reach this host late without its noticing. A version is
  // recorded before its first stream begins, and that before it is taken up: a
  // read that begins now finds it.
  std::set<std::string> Services = Versions_.alternatives(Service);
  bool IsConfirmed =
      co_await VersionRecords_.isOnlyRecord(Services, *Only, Deadline);
  bool IsStillOnly = Versions_.findOnly(Service, SteadyClock::now()) == Only;
  if (!IsConfirmed || !IsStillOnly)
    co_return std::nullopt;
  co_return Only;
}

std::optional<std::string>
StoredStreamOrigins::findOwnVersion(const std::string &Service,
                                    const std::string &RequestId) const {
  return Begun_.find(coordination::streamHash(Service, RequestId),
                     SteadyClock::now());
}

Awaitable<std::optional<std::string>>
StoredStreamOrigins::findVersion(std::string Service, std::string RequestId,
                                 SteadyTime Deadline) {
  SteadyTime Start = SteadyClock::now();
  std::uint64_t Stream = coordination::streamHash(Service, RequestId);
  const char *Source = "own";
  std::optional<std::string> Version = findOwnVersion(Service, RequestId);
  SteadyTime WaitUntil = std::min(Deadline, Start + MaxCurrentWait);
  while (!Version && !isCurrent(SteadyClock::now()) &&
         SteadyClock::now() < WaitUntil)
    co_await transport::pause(Loop_, CurrentCheckPeriod);
  if (!Version && isCurrent(SteadyClock::now())) {
    Source = "only_version";
    Version = co_await findOnlyVersion(Service, Deadline);
  }
  if (!Version) {
    Source = "record";
    Version = co_await StreamRecords_.findVersion(Stream, Deadline);
  }
  auto Elapsed =
      std::chrono::duration_cast<Milliseconds>(SteadyClock::now() - Start);
  if (Version)
    LogEvent(LogLevel::Info, "stream_origin_found")
        .field("service", Service)
        .field("resumes", RequestId)
        .field("version", *Version)
        .field("source", Source)
        .field("ms", Elapsed.count());
  else
    LogEvent(LogLevel::Warn, "stream_origin_unknown")
        .field("service", Service)
        .field("resumes", RequestId)
        .field("current", isCurrent(SteadyClock::now()) ? 1 : 0)
        .field("ms", Elapsed.count());
  co_return Version;
}

void StoredStreamOrigins::onStreamBegun(const std::string &Service,
                                        const std::string &RequestId,
                                        const std::string &Version) {
  Begun_.add(coordination::streamHash(Service, RequestId), {Service, Version},
             SteadyClock::now());
  StreamRecords_.onStreamBegun();
}

} // namespace amaranth::serving
