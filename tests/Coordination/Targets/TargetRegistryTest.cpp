#include "Coordination/Targets/TargetRegistry.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

const SteadyTime Now{Seconds{1000}};

TargetChange change(const std::string &Id, std::uint64_t Revision,
                    bool Leaving = false, std::int64_t Incarnation = 1) {
  state::TargetRecord Record;
  Record.Id_ = Id;
  Record.Service_ = "s";
  Record.Address_ = "10.0.0.1:80";
  Record.IsDraining_ = Leaving;
  Record.Incarnation_ = Incarnation;
  return {Id, Revision, Record};
}

TargetChange removal(const std::string &Id, std::uint64_t Revision) {
  return {Id, Revision, std::nullopt};
}

} // namespace

// Guards against new work for a leaving target because of an older copy of its
// record from a peer, or a newer record without the leaving state.
TEST_CASE("target registry: a leaving target stays leaving") {
  TargetRegistry Registry;
  Registry.apply(change("t", 5), Now);
  CHECK(Registry.serving("s").size() == 1);
  Registry.apply(change("t", 6, true), Now);
  CHECK(Registry.serving("s").empty());
  Registry.apply(change("t", 5), Now);
  CHECK(Registry.find("t") == nullptr);
  Registry.apply(change("t", 7), Now);
  CHECK(Registry.find("t") == nullptr);
}

// Guards against ignoring a target that was restarted under its former name.
TEST_CASE("target registry: a new incarnation serves again") {
  TargetRegistry Registry;
  Registry.apply(change("t", 5, true, 1), Now);
  Registry.apply(change("t", 6, false, 2), Now);
  CHECK(Registry.find("t") != nullptr);
}

// Guards against work for targets that were removed, and against an older
// record that restores one.
TEST_CASE("target registry: a removal while the store answers is final") {
  TargetRegistry Registry;
  Registry.apply(change("t", 5), Now);
  Registry.apply(removal("t", 8), Now);
  CHECK(Registry.find("t") == nullptr);
  Registry.apply(change("t", 7), Now);
  CHECK(Registry.find("t") == nullptr);
}

// Guards against removing all targets because their records expired while the
// store was unreachable, and against keeping those that do not return.
TEST_CASE(
    "target registry: records missing after an outage get time to return") {
  TargetRegistry Registry;
  Registry.apply(change("returning", 5), Now);
  Registry.apply(change("missing", 6), Now);
  Registry.onStoreDisconnected(Now);
  Registry.onStoreReconnected(Now);
  Registry.apply(removal("returning", 20), Now);
  Registry.apply(removal("missing", 20), Now);
  CHECK(Registry.serving("s").size() == 2);
  Registry.apply(change("returning", 21), Now + Seconds{1});
  Registry.expire(Now + Seconds{2});
  CHECK(Registry.find("returning") != nullptr);
  CHECK(Registry.find("missing") == nullptr);
}

// Pattern: the hosts that watch the store are cut off from it, others take over
// at once, and a target has left meanwhile. Guards against keeping the target
// for the time that expired records need to return, and against ending that
// time early because of a short interruption after an outage.
TEST_CASE("target registry: a removal in a short interruption is final") {
  TargetRegistrySettings Settings;
  Settings.ShortInterruption_ = Seconds{1};
  TargetRegistry Registry(Settings);
  Registry.apply(change("left", 5), Now);
  Registry.apply(change("missing", 6), Now);
  Registry.onStoreDisconnected(Now);
  Registry.apply(removal("left", 20), Now + Milliseconds{300});
  CHECK(Registry.find("left") != nullptr);
  Registry.onStoreReconnected(Now + Milliseconds{400});
  Registry.expire(Now + Milliseconds{400});
  CHECK(Registry.find("left") == nullptr);

  SteadyTime OutageEnd = Now + Seconds{5};
  Registry.onStoreDisconnected(Now + Seconds{3});
  Registry.apply(removal("missing", 21), Now + Seconds{4});
  Registry.onStoreReconnected(OutageEnd);
  Registry.onStoreDisconnected(OutageEnd + Milliseconds{100});
  Registry.onStoreReconnected(OutageEnd + Milliseconds{200});
  Registry.expire(OutageEnd + Seconds{1});
  CHECK(Registry.find("missing") != nullptr);
  Registry.expire(OutageEnd + Seconds{2});
  CHECK(Registry.find("missing") == nullptr);
}

// Guards against using a target whose record has become unreadable, and against
// listing a target under its former service after it moved to another one.
TEST_CASE("target registry: unreadable and moved records") {
  TargetRegistry Registry;
  Registry.apply(change("t", 5), Now);
  TargetChange Moved = change("t", 6);
  Moved.Record_->Service_ = "other";
  Registry.apply(Moved, Now);
  CHECK(Registry.serving("s").empty());
  CHECK(Registry.serving("other").size() == 1);
  Registry.apply(removal("t", 7), Now);
  CHECK(Registry.serving("other").empty());
}

namespace {

TargetChange inEra(std::uint64_t Era, TargetChange Change) {
  Change.Era_ = Era;
  return Change;
}

} // namespace

// Guards against ignoring targets that register or drain after the store was
// restored from a copy, because their records have lower revisions.
TEST_CASE("target registry: records of a later era are newer") {
  TargetRegistry Registry;
  Registry.apply(inEra(1, change("t", 90)), Now);
  Registry.onStoreRestored(Now);
  CHECK(Registry.apply(inEra(2, change("t", 5, true)), Now));
  CHECK(Registry.find("t") == nullptr);
  CHECK_FALSE(Registry.apply(inEra(1, change("t", 95, false, 2)), Now));
  CHECK(Registry.find("t") == nullptr);
}

// Guards against requests for a draining target, and for an earlier process of
// a target, because the copy has an older entry.
TEST_CASE("target registry: an older copy does not undo what was known") {
  TargetRegistry Registry;
  Registry.apply(inEra(1, change("draining", 50, true)), Now);
  Registry.apply(inEra(1, change("restarted", 60, false, 9)), Now);
  Registry.onStoreRestored(Now);
  Registry.apply(inEra(2, change("draining", 5)), Now);
  CHECK_FALSE(Registry.apply(inEra(2, change("restarted", 6, true, 3)), Now));
  CHECK(Registry.find("draining") == nullptr);
  REQUIRE(Registry.find("restarted") != nullptr);
  CHECK(Registry.find("restarted")->Incarnation_ == 9);
  // The target has written its record again.
  CHECK(Registry.apply(inEra(2, change("restarted", 7, true, 9)), Now));
  CHECK(Registry.find("restarted") == nullptr);
}

// Guards against dropping sound targets that registered after the copy was
// made, and against keeping those that ended during the restore.
TEST_CASE("target registry: records that the copy lacks are kept for a while") {
  TargetRegistry Registry;
  Registry.apply(inEra(1, change("alive", 50)), Now);
  Registry.apply(inEra(1, change("ended", 51)), Now);
  Registry.onStoreRestored(Now);
  Registry.apply(inEra(2, removal("alive", 9)), Now);
  Registry.apply(inEra(2, removal("ended", 9)), Now);
  CHECK(Registry.serving("s").size() == 2);
  Registry.apply(inEra(2, change("alive", 10)), Now + Seconds{1});
  CHECK(Registry.expire(Now + Seconds{2}) == std::vector<std::string>{"ended"});
  CHECK(Registry.find("alive") != nullptr);
}

// Guards against requests for a target that has left, because the copy still
// has its record, and against ignoring one that was only silent for a while.
TEST_CASE(
    "target registry: a removed target that reappears has to prove alive") {
  TargetRegistry Registry;
  for (const char *Id : {"left", "silent", "new"}) {
    Registry.apply(inEra(1, change(Id, 50)), Now);
    Registry.apply(inEra(1, removal(Id, 51)), Now);
  }
  Registry.onStoreRestored(Now);
  CHECK_FALSE(Registry.apply(inEra(2, change("left", 5)), Now));
  CHECK_FALSE(Registry.apply(inEra(2, change("silent", 6)), Now));
  CHECK(Registry.apply(inEra(2, change("new", 7, false, 2)), Now));
  CHECK(Registry.serving("s").size() == 1);
  Registry.apply(inEra(2, removal("left", 8)), Now + Seconds{3});
  CHECK(Registry.takeReappeared(Now + Seconds{4}).empty());
  std::vector<TargetChange> Due = Registry.takeReappeared(Now + Seconds{5});
  REQUIRE(Due.size() == 1);
  CHECK(Registry.apply(Due[0], Now + Seconds{5}));
  CHECK(Registry.find("silent") != nullptr);
  CHECK(Registry.find("left") == nullptr);
}

// Guards against refusing a live target for longer than it is silent: one that
// writes its record again after the restore, and one that was started again by
// a clock that had been set back.
TEST_CASE("target registry: a target that writes again is used at once") {
  TargetRegistry Registry;
  Registry.apply(inEra(1, change("silent", 50)), Now);
  Registry.apply(inEra(1, removal("silent", 51)), Now);
  Registry.apply(inEra(1, change("set back", 52, true, 9)), Now);
  Registry.onStoreRestored(Now);
  CHECK_FALSE(Registry.apply(inEra(2, change("silent", 5)), Now));
  CHECK_FALSE(Registry.apply(inEra(2, change("silent", 5)), Now));
  CHECK(Registry.apply(inEra(2, change("silent", 7)), Now));
  CHECK(Registry.find("silent") != nullptr);
  CHECK_FALSE(Registry.apply(inEra(2, change("set back", 6, false, 4)), Now));
  CHECK(Registry.find("set back") == nullptr);
  for (const TargetChange &Due : Registry.takeReappeared(Now + Seconds{5}))
    CHECK(Registry.apply(Due, Now + Seconds{5}));
  CHECK(Registry.find("set back") != nullptr);
}

// Guards against requests for a draining target whose record was missing from
// the copy and is then written from an older state.
TEST_CASE(
    "target registry: a draining target that was missing stays draining") {
  TargetRegistry Registry;
  Registry.apply(inEra(1, change("t", 50, true)), Now);
  Registry.onStoreRestored(Now);
  Registry.apply(inEra(2, removal("t", 5)), Now);
  Registry.expire(Now + Seconds{2});
  Registry.apply(inEra(2, change("t", 6)), Now + Seconds{3});
  CHECK(Registry.find("t") == nullptr);
}
