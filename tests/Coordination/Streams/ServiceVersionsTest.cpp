#include "Coordination/Streams/ServiceVersions.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

const VersionName Old{"engine", "v1"};
const VersionName New{"engine", "v2"};
const std::vector<VersionName> NoRecords;

/// A host that has read the store's records at its start.
struct Host {
  explicit Host(std::vector<VersionName> Records = {Old}) {
    Versions_.setRoutes({{"engine"}});
    for (const VersionName &Name : Records)
      record(Name);
    Versions_.onRecordsComplete();
  }

  void record(const VersionName &Name) {
    Versions_.setRecord("k/" + Name.Version_, Name, Now_);
  }
  void add(const std::string &Target, const VersionName &Name,
           bool IsReady = true) {
    Versions_.setTarget(Target, Name, IsReady, Now_);
  }
  bool mayBegin(const VersionName &Name) const {
    return Versions_.mayBegin(Name, Now_);
  }
  std::optional<std::string> only() const {
    return Versions_.findOnly("engine", Now_);
  }
  void pass(Milliseconds Time) {
    Now_ += Time;
    Versions_.forgetOld(Now_);
  }

  SteadyTime Now_ = SteadyClock::now();
  ServiceVersions Versions_;
};

} // namespace

// Rule ORDER. Guards against a stream that is taken up at the only version of
// another service of its route than the one that began it.
TEST_CASE("service versions: services that share a route are told apart") {
  const VersionName Other{"other", "v2"};
  Host Known({Old, Other});
  CHECK(Known.only() == "v1");
  Known.Versions_.setRoutes({{"engine", "other"}, {"other", "third"}});
  CHECK_FALSE(Known.only());
  CHECK(Known.Versions_.withSeveral(Known.Now_) ==
        std::set<std::string>{"engine", "other"});
  // What was the only version of its own service may begin streams as before.
  CHECK(Known.mayBegin(Old));
  CHECK(Known.mayBegin(Other));
  Host Same;
  Same.Versions_.setRecord("k/other/v1", {"other", "v1"}, Same.Now_);
  Same.Versions_.setRoutes({{"engine", "other"}});
  CHECK(Same.only() == "v1");
}

// Rule ORDER. Guards against a host that takes the only version it knows for
// the origin of a stream though others may have begun it.
TEST_CASE("service versions: the only version needs complete records") {
  Host Known;
  CHECK(Known.only() == "v1");
  CHECK_FALSE(Known.Versions_.findOnly("other", Known.Now_));
  Known.add("i-2", New);
  CHECK_FALSE(Known.only());
  CHECK(Known.Versions_.hasSeveral("engine", Known.Now_));

  ServiceVersions Incomplete;
  Incomplete.setRecord("k/v1", Old, Known.Now_);
  CHECK_FALSE(Incomplete.findOnly("engine", Known.Now_));

  Host Unrecorded(NoRecords);
  Unrecorded.add("i-1", Old);
  CHECK_FALSE(Unrecorded.only());
  // A version that is recorded soon after it may begin streams at once, before
  // a host that is cut off meanwhile has noticed that.
  Unrecorded.record(Old);
  CHECK_FALSE(Unrecorded.only());
  Unrecorded.pass(Milliseconds{2000});
  CHECK(Unrecorded.only() == "v1");
}

// Rule ORDER. Guards against forgetting a version while its streams may still
// be taken up, because its targets left or its record was lost.
TEST_CASE("service versions: a version stays for the window") {
  Host Known;
  Known.add("i-1", Old);
  Known.record(New);
  Known.add("i-2", New);
  Known.Versions_.removeRecord("k/v1");
  Known.Versions_.removeTarget("i-1", Known.Now_);
  Known.pass(Seconds{59});
  CHECK_FALSE(Known.only());
  Known.pass(Seconds{2});
  CHECK(Known.only() == "v2");
  // A record that outlives the targets counts as long as it exists.
  Known.record(Old);
  Known.pass(Seconds{70});
  CHECK_FALSE(Known.only());
  Known.Versions_.removeRecord("k/v1");
  CHECK(Known.only() == "v2");
}

// Rule ORDER. Guards against streams of a version that hosts do not know which
// start, or are cut off, before its record reaches them.
TEST_CASE("service versions: a further version begins streams after its "
          "record") {
  Host Known;
  Known.add("i-1", Old);
  CHECK(Known.mayBegin(Old));
  Known.add("i-2", New);
  CHECK_FALSE(Known.mayBegin(New));
  Known.pass(Milliseconds{500});
  Known.record(New);
  CHECK_FALSE(Known.mayBegin(New));
  Known.pass(Milliseconds{1900});
  CHECK_FALSE(Known.mayBegin(New));
  CHECK(Known.mayBegin(Old));
  Known.pass(Milliseconds{100});
  CHECK(Known.mayBegin(New));
}

// Rule LOST. Guards against refusing requests because versions are not
// recorded: at a start, without other targets, or while the store refuses
// writes.
TEST_CASE("service versions: streams begin where no other version serves") {
  Host First(NoRecords);
  First.add("i-1", Old);
  CHECK(First.mayBegin(Old));

  Host Restarted({Old, New});
  Restarted.add("i-1", Old);
  Restarted.add("i-2", New);
  CHECK(Restarted.mayBegin(Old));
  CHECK(Restarted.mayBegin(New));

  Host Replaced;
  Replaced.add("i-1", Old, false);
  Replaced.add("i-2", New);
  CHECK_FALSE(Replaced.mayBegin(New));
  Replaced.record(New);
  CHECK(Replaced.mayBegin(New));

  // All targets of a service are new.
  Host Together(NoRecords);
  Together.add("i-1", Old);
  Together.add("i-2", New);
  CHECK(Together.mayBegin(Old));
  CHECK(Together.mayBegin(New));
  Together.record(Old);
  CHECK(Together.mayBegin(Old));
  Together.pass(Milliseconds{500});
  Together.record(New);
  CHECK(Together.mayBegin(New));

  Host Unwritable;
  Unwritable.add("i-2", New);
  Unwritable.pass(Milliseconds{1900});
  CHECK_FALSE(Unwritable.mayBegin(New));
  Unwritable.pass(Milliseconds{100});
  CHECK(Unwritable.mayBegin(New));

  // Versions of services without such streams are not restricted or recorded.
  Host Other;
  Other.add("p-1", {"desk", "v1"});
  Other.add("p-2", {"desk", "v2"});
  CHECK(Other.mayBegin({"desk", "v2"}));
  CHECK(Other.Versions_.registered().empty());
}

// Guards against a target that is counted twice, or for a version that it no
// longer has, after a record was read again or the target was replaced.
TEST_CASE("service versions: a target has one version") {
  Host Known;
  Known.add("i-1", Old);
  Known.add("i-1", Old);
  Known.add("i-1", New);
  CHECK_FALSE(Known.Versions_.isRegistered(Old));
  CHECK(Known.Versions_.registered() == std::vector<VersionName>{New});
  Known.Versions_.removeTarget("i-1", Known.Now_);
  Known.Versions_.removeTarget("i-1", Known.Now_);
  CHECK(Known.Versions_.registered().empty());
}
