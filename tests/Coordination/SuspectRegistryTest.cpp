#include "Coordination/SuspectRegistry.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

/// Run times before a crash: of the input that causes it, and of one that had
/// been running on the same target for long.
constexpr Milliseconds Short{5};
constexpr Milliseconds Long{300};

struct Fixture {
  SuspectRegistrySettings settings() {
    SuspectRegistrySettings Settings;
    Settings.Now_ = [this] { return Now_; };
    Settings.MaxInputs_ = 100;
    return Settings;
  }

  SteadyTime Now_{Seconds{1000}};
  SuspectRegistry Registry_{settings()};
};

/// Hosts that report every change of their registries to each other.
class ReportingHosts final : public SuspectListener {
public:
  explicit ReportingHosts(std::size_t Count) {
    SuspectRegistrySettings Settings;
    Settings.Now_ = [this] { return Now_; };
    Settings.CrashLimit_ = 3;
    for (std::size_t I = 0; I < Count; ++I)
      Registries_.push_back(std::make_unique<SuspectRegistry>(Settings, this));
  }

  SuspectRegistry &host(std::size_t Index) {
    Sender_ = Registries_[Index % Registries_.size()].get();
    return *Sender_;
  }

  SteadyTime Now_{Seconds{1000}};

private:
  void onSuspectChanged(const protocol::SuspectInput &Suspect) override {
    for (auto &Registry : Registries_)
      if (Registry.get() != Sender_)
        Registry->merge(Suspect);
  }

  std::vector<std::unique_ptr<SuspectRegistry>> Registries_;
  SuspectRegistry *Sender_ = nullptr; ///< Calls the listener.
};

} // namespace

// Rule BUDGET. Pattern: an input that crashes every target that runs it comes
// every 1.5 s, at three hosts in turn; no host finds a crashed target to refuse
// connections. Guards against sending it out to the crash limit again each time
// that the resets are forgotten.
TEST_CASE("an input that was refused is tried again rarely, once at a time") {
  ReportingHosts Hosts(3);
  const SteadyTime Start = Hosts.Now_;
  int Crashes = 0;
  int CrashesWithin100s = 0;
  for (std::size_t Arrival = 0; Hosts.Now_ < Start + Seconds{600}; ++Arrival) {
    SuspectRegistry &Host = Hosts.host(Arrival);
    if (Host.inputStatus("x") != InputStatus::Refused)
      Host.onConnectionReset("x", "target-" + std::to_string(++Crashes), Short);
    if (Hosts.Now_ < Start + Seconds{100})
      CrashesWithin100s = Crashes;
    Hosts.Now_ += Milliseconds{1500};
  }
  // Three crashes refuse it; three more may follow.
  CHECK(CrashesWithin100s <= 3 + 3);
  CHECK(Crashes <= 3 + 5);
}

// Guards against a sound input that one reset refuses for ever longer, because
// resets of other causes had refused it before.
TEST_CASE("an input that completes after it was refused is cleared") {
  ReportingHosts Hosts(2);
  for (const char *Target : {"a", "b", "c"})
    Hosts.host(0).onConnectionReset("x", Target, Short);
  CHECK(Hosts.host(0).inputStatus("x") == InputStatus::Refused);
  CHECK(Hosts.host(1).inputStatus("x") == InputStatus::Refused);
  Hosts.Now_ += Seconds{31};
  CHECK(Hosts.host(0).inputStatus("x") == InputStatus::Clear);
  Hosts.host(0).onCompleted("x", "d");
  for (std::size_t Host : {0U, 1U}) {
    Hosts.host(Host).onConnectionReset("x", "e", Short);
    CHECK(Hosts.host(Host).inputStatus("x") != InputStatus::Refused);
  }
}

// Guards against an input that stays refused because of resets by targets that
// did not crash, and against forgetting a crash as early as a mere reset.
TEST_CASE("a reset counts for a bounded time and a crash for longer") {
  Fixture F;
  F.Registry_.onConnectionReset("reset", "a", Short);
  F.Registry_.onConnectionReset("reset", "b", Short);
  F.Registry_.onConnectionReset("crash", "c", Short);
  F.Registry_.onConnectionRefused("c");
  CHECK(F.Registry_.inputStatus("reset") == InputStatus::Refused);
  CHECK(F.Registry_.inputStatus("crash") == InputStatus::Suspect);
  F.Now_ += Seconds{31};
  CHECK(F.Registry_.inputStatus("reset") == InputStatus::Clear);
  CHECK(F.Registry_.inputStatus("crash") == InputStatus::Suspect);
  F.Now_ += Seconds{600};
  CHECK(F.Registry_.inputStatus("crash") == InputStatus::Clear);
}

// Guards against an input that stays suspect after it completed on another
// target, and against clearing it when it completed on the crashed target.
TEST_CASE("completion on another target clears an input") {
  Fixture F;
  F.Registry_.onConnectionReset("x", "a", Short);
  F.Registry_.onConnectionRefused("a");
  F.Registry_.onCompleted("x", "a");
  CHECK(F.Registry_.inputStatus("x") == InputStatus::Suspect);
  F.Registry_.onCompleted("x", "b");
  CHECK(F.Registry_.inputStatus("x") == InputStatus::Clear);
}

// Guards against ignoring reports of peers, and against hosts that keep an
// entry alive for ever by reporting it to each other.
TEST_CASE("reports of peers count and are not passed on") {
  Fixture F;
  F.Registry_.merge({"x", {"a", "b"}, false, Short});
  CHECK(F.Registry_.inputStatus("x") == InputStatus::Refused);
  CHECK(F.Registry_.recentLocalSuspects(10).empty());
  F.Registry_.onConnectionReset("y", "a", Short);
  REQUIRE(F.Registry_.recentLocalSuspects(10).size() == 1);
  CHECK(F.Registry_.recentLocalSuspects(10)[0].Digest_ == "y");
  F.Registry_.merge({"x", {}, true, Short});
  CHECK(F.Registry_.inputStatus("x") == InputStatus::Clear);
}

// Guards against memory that grows with every reset connection.
TEST_CASE("the number of inputs is bounded") {
  Fixture F;
  for (int I = 0; I < 1000; ++I) {
    F.Registry_.onConnectionReset(std::to_string(I), "a", Short);
    F.Now_ += Milliseconds{1};
  }
  CHECK(F.Registry_.recentLocalSuspects(1000).size() == 100);
  CHECK(F.Registry_.inputStatus("999") == InputStatus::Suspect);
}

// Guards against refusing requests, or restricting them to targets that have
// ended, because another input crashed both targets that they tried.
TEST_CASE("an input that had run for long when the cause arrived is innocent") {
  Fixture F;
  F.Registry_.onConnectionReset("innocent", "a", Long);
  CHECK(F.Registry_.inputStatus("innocent") == InputStatus::Suspect);
  F.Registry_.merge({"cause", {"a"}, false, Short});
  // It need not wait for a turn.
  F.Registry_.onConnectionReset("another", "a", Short);
  CHECK(F.Registry_.repeatDelay("innocent") ==
        SuspectRegistrySettings().ReportDelay_);
  CHECK(F.Registry_.inputStatus("innocent") == InputStatus::Suspect);
  // It is repeated on another target, which the cause reaches too.
  F.Registry_.onConnectionReset("innocent", "b", Short);
  CHECK(F.Registry_.inputStatus("innocent") == InputStatus::Refused);
  F.Registry_.merge({"cause", {"a", "b"}, false, Short});
  CHECK(F.Registry_.inputStatus("innocent") == InputStatus::Clear);
  CHECK(F.Registry_.inputStatus("cause") == InputStatus::Refused);
}

// Guards against clearing the cause because of requests that ran with it: one
// that was on only some of the crashed targets, or one that started there at
// about the same time.
TEST_CASE("an input is not innocent because of others on some of its targets") {
  Fixture F;
  F.Registry_.onConnectionReset("cause", "a", Long);
  F.Registry_.onConnectionReset("cause", "b", Long);
  F.Registry_.onConnectionReset("beside", "a", Short);
  CHECK(F.Registry_.inputStatus("cause") == InputStatus::Refused);
  F.Registry_.onConnectionReset("equal", "a", Long);
  F.Registry_.onConnectionReset("equal", "b", Long);
  CHECK(F.Registry_.inputStatus("cause") == InputStatus::Refused);
}

// Guards against requests that are restricted to two targets, both of which
// another input has crashed, and so find no target.
TEST_CASE("an input on one of the targets that a refused one crashed is "
          "innocent") {
  Fixture F;
  F.Registry_.onConnectionReset("beside", "a", Short);
  F.Registry_.merge({"cause", {"a"}, false, Short});
  CHECK(F.Registry_.inputStatus("beside") == InputStatus::Suspect);
  F.Registry_.merge({"cause", {"a", "b"}, false, Short});
  CHECK(F.Registry_.inputStatus("beside") == InputStatus::Clear);
  CHECK(F.Registry_.inputStatus("cause") == InputStatus::Refused);
  // A crash of a target on which the refused input did not run is not explained
  // by that input.
  F.Registry_.onConnectionReset("beside", "c", Short);
  CHECK(F.Registry_.inputStatus("beside") == InputStatus::Refused);
}

// Guards against suspect inputs that all run on a second target when it
// crashes, which does not show which of them is the cause.
TEST_CASE("inputs whose common target crashed take turns") {
  Fixture F;
  F.Registry_.onConnectionReset("1", "a", Short);
  F.Registry_.onConnectionReset("2", "a", Short);
  F.Registry_.merge({"3", {"a"}, false, Short});
  F.Registry_.onConnectionReset("4", "elsewhere", Short);
  Milliseconds FirstDelay = F.Registry_.repeatDelay("1");
  CHECK(F.Registry_.repeatDelay("2") == FirstDelay + Milliseconds{250});
  CHECK(F.Registry_.repeatDelay("3") == FirstDelay + Milliseconds{500});
  CHECK(F.Registry_.repeatDelay("4") == FirstDelay);
  // The second proves to be the cause while the first runs on the same target.
  // The third need not wait any more.
  F.Registry_.onConnectionReset("1", "b", Milliseconds{260});
  F.Registry_.onConnectionReset("2", "b", Short);
  CHECK(F.Registry_.inputStatus("1") == InputStatus::Clear);
  CHECK(F.Registry_.inputStatus("2") == InputStatus::Refused);
  CHECK(F.Registry_.inputStatus("3") == InputStatus::Clear);
  CHECK(F.Registry_.repeatDelay("3") == FirstDelay);
}

// Guards against an input that stays innocent after the record of the cause has
// expired.
TEST_CASE("an input is innocent as long as the cause is remembered") {
  Fixture F;
  for (const char *Target : {"a", "b"})
    F.Registry_.onConnectionReset("cause", Target, Short);
  F.Now_ += Seconds{20};
  F.Registry_.onConnectionReset("innocent", "a", Long);
  CHECK(F.Registry_.inputStatus("innocent") == InputStatus::Clear);
  F.Registry_.onConnectionReset("innocent", "b", Long);
  CHECK(F.Registry_.inputStatus("innocent") == InputStatus::Clear);
  F.Now_ += Seconds{11};
  CHECK(F.Registry_.inputStatus("innocent") == InputStatus::Refused);
}

// Pattern: an input that crashes targets comes at all hosts at once, while a
// host is busy and another request has just started on the same target. Guards
// against a host that takes the input for innocent, because it saw it run for
// longer than the other request, and sends it to a target of its own choice.
TEST_CASE("an input that ran for longer than another stays at its candidates") {
  Fixture F;
  constexpr Milliseconds JustStarted{10};
  constexpr Milliseconds SlowedByLoad{80};
  F.Registry_.merge({"beside", {"a"}, false, JustStarted});
  F.Registry_.onConnectionReset("cause", "a", SlowedByLoad);
  CHECK(F.Registry_.inputStatus("cause") == InputStatus::Suspect);
  F.Registry_.onConnectionReset("cause", "b", SlowedByLoad);
  CHECK(F.Registry_.inputStatus("cause") == InputStatus::Refused);
}
