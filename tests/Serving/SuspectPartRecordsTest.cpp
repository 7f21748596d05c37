#include "Serving/SuspectPartRecords.h"

#include "Protocol/FleetMessages.h"

#include <catch2/catch.hpp>

#include <map>

using namespace amaranth;
using namespace amaranth::protocol;
using namespace amaranth::serving;
using coordination::SuspectPartPeers;
using coordination::SuspectPartRegistry;
using transport::Awaitable;

namespace {

/// A store in memory that can be unavailable.
struct MemoryStore final : PlatformStore {
  Awaitable<StoreItems> range(std::string Prefix) override {
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
    Lease.Id_ = 1;
    Lease.TimeToLive_ = TimeToLive;
    co_return Lease;
  }
  Awaitable<StoreStatus> keepLease(std::uint64_t) override {
    co_return StoreStatus::Ok;
  }
  Awaitable<StoreStatus> endLease(std::uint64_t) override {
    co_return StoreStatus::Ok;
  }
  Awaitable<StoreStatus> put(std::string Key, std::string Value,
                             std::uint64_t) override {
    ++Writes_;
    if (Status_ == StoreStatus::Ok)
      Values_[Key] = Value;
    co_return Status_;
  }

  StoreStatus Status_ = StoreStatus::Ok;
  std::map<std::string, std::string> Values_;
  int Writes_ = 0;
};

/// One host that is elected for all parts.
struct RecordingHost final : SuspectPartPeers {
  explicit RecordingHost(MemoryStore &Store)
      : Records_(Loop_, Store, Registry_, testSettings()) {
    Records_.start();
    run();
  }

  static SuspectPartRecordsSettings testSettings() {
    SuspectPartRecordsSettings Settings;
    Settings.RetryPeriod_ = Milliseconds{5};
    return Settings;
  }
  void reportParts(const SuspectParts &Report) override {
    for (const SuspectPart &Part : Report.Parts_)
      Records_.onPartChanged(Part.Id_, IsWriter_);
  }
  bool triesPart(const std::string &) const override { return true; }

  void run() { Loop_.run_for(Milliseconds{20}); }
  void crash(const std::string &Part, const std::string &Engine) {
    Now_ += Milliseconds{400};
    Registry_.onCrash({Part}, Engine, Now_);
    run();
  }
  bool isRefused(const std::string &Part) const {
    return Registry_.findRefused({Part}, Now_) != nullptr;
  }

  SteadyTime Now_ = SteadyClock::now() - Seconds{2};
  bool IsWriter_ = true;
  transport::Loop Loop_;
  SuspectPartRegistry Registry_{*this};
  SuspectPartRecords Records_;
};

} // namespace

// Rule BUDGET. Guards against parts that crash engines again after all hosts
// were killed, also if the store did not take the record at once.
TEST_CASE("suspect part records: a host that starts alone refuses the part") {
  MemoryStore Store;
  RecordingHost Former(Store);
  Former.crash("dead", "e1");
  Former.crash("dead", "e2");
  CHECK(Store.Writes_ == 0);
  Store.Status_ = StoreStatus::Unavailable;
  Former.crash("dead", "e3");
  CHECK(Store.Values_.empty());
  Store.Status_ = StoreStatus::Ok;
  Former.run();
  RecordingHost Successor(Store);
  CHECK(Successor.isRefused("dead"));

  Store.Status_ = StoreStatus::Unavailable;
  RecordingHost Waiting(Store);
  CHECK_FALSE(Waiting.isRefused("dead"));
  Store.Status_ = StoreStatus::Ok;
  Waiting.run();
  CHECK(Waiting.isRefused("dead"));
}

// Rule LOST. Guards against hosts that refuse a part because of a record that
// was written before the part was answered.
TEST_CASE("suspect part records: an answer replaces the record") {
  MemoryStore Store;
  RecordingHost Former(Store);
  for (std::string Engine : {"e1", "e2", "e3"})
    Former.crash("sound", Engine);
  RecordingHost Successor(Store);
  REQUIRE(Successor.isRefused("sound"));
  Successor.Registry_.onAnswered({"sound"}, Successor.Now_);
  Successor.run();
  RecordingHost Last(Store);
  CHECK_FALSE(Last.isRefused("sound"));
}

// Guards against every host of a fleet writing the same record.
TEST_CASE("suspect part records: only the elected host writes") {
  MemoryStore Store;
  RecordingHost Host(Store);
  Host.IsWriter_ = false;
  for (std::string Engine : {"e1", "e2", "e3"})
    Host.crash("p", Engine);
  CHECK(Store.Writes_ == 0);
}

// Guards against a record that others wrote, or a part whose id is no valid
// key, ending the host or its other records.
TEST_CASE("suspect part records: unreadable records and invalid ids") {
  MemoryStore Store;
  Store.Values_["amaranth/suspect-parts/a"] = "no message";
  Store.Values_["amaranth/suspect-parts/b"] =
      encodeFleetMessage(FleetMessage(SuspectRequests{}));
  RecordingHost Host(Store);
  for (const std::string &Part :
       {std::string("\xff\xfe"), std::string(300, 'a'), std::string("a/b"),
        std::string("good")})
    for (std::string Engine : {"e1", "e2", "e3"})
      Host.crash(Part, Engine);
  CHECK(Host.isRefused("a/b"));
  CHECK(Store.Writes_ == 1);
  CHECK(RecordingHost(Store).isRefused("good"));
}
