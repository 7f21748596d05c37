#include "Coordination/Targets/TargetNotices.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

const SteadyTime Start{Seconds{1000}};

state::TargetRecord target(const std::string &Id, std::int64_t Incarnation = 1,
                           const std::string &DataCentre = "a") {
  state::TargetRecord Record;
  Record.Id_ = Id;
  Record.Incarnation_ = Incarnation;
  Record.DataCentre_ = DataCentre;
  return Record;
}

TargetStatement limitedTo(std::optional<double> PerSecond) {
  TargetStatement Statement;
  Statement.PerSecond_ = PerSecond;
  return Statement;
}

} // namespace

// Guards against a limit that outlasts the target's statements, and against
// reports to all hosts when nothing has changed.
TEST_CASE("target notices: an answer without a limit ends it") {
  TargetNotices Notices;
  state::TargetRecord T = target("t");
  CHECK_FALSE(Notices.onAnswer(T, limitedTo(std::nullopt), Start));
  CHECK(Notices.onAnswer(T, limitedTo(2), Start));
  CHECK_FALSE(Notices.onAnswer(T, limitedTo(2), Start + Seconds{1}));
  CHECK(Notices.onAnswer(T, limitedTo(3), Start + Seconds{2}));
  CHECK(Notices.limit("t") == 3.0);
  Notices.setFullUntil("t", Start + Seconds{5});
  CHECK(Notices.opensAt("t") == Start + Seconds{5});
  CHECK(Notices.opensAt("unlimited") < Start);
  CHECK(Notices.onAnswer(T, limitedTo(2), Start + Seconds{2}));
  CHECK(Notices.opensAt("t") == Start + Seconds{5});
  // Guards against a target that is not asked for a place although a higher
  // limit has made one free.
  CHECK(Notices.onAnswer(T, limitedTo(4), Start + Seconds{2}));
  CHECK(Notices.opensAt("t") < Start);
  CHECK(Notices.onAnswer(T, limitedTo(std::nullopt), Start + Seconds{3}));
  CHECK_FALSE(Notices.limit("t"));
  CHECK(Notices.opensAt("t") < Start);
  Notices.onAnswer(target("silent"), limitedTo(1), Start);
  Notices.forgetOld(Start + Seconds{20});
  CHECK(Notices.limit("silent"));
  Notices.forgetOld(Start + Seconds{40});
  CHECK_FALSE(Notices.limit("silent"));
}

// Guards against requests to targets of an evacuated data centre, among them
// targets that register later; and against an empty name that would match the
// targets whose records name no data centre.
TEST_CASE("target notices: an evacuation holds until its key is removed") {
  TargetNotices Notices;
  CHECK(Notices.setEvacuated("b", true));
  CHECK_FALSE(Notices.setEvacuated("b", true));
  CHECK(Notices.check(target("t", 1, "b"), Start) == Withheld::Evacuated);
  CHECK(Notices.check(target("t", 1, "a"), Start) == Withheld::No);
  Notices.onRecord(target("new", 2, "b"), Start);
  Notices.forgetOld(Start + Seconds{7200});
  CHECK(Notices.check(target("new", 2, "b"), Start) == Withheld::Evacuated);
  CHECK(Notices.setEvacuated("b", false));
  CHECK_FALSE(Notices.setEvacuated("b", false));
  CHECK(Notices.check(target("t", 1, "b"), Start) == Withheld::No);
  CHECK_FALSE(Notices.setEvacuated("", true));
  CHECK(Notices.check(target("t", 1, ""), Start) == Withheld::No);
}

// Guards against requests to a leaving target after another answer or record of
// the same process, and against withholding them from its next process.
TEST_CASE("target notices: a target is leaving until its record is removed or "
          "it starts again") {
  TargetNotices Notices;
  TargetStatement Leaving;
  Leaving.IsLeaving_ = true;
  for (std::int64_t Incarnation : {0, 7}) {
    state::TargetRecord T = target("t", Incarnation);
    Notices.onRecord(T, Start);
    CHECK(Notices.onAnswer(T, Leaving, Start));
    CHECK_FALSE(Notices.onAnswer(T, TargetStatement(), Start));
    Notices.onRecord(T, Start);
    Notices.forgetOld(Start + Seconds{7200});
    CHECK(Notices.check(T, Start) == Withheld::Leaving);
    Notices.onMissing("t");
    CHECK(Notices.check(T, Start) == Withheld::Leaving);
    Notices.onRecord(T, Start);
    // Whether it is another process is unknown without an incarnation.
    CHECK((Notices.check(T, Start) == Withheld::Leaving) == (Incarnation != 0));
    Notices.onAnswer(T, Leaving, Start);
    Notices.onRemoved("t");
    Notices.onRecord(T, Start);
    CHECK(Notices.check(T, Start) == Withheld::No);
    Notices.onAnswer(T, Leaving, Start);
    Notices.onRecord(target("t", Incarnation + 1), Start);
    CHECK(Notices.check(target("t", Incarnation + 1), Start) == Withheld::No);
  }
}

// Guards against statements of peers that are lost because they arrive before
// the record, that come from an earlier process, or that grow without bound.
TEST_CASE("target notices: peers pass on what applies to all hosts") {
  TargetNotices Teller;
  TargetNotices Listener;
  state::TargetRecord T = target("t", 7);
  TargetStatement Statement = limitedTo(4);
  Statement.IsLeaving_ = true;
  Statement.WantsNothingFor_ = Seconds{5};
  Statement.ColdFor_ = Seconds{3};
  CHECK(Teller.onAnswer(T, Statement, Start));
  Listener.onPeer(Teller.peerNotice(T, Start), Start);
  Listener.onRecord(T, Start);
  CHECK(Listener.check(T, Start) == Withheld::Leaving);
  CHECK(Listener.limit("t") == 4.0);
  CHECK(Listener.coldUntil("t") == Start + Seconds{3});
  CHECK_FALSE(Listener.wantsNothingUntil("t"));
  Listener.onRecord(target("t", 8), Start);
  Listener.onPeer(Teller.peerNotice(T, Start), Start);
  CHECK(Listener.check(target("t", 8), Start) == Withheld::No);
  CHECK_FALSE(Listener.limit("t"));
  Listener.onPeer(Teller.peerNotice(target("gone", 1), Start), Start);
  Listener.forgetOld(Start + Seconds{61});
  CHECK(Listener.check(target("gone", 1), Start) == Withheld::No);
}

// Guards against a wait that an answer on its way shortens, and against a huge
// one that idles the target.
TEST_CASE("target notices: a target that wants nothing") {
  TargetNotices Notices;
  state::TargetRecord T = target("t");
  TargetStatement Statement;
  Statement.WantsNothingFor_ = Seconds{10};
  CHECK_FALSE(Notices.onAnswer(T, Statement, Start));
  Notices.onAnswer(T, TargetStatement(), Start + Seconds{1});
  Statement.WantsNothingFor_ = Seconds{1};
  Notices.onAnswer(T, Statement, Start + Seconds{1});
  CHECK(Notices.check(T, Start + Milliseconds{9999}) == Withheld::WantsNothing);
  CHECK(Notices.check(T, Start + Seconds{10}) == Withheld::No);
  Statement.WantsNothingFor_ = std::chrono::hours{1000000};
  Notices.onAnswer(T, Statement, Start);
  CHECK(Notices.check(T, Start + Seconds{59}) == Withheld::WantsNothing);
  CHECK(Notices.check(T, Start + Seconds{60}) == Withheld::No);
}

// Guards against a record, written before the target became cold, that ends the
// cold time, and against an invalid limit that ends the known one.
TEST_CASE("target notices: cold times and invalid statements") {
  TargetNotices Notices;
  state::TargetRecord T = target("t");
  T.WarmUpRemaining_ = Seconds{4};
  Notices.onRecord(T, Start);
  CHECK(Notices.coldUntil("t") == Start + Seconds{4});
  TargetStatement Statement = limitedTo(2);
  Statement.ColdFor_ = Seconds{8};
  CHECK(Notices.onAnswer(T, Statement, Start));
  T.WarmUpRemaining_ = Seconds{0};
  Notices.onRecord(T, Start);
  CHECK(Notices.coldUntil("t") == Start + Seconds{8});
  TargetStatement Invalid;
  Invalid.IsLimitInvalid_ = true;
  CHECK_FALSE(Notices.onAnswer(T, Invalid, Start));
  CHECK(Notices.limit("t") == 2.0);
  Statement.ColdFor_ = Seconds{0};
  CHECK(Notices.onAnswer(T, Statement, Start));
  CHECK(Notices.coldUntil("t") <= Start);
  CHECK(Notices.noteIrregular("t Cold-Ms"));
  CHECK_FALSE(Notices.noteIrregular("t Cold-Ms"));
  CHECK(Notices.irregularCount() == 2);
}
