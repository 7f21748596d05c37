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
