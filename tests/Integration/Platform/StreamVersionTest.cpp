#include "Integration/Eventually.h"
#include "Integration/Platform/PlatformFleet.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <functional>
#include <thread>

using namespace amaranth;
using namespace amaranth::integration;

namespace {

/// Time for a change of the store to reach the hosts.
constexpr Milliseconds ChangeTime{500};
/// Records that are missing soon after the store could first be read stay in
/// use for this long.
constexpr Milliseconds StartTime{2200};
/// A refusal that does not wait for the deadline of 4 s.
constexpr Milliseconds AtOnce{1000};

/// An engine that writes its version into its events.
class VersionedEngine final {
public:
  VersionedEngine(StoreDouble &Store, const std::string &Id,
                  const std::string &Version,
                  const std::string &Service = "engine")
      : Version_(Version),
        Target_(
            Store, Id, Service,
            [this](RawServerConnection &Connection, const RawRequest &Request) {
              return answer(Connection, Request);
            },
            "a", Version) {}

  /// The next stream breaks off in the event after \p Event, and so do the
  /// attempts to continue it, \p Times in all.
  void breakAfter(int Event, int Times = 1) {
    BreakAfter_ = Event;
    BreaksLeft_ = Times;
  }
  /// \p BeforeEnd is called before the connection of a stream that breaks off
  /// is closed.
  void beforeEnd(std::function<void()> BeforeEnd) {
    BeforeEnd_ = std::move(BeforeEnd);
  }
  /// Events \p First to \p Last as this engine writes them.
  std::string events(int First, int Last) const {
    std::string Events;
    for (int I = First; I <= Last; ++I)
      Events += "id: " + std::to_string(I) + "\ndata: " + Version_ + "\n\n";
    return Events;
  }
  TargetDouble &target() { return Target_; }
  int requests() const { return Target_.requests(); }
  /// As the last request states it; 0 is the most urgent.
  int priority() const { return Priority_; }

private:
  bool answer(RawServerConnection &Connection, const RawRequest &Request) {
    std::string Priority = Request.field("Request-Priority");
    Priority_ = Priority.empty() ? 0 : std::stoi(Priority);
    std::string Last = Request.field("Last-Event-Id");
    int First = Last.empty() ? 1 : std::stoi(Last) + 1;
    std::string Head =
        streamHead(Request) + "Transfer-Encoding: chunked\r\n\r\n";
    if (BreaksLeft_ > 0) {
      --BreaksLeft_;
      std::string Partial = events(First, BreakAfter_) + "id: 99\nda";
      Connection.write(Head + transport::encodeChunk(Partial));
      if (BeforeEnd_)
        BeforeEnd_();
      return false;
    }
    Connection.write(Head + transport::encodeChunk(events(First, LastEvent)) +
                     std::string(transport::LastChunk));
    return true;
  }

  static constexpr int LastEvent = 6;
  std::string Version_;
  std::atomic<int> BreakAfter_{0};
  std::atomic<int> BreaksLeft_{0};
  std::atomic<int> Priority_{0};
  std::function<void()> BeforeEnd_;
  TargetDouble Target_;
};

/// Engines of two versions. Without a prompt, requests go to the first one that
/// works, in the order of the ids.
struct TwoVersions {
  TwoVersions() { Store_.put("op/config", platformConfiguration()); }

  /// A caller's take-up of the stream that began in its attempt \p FirstId.
  static std::string takeUp(const std::string &FirstId, int LastEvent,
                            const std::string &Path = "/draft/1") {
    std::string Fields = "Last-Event-Id: " + std::to_string(LastEvent) + "\r\n";
    if (!FirstId.empty())
      Fields += "Resumes: " + FirstId + "\r\n";
    return platformRequest("POST", Path, Fields);
  }

  static std::string requestId(const std::string &Request) {
    const std::string Name = "Request-Id: ";
    std::size_t Begin = Request.find(Name) + Name.size();
    return Request.substr(Begin, Request.find('\r', Begin) - Begin);
  }

  StoreDouble Store_;
  VersionedEngine OldFirst_{Store_, "i-1", "v1"};
  VersionedEngine New_{Store_, "i-2", "v2"};
};

} // namespace

// Rule ORDER. Guards against a stream that holds events of two software
// versions because an engine of another one continues it after a crash.
TEST_CASE("platform: a broken stream goes on only at its own version") {
  TwoVersions Setup;
  VersionedEngine OldSecond(Setup.Store_, "i-3", "v1");
  PlatformFleet Fleet(Setup.Store_, 1);
  Setup.OldFirst_.breakAfter(2);
  PlatformAnswer Answer = Fleet.call(0, platformRequest("POST", "/draft/1"));
  CHECK(Answer.Complete_);
  CHECK(Answer.Body_ == OldSecond.events(1, 6));
  CHECK(Setup.OldFirst_.requests() == 1);
  CHECK(OldSecond.requests() == 1);
  CHECK(Setup.New_.requests() == 0);
}

// Rule ORDER. Guards against a stream that looks complete, but holds events of
// two versions, when no engine of the version that began it is left.
TEST_CASE("platform: a stream whose version has left is visibly truncated") {
  TwoVersions Setup;
  PlatformFleet Fleet(Setup.Store_, 1);
  bool IsReplaced = GENERATE(false, true);
  CAPTURE(IsReplaced);
  std::this_thread::sleep_for(StartTime);
  Setup.OldFirst_.breakAfter(2);
  Setup.OldFirst_.beforeEnd([&] {
    if (IsReplaced)
      Setup.OldFirst_.target().restart("v2");
    else
      Setup.OldFirst_.target().unregister();
    std::this_thread::sleep_for(ChangeTime);
  });
  PlatformAnswer Answer = Fleet.call(0, platformRequest("POST", "/draft/1"));
  CHECK(Answer.Status_ == 200);
  CHECK_FALSE(Answer.Complete_);
  CHECK(Answer.Body_ == Setup.OldFirst_.events(1, 2));
  CHECK(Setup.OldFirst_.requests() == 1);
  CHECK(Setup.New_.requests() == 0);
}

// Guards against holding a request to the version of an engine that has not
// sent an event of its stream.
TEST_CASE("platform: a stream without an event may go to another version") {
  TwoVersions Setup;
  PlatformFleet Fleet(Setup.Store_, 1);
  TargetDouble Silent(Setup.Store_, "i-0", "engine", resetWithoutAnswer, "a",
                      "v3");
  REQUIRE(eventually([&] {
    PlatformAnswer Answer =
        Fleet.call(0, platformRequest("POST", "/draft/" + Silent.id()));
    CHECK(Answer.Complete_);
    return Silent.requests() > 0;
  }));
}

// Rule ORDER. Guards against a stream that is joined from two versions over the
// attempts of a caller that takes it up at the host that began it.
TEST_CASE("platform: a caller's stream is taken up at its own version") {
  TwoVersions Setup;
  PlatformFleet Fleet(Setup.Store_, 1);
  VersionedEngine &Old = Setup.OldFirst_;
  VersionedEngine &New = Setup.New_;
  Old.breakAfter(2, 2);
  std::string First = platformRequest("POST", "/draft/1");
  std::string FirstId = TwoVersions::requestId(First);
  PlatformAnswer Answer = Fleet.call(0, First);
  CHECK_FALSE(Answer.Complete_);
  CHECK(Answer.Body_ == Old.events(1, 2));

  Old.breakAfter(4, 2);
  Answer = Fleet.call(0, TwoVersions::takeUp(FirstId, 2, "/draft/2"));
  CHECK(Answer.Status_ == 200);
  CHECK_FALSE(Answer.Complete_);
  CHECK(Answer.Body_ == Old.events(3, 4));

  // The stream is still the one that began in the first attempt.
  Answer = Fleet.call(0, TwoVersions::takeUp(FirstId, 4, "/draft/3"));
  CHECK(Answer.Complete_);
  CHECK(Answer.Body_ == Old.events(5, 6));
  CHECK(New.requests() == 0);
}

// Rule ORDER. Guards against a take-up that goes on at a version that may not
// be the one that began the stream, and against one that waits for its deadline
// although no engine can continue it.
TEST_CASE("platform: a take-up without an engine of its version is refused") {
  TwoVersions Setup;
  PlatformFleet Fleet(Setup.Store_, 1);
  VersionedEngine &Old = Setup.OldFirst_;
  std::this_thread::sleep_for(StartTime);
  Old.breakAfter(2, 2);
  std::string First = platformRequest("POST", "/draft/1");
  CHECK(Fleet.call(0, First).Body_ == Old.events(1, 2));
  std::string KnownId = TwoVersions::requestId(First);

  std::string ResumedId = GENERATE("known", "unknown", "");
  int LastEvent = ResumedId.empty() ? 2 : GENERATE(0, 2);
  CAPTURE(ResumedId, LastEvent);
  if (ResumedId == "known") {
    ResumedId = KnownId;
    Old.target().unregister();
    std::this_thread::sleep_for(ChangeTime);
  }
  int Before = Old.requests() + Setup.New_.requests();
  SteadyTime Start = SteadyClock::now();
  PlatformAnswer Answer =
      Fleet.call(0, TwoVersions::takeUp(ResumedId, LastEvent));
  CHECK(SteadyClock::now() - Start < AtOnce);
  CHECK(Answer.Status_ == 503);
  CHECK(Answer.Head_.find("Retry-After"));
  CHECK(Old.requests() + Setup.New_.requests() == Before);
}

// Rules ORDER, LOST. Guards against a take-up that goes to another service of
// its route than the one that began the stream, or is refused because of it.
TEST_CASE("platform: a stream is taken up at the service that began it") {
  StoreDouble Store;
  nlohmann::json Configuration = platformConfiguration();
  for (nlohmann::json &Route : Configuration.at("routes"))
    if (Route.at("prefix") == "/draft/") {
      Route.erase("service");
      Route["weighted_services"] = {{{"service", "engine"}, {"weight", 50}},
                                    {{"service", "other"}, {"weight", 50}}};
    }
  Store.put("op/config", Configuration);
  VersionedEngine One(Store, "i-1", "v1");
  VersionedEngine Other(Store, "i-2", "v2", "other");
  PlatformFleet Fleet(Store, 2);
  // Each service has one version, which is certain after this time.
  std::this_thread::sleep_for(StartTime + ChangeTime);
  One.breakAfter(2, 2);
  Other.breakAfter(2, 2);
  std::string First = platformRequest("POST", "/draft/1");
  std::string Begun = Fleet.call(0, First).Body_;
  VersionedEngine &Origin = Begun == One.events(1, 2) ? One : Other;
  CHECK(Begun == Origin.events(1, 2));
  One.breakAfter(0, 0);
  Other.breakAfter(0, 0);
  for (int I = 0; I < 10; ++I) {
    std::string Path = "/draft/take-up-" + std::to_string(I);
    std::string TakeUp =
        TwoVersions::takeUp(TwoVersions::requestId(First), 2, Path);
    std::size_t Host = I % 2;
    CHECK(Fleet.call(Host, TakeUp).Body_ == Origin.events(3, 6));
  }
}

// Rule LOST. Guards against streams that are refused when they are taken up,
// all at once after their host was lost, because new requests are as urgent.
TEST_CASE("platform: a stream that is taken up is more urgent than a new one") {
  StoreDouble Store;
  nlohmann::json Configuration = platformConfiguration();
  for (nlohmann::json &Route : Configuration.at("routes"))
    if (Route.at("prefix") == "/draft/") {
      Route["priority"] = 3;
      Route["session_affinity"] = true;
    }
  Store.put("op/config", Configuration);
  VersionedEngine Engine(Store, "i-1", "v1");
  PlatformFleet Fleet(Store, 1);
  Engine.breakAfter(2, 2);
  std::string First = platformRequest("POST", "/draft/1");
  REQUIRE(Fleet.call(0, First).Body_ == Engine.events(1, 2));
  int NewPriority = Engine.priority();
  std::string TakeUp =
      TwoVersions::takeUp(TwoVersions::requestId(First), 2, "/draft/2");
  CHECK(Fleet.call(0, TakeUp).Body_ == Engine.events(3, 6));
  CHECK(Engine.priority() < NewPriority);
}

namespace {

/// More than the time after which hosts write the streams that they began.
constexpr Milliseconds WriteTime{600};

} // namespace

// Rules ORDER, LOST. Guards against a stream that cannot be taken up at another
// host, or goes on there at another version, because its host was killed.
TEST_CASE("platform: a stream is taken up after its host was killed") {
  TwoVersions Setup;
  PlatformFleet Fleet(Setup.Store_, 3);
  std::this_thread::sleep_for(StartTime);
  Setup.OldFirst_.breakAfter(2, 2);
  std::string First = platformRequest("POST", "/draft/1");
  REQUIRE(Fleet.call(0, First).Body_ == Setup.OldFirst_.events(1, 2));
  std::this_thread::sleep_for(WriteTime);
  Fleet.process(0).kill();
  std::string TakeUp =
      TwoVersions::takeUp(TwoVersions::requestId(First), 2, "/draft/2");
  for (std::size_t Host : {1U, 2U}) {
    PlatformAnswer Answer = Fleet.call(Host, TakeUp);
    CHECK(Answer.Complete_);
    CHECK(Answer.Body_ == Setup.OldFirst_.events(3, 6));
  }
  CHECK(Setup.New_.requests() == 0);
}

// Rules ORDER, LOST. Guards against streams that are joined from two versions
// because all hosts that knew their versions were killed at once, and against
// refusing them while their version serves.
TEST_CASE("platform: a stream is taken up after all hosts were killed") {
  TwoVersions Setup;
  bool IsOldGone = GENERATE(true, false);
  // With one version in service, nothing is written for each stream.
  bool IsNewLater = GENERATE(false, true);
  CAPTURE(IsOldGone, IsNewLater);
  if (IsNewLater)
    Setup.New_.target().unregister();
  std::string First = platformRequest("POST", "/draft/1");
  {
    PlatformFleet Fleet(Setup.Store_, 2);
    std::this_thread::sleep_for(StartTime);
    Setup.OldFirst_.breakAfter(2, 2);
    REQUIRE(Fleet.call(0, First).Body_ == Setup.OldFirst_.events(1, 2));
    if (IsNewLater)
      Setup.New_.target().restart("v2");
    std::this_thread::sleep_for(WriteTime);
  }
  if (IsOldGone)
    Setup.OldFirst_.target().unregister();
  int Before = Setup.OldFirst_.requests();
  PlatformFleet Fleet(Setup.Store_, 2);
  std::this_thread::sleep_for(ChangeTime);
  std::string TakeUp =
      TwoVersions::takeUp(TwoVersions::requestId(First), 2, "/draft/2");
  for (std::size_t Host : {0U, 1U}) {
    PlatformAnswer Answer = Fleet.call(Host, TakeUp);
    CHECK(Answer.Status_ == (IsOldGone ? 503 : 200));
    if (!IsOldGone)
      CHECK(Answer.Body_ == Setup.OldFirst_.events(3, 6));
    // The caller of a stream that nobody began is told so, too.
    CHECK(Fleet.call(Host, TwoVersions::takeUp("none", 2)).Status_ == 503);
  }
  CHECK(Setup.OldFirst_.requests() == Before + (IsOldGone ? 0 : 2));
  CHECK(Setup.New_.requests() == 0);
}
