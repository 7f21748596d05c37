#include "Serving/StoredStreamOrigins.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace amaranth;
using namespace amaranth::protocol;
using namespace amaranth::serving;
using transport::Awaitable;

namespace {

/// A store in memory that can be unavailable and can lose its leases.
struct MemoryStore final : PlatformStore {
  Awaitable<StoreItems> range(std::string Prefix) override {
    ++Reads_;
    StoreItems Found;
    Found.Status_ = Status_;
    for (const auto &[Key, Value] : Values_)
      if (Key.starts_with(Prefix))
        Found.Items_.push_back({Key, Value, 1, false});
    co_return Found;
  }
  Awaitable<StoreItems> watch(std::string, std::uint64_t,
                              Milliseconds) override {
    co_return StoreItems{};
  }
  Awaitable<StoreLease> grantLease(Milliseconds TimeToLive) override {
    StoreLease Lease;
    Lease.Status_ = Status_;
    Lease.Id_ = ++LastLease_;
    Lease.TimeToLive_ = TimeToLive;
    co_return Lease;
  }
  Awaitable<StoreStatus> keepLease(std::uint64_t Id) override {
    UsedLeases_.insert(Id);
    if (Status_ != StoreStatus::Ok)
      co_return Status_;
    co_return Id > EndedLeases_ ? StoreStatus::Ok : StoreStatus::LeaseNotFound;
  }
  Awaitable<StoreStatus> endLease(std::uint64_t) override {
    co_return StoreStatus::Ok;
  }
  Awaitable<StoreStatus> put(std::string Key, std::string Value,
                             std::uint64_t Lease) override {
    ++Writes_;
    UsedLeases_.insert(Lease);
    if (Status_ != StoreStatus::Ok)
      co_return Status_;
    if (Lease <= EndedLeases_)
      co_return StoreStatus::LeaseNotFound;
    Values_[Key] = Value;
    co_return StoreStatus::Ok;
  }
  /// The keys are removed with their leases.
  void endAllLeases() {
    EndedLeases_ = LastLease_;
    Values_.clear();
  }

  StoreStatus Status_ = StoreStatus::Ok;
  std::map<std::string, std::string> Values_;
  std::uint64_t LastLease_ = 0;
  std::uint64_t EndedLeases_ = 0;
  std::set<std::uint64_t> UsedLeases_; ///< Renewed or written with.
  int Writes_ = 0;
  int Reads_ = 0;
};

constexpr Milliseconds RenewPeriod{100};

/// One start of an entry host that follows the records of versions.
struct OriginsHost final : VersionWriterElection {
  OriginsHost(MemoryStore &Store, const std::string &Name,
              std::uint64_t Incarnation = 1, bool IsWriter = true)
      : Store_(Store), IsWriter_(IsWriter),
        Origins_(Loop_, Store, *this,
                 {versionSettings(), recordSettings(),
                  streamSettings(Name, Incarnation)}) {
    state::RoutingTable Table;
    state::Route Resumable;
    Resumable.Kind_ = state::RequestKind::Stream;
    Resumable.IsResumable_ = true;
    Resumable.Services_ = {{"engine", 1}};
    Table.Routes_.push_back(Resumable);
    Origins_.onConfiguration(Table);
    followRecords();
    Origins_.onVersionRecordsComplete();
    Origins_.start();
    run();
  }

  static coordination::ServiceVersionsSettings versionSettings() {
    coordination::ServiceVersionsSettings Settings;
    Settings.SettleTime_ = Milliseconds{20};
    return Settings;
  }
  static VersionRecordsSettings recordSettings() {
    VersionRecordsSettings Settings;
    Settings.RenewPeriod_ = RenewPeriod;
    Settings.RetryPeriod_ = Milliseconds{5};
    Settings.MissingTime_ = Milliseconds{30};
    Settings.CheckPeriod_ = Milliseconds{5};
    Settings.MinReadPeriod_ = Milliseconds{12};
    Settings.OverdueTime_ = Milliseconds{60};
    return Settings;
  }
  static StreamRecordsSettings streamSettings(const std::string &Name,
                                              std::uint64_t Incarnation) {
    StreamRecordsSettings Settings;
    Settings.Host_ = Name;
    Settings.Incarnation_ = Incarnation;
    Settings.RenewPeriod_ = RenewPeriod;
    Settings.RetryPeriod_ = Milliseconds{5};
    Settings.CheckPeriod_ = Milliseconds{2};
    Settings.MinWritePeriod_ = Milliseconds{10};
    Settings.MinReadPeriod_ = Milliseconds{12};
    return Settings;
  }
  bool writesVersionsOf(const std::string &) const override {
    return IsWriter_;
  }
  bool watchesStore() const override { return WatchesStore_; }

  void followRecords() {
    std::map<std::string, std::string> Current;
    if (!FollowsRecords_ || Store_.Status_ != StoreStatus::Ok)
      return;
    for (const auto &[Key, Value] : Store_.Values_)
      if (Key.starts_with(VersionRecords::keyPrefix()))
        Current[Key] = Value;
    SteadyTime Now = SteadyClock::now();
    for (const auto &[Key, Value] : Known_)
      if (!Current.contains(Key))
        Origins_.onVersionRecord({Key, "", 1, true}, Now);
    for (const auto &[Key, Value] : Current)
      if (!Known_.contains(Key))
        Origins_.onVersionRecord({Key, Value, 1, false}, Now);
    Known_ = Current;
  }
  void run(Milliseconds Time = Milliseconds{40}) {
    SteadyTime End = SteadyClock::now() + Time;
    while (SteadyClock::now() < End) {
      followRecords();
      Origins_.update(IsCurrent_, 1, SteadyClock::now());
      Loop_.run_for(Milliseconds{5});
    }
  }
  void add(const std::string &Id, const std::string &Version) {
    state::TargetRecord Target;
    Target.Id_ = Id;
    Target.Service_ = "engine";
    Target.Version_ = Version;
    Origins_.onTarget(Target, SteadyClock::now());
    run();
  }
  void begin(const std::string &Request, const std::string &Version) {
    Origins_.onStreamBegun("engine", Request, Version);
    run();
  }
  /// Starts a lookup whose result is kept by the request.
  void lookUp(const std::string &Request) {
    auto Task = [](OriginsHost &Host, std::string Id) -> Awaitable<void> {
      SteadyTime Deadline = SteadyClock::now() + Milliseconds{400};
      std::string Service = "engine";
      Host.Results_[Id] =
          co_await Host.Origins_.findVersion(Service, Id, Deadline);
    };
    boost::asio::co_spawn(Loop_, Task(*this, Request), boost::asio::detached);
  }
  std::optional<std::string> find(const std::string &Request) {
    Results_.erase(Request);
    lookUp(Request);
    for (int I = 0; I < 400 && !Results_.contains(Request); ++I)
      run(Milliseconds{5});
    REQUIRE(Results_.contains(Request));
    return Results_[Request];
  }

  MemoryStore &Store_;
  bool IsWriter_;
  bool WatchesStore_ = false;
  bool IsCurrent_ = true;
  bool FollowsRecords_ = true; ///< Changes of the records arrive.
  transport::Loop Loop_;
  std::map<std::string, std::string> Known_;
  std::map<std::string, std::optional<std::string>> Results_;
  StoredStreamOrigins Origins_;
};

int streamRecords(const MemoryStore &Store) {
  int Count = 0;
  for (const auto &[Key, Value] : Store.Values_)
    Count += Key.starts_with(StreamRecords::keyPrefix()) ? 1 : 0;
  return Count;
}

} // namespace

// Guards against costs for each stream, and against refused take-ups, while a
// service has one version, also at hosts that start after all were killed.
TEST_CASE("stream origins: the only version began every stream") {
  MemoryStore Store;
  OriginsHost Former(Store, "h1");
  Former.add("i-1", "v1");
  int Writes = Store.Writes_;
  Former.begin("r1", "v1");
  CHECK(Store.Writes_ == Writes);
  OriginsHost Successor(Store, "h2");
  CHECK(Successor.find("r1") == "v1");
  CHECK(streamRecords(Store) == 0);
}

// Rule ORDER. Guards against streams of a version that has left and that are
// taken for streams of the version that serves now, at hosts that start after
// all were killed.
TEST_CASE("stream origins: streams are found after all hosts were killed") {
  MemoryStore Store;
  {
    OriginsHost Former(Store, "h1");
    Former.add("i-1", "v1");
    Former.begin("r1", "v1");
    Former.add("i-2", "v2");
    Former.begin("r2", "v2");
  }
  CHECK(streamRecords(Store) == 1);
  // The old version's targets are gone.
  OriginsHost Successor(Store, "h1", 2);
  Successor.add("i-2", "v2");
  Successor.begin("r3", "v2");
  CHECK(streamRecords(Store) == 2);
  CHECK(Successor.find("r1") == "v1");
  CHECK(Successor.find("r2") == "v2");
  CHECK(Successor.find("r3") == "v2");
  CHECK_FALSE(Successor.find("unknown"));
  OriginsHost Other(Store, "h2");
  Other.add("i-2", "v2");
  CHECK(Other.find("r3") == "v2");
}

// Rule ORDER. Guards against a host that is cut off, has not run or cannot read
// the records, and takes the version that it knows for the only one.
TEST_CASE("stream origins: a host that is not current finds own streams only") {
  MemoryStore Store;
  OriginsHost Host(Store, "h1");
  Host.add("i-1", "v1");
  Host.begin("r1", "v1");
  Host.IsCurrent_ = false;
  Host.run();
  CHECK(Host.find("r1") == "v1");
  CHECK_FALSE(Host.find("r2"));
  Host.IsCurrent_ = true;
  Host.run();
  CHECK(Host.find("r2") == "v1");
  Host.Origins_.update(true, 1, SteadyClock::now() + Seconds{5});
  CHECK_FALSE(Host.find("r3"));

  Store.Status_ = StoreStatus::Unavailable;
  OriginsHost Several(Store, "h2");
  Several.add("i-1", "v1");
  Several.add("i-2", "v2");
  CHECK_FALSE(Several.find("r1"));
  Several.begin("r4", "v2");
  CHECK(Several.find("r4") == "v2");
  // What could not be written is written when the store is back.
  CHECK(streamRecords(Store) == 0);
  Store.Status_ = StoreStatus::Ok;
  Several.run();
  CHECK(streamRecords(Store) == 1);
}

// Rule ORDER. Guards against a host that is out of step while targets of a new
// version join, and takes streams of that version up at the version that it
// knows: what it lacks may be on its way for longer than a new version waits.
TEST_CASE("stream origins: a version whose record is late is not overlooked") {
  const Milliseconds SettleTime = OriginsHost::versionSettings().SettleTime_;
  struct {
    Milliseconds RecordDelay_; ///< At the host that is out of step.
    Milliseconds TakenUpAfter_;
  } const Cases[] = {{SettleTime / 2, SettleTime - Milliseconds{5}},
                     {SettleTime - Milliseconds{2}, SettleTime},
                     {SettleTime + Milliseconds{2}, SettleTime},
                     {Seconds{60}, SettleTime + Milliseconds{5}},
                     {Seconds{60}, 10 * SettleTime}};
  for (const auto &[RecordDelay, TakenUpAfter] : Cases) {
    INFO("record after " << RecordDelay.count() << " ms, taken up after "
                         << TakenUpAfter.count() << " ms");
    MemoryStore Store;
    OriginsHost InStep(Store, "h1");
    InStep.add("i-1", "v1");
    OriginsHost OutOfStep(Store, "h2", 1, false);
    OutOfStep.add("i-1", "v1");
    REQUIRE(OutOfStep.find("r1") == "v1");
    OutOfStep.FollowsRecords_ = false;
    InStep.add("i-2", "v2");
    InStep.begin("r2", "v2");
    SteadyTime JoinedAt = SteadyClock::now();
    while (SteadyClock::now() < JoinedAt + TakenUpAfter) {
      if (SteadyClock::now() >= JoinedAt + RecordDelay)
        OutOfStep.FollowsRecords_ = true;
      OutOfStep.run(Milliseconds{1});
    }
    CHECK(OutOfStep.find("r2") == "v2");
    // A stream from before, of which no record says anything.
    CHECK_FALSE(OutOfStep.find("r1"));
  }
}

// Rule ORDER. Guards against a host that stands still between the arrival of a
// take-up and its look-up, too short to count as not current.
TEST_CASE("stream origins: a version that joins while a host stands still is "
          "not overlooked") {
  MemoryStore Store;
  OriginsHost InStep(Store, "h1");
  InStep.add("i-1", "v1");
  OriginsHost Frozen(Store, "h2", 1, false);
  Frozen.add("i-1", "v1");
  // Not run until the look-up: its records and its clock readings are old.
  InStep.add("i-2", "v2");
  InStep.begin("r2", "v2");
  Frozen.FollowsRecords_ = false;
  CHECK(Frozen.find("r2") == "v2");
}

// Rule ORDER. Guards against a take-up at the only known version while the
// store, which may know of another one, does not answer.
TEST_CASE("stream origins: a version that cannot be confirmed is not used") {
  MemoryStore Store;
  OriginsHost Host(Store, "h1");
  Host.add("i-1", "v1");
  REQUIRE(Host.find("r1") == "v1");
  Store.Status_ = StoreStatus::Unavailable;
  CHECK_FALSE(Host.find("r1"));
  Store.Status_ = StoreStatus::Ok;
  CHECK(Host.find("r1") == "v1");
}

// Rule LOST. Guards against records that stay away after the store has lost
// them with their leases.
TEST_CASE("stream origins: lost records are written again") {
  MemoryStore Store;
  OriginsHost Host(Store, "h1");
  Host.add("i-1", "v1");
  Host.add("i-2", "v2");
  Host.begin("r1", "v1");
  CHECK(Store.Values_.size() == 3);
  Store.endAllLeases();
  Host.run(2 * RenewPeriod);
  CHECK(Store.Values_.size() == 3);
  OriginsHost Other(Store, "h2");
  CHECK(Other.find("r1") == "v1");
}

// Rule LOST. Guards against records that end with the lease of another host,
// and against keeping that alive, after a restore of the store that gives out
// the ids of leases again.
TEST_CASE("stream origins: leases from before a restore are not used") {
  MemoryStore Store;
  OriginsHost Host(Store, "h1");
  Host.add("i-1", "v1");
  Host.add("i-2", "v2");
  Host.begin("r1", "v1");
  REQUIRE(Store.Values_.size() == 3);
  REQUIRE(Store.LastLease_ == 3);
  // The copy has nothing of it, and other hosts get the ids again.
  Store.Values_.clear();
  Store.UsedLeases_.clear();
  Host.Origins_.onStoreRestored();
  Host.run(2 * RenewPeriod);
  CHECK(Store.Values_.size() == 3);
  CHECK(*Store.UsedLeases_.begin() > 3);
}

// Guards against a read for each take-up, and against more writes than the
// store allows a large fleet.
TEST_CASE("stream origins: lookups share reads, and large fleets write less") {
  MemoryStore Store;
  OriginsHost Host(Store, "h1");
  Host.add("i-1", "v1");
  Host.add("i-2", "v2");
  int Reads = Store.Reads_;
  for (int I = 0; I < 50; ++I)
    Host.lookUp("r" + std::to_string(I));
  Host.run(Milliseconds{100});
  CHECK(Host.Results_.size() == 50);
  CHECK(Store.Reads_ - Reads <= 3);

  coordination::ServiceVersions Versions;
  coordination::BegunStreams Begun;
  StreamRecordsSettings Settings;
  StreamRecords Records(Host.Loop_, Store, Versions, Begun, Settings);
  Records.setHosts(5);
  CHECK(Records.writePeriod() == Milliseconds{200});
  CHECK(Records.readPeriod() == Milliseconds{250});
  Records.setHosts(2800);
  CHECK(Records.writePeriod() == Seconds{28});
  CHECK(Records.readPeriod() == Milliseconds{5600});
}

// Guards against records that others wrote, and names that are no valid keys,
// ending the host or hiding sound records.
TEST_CASE("stream origins: unreadable records and unusual names") {
  MemoryStore Store;
  Store.Values_["amaranth/versions/engine/x"] = "no message";
  Store.Values_["amaranth/versions/engine/v9"] =
      encodeFleetMessage(FleetMessage(ServiceVersion{"engine", "v3"}));
  Store.Values_["amaranth/streams/h9/1"] = "no message";
  Store.Values_["amaranth/streams/h9/2"] =
      encodeFleetMessage(FleetMessage(ServiceVersion{"engine", "v1"}));
  OriginsHost Host(Store, std::string(300, 'h') + "/\xff");
  std::string Unusual = "v/\xff" + std::string(300, 'v');
  Host.add("i-1", "v1");
  CHECK(Host.find("r0") == "v1");
  Host.add("i-2", Unusual);
  Host.add("i-3", "");
  Host.begin("r1", Unusual);
  for (const auto &[Key, Value] : Store.Values_)
    CHECK(Key.size() <= 200);
  OriginsHost Other(Store, "h2");
  CHECK(Other.find("r1") == Unusual);

  // Records that contradict each other do not say which version it was.
  StreamVersions Contradicting{{"v1"},
                               {{coordination::streamHash("engine", "r1"), 0}}};
  Store.Values_["amaranth/streams/h9/3"] =
      encodeFleetMessage(FleetMessage(Contradicting));
  OriginsHost Third(Store, "h3");
  CHECK_FALSE(Third.find("r1"));
}

// Guards against every host of a fleet writing the records of versions, and
// against records that end because their writer was replaced.
TEST_CASE("stream origins: the elected host writes the versions") {
  MemoryStore Store;
  OriginsHost Host(Store, "h1", 1, false);
  Host.add("i-1", "v1");
  CHECK(Store.Writes_ == 0);
  OriginsHost Writer(Store, "h2");
  Writer.add("i-1", "v1");
  CHECK(Store.Writes_ == 1);
  Host.IsWriter_ = true;
  Host.run(RenewPeriod / 2);
  CHECK(Store.Writes_ == 1);
  Host.run(RenewPeriod);
  CHECK(Store.Writes_ == 2);
}

// Rules ORDER, LOST. Guards against a version without a record because the
// elected host does not reach the store: it would get streams nevertheless, and
// none of them could be taken up at other hosts.
TEST_CASE("stream origins: a record that the elected host does not write") {
  MemoryStore Store;
  OriginsHost Watcher(Store, "h1", 1, false);
  OriginsHost Other(Store, "h2", 1, false);
  Watcher.WatchesStore_ = true;
  Watcher.add("i-1", "v1");
  Other.add("i-1", "v1");
  // The elected host has time to write it.
  CHECK(Store.Writes_ == 0);
  Watcher.run(2 * OriginsHost::recordSettings().OverdueTime_);
  Other.run(2 * OriginsHost::recordSettings().OverdueTime_);
  CHECK(Store.Writes_ == 1);
  Other.FollowsRecords_ = false;
  CHECK(Other.find("r1") == "v1");
  // The elected host takes the record over with the next renewal.
  OriginsHost Elected(Store, "h3");
  Elected.add("i-1", "v1");
  CHECK(Store.Writes_ == 1);
  Elected.run(RenewPeriod);
  Watcher.run(RenewPeriod);
  CHECK(Store.Writes_ == 2);
}
