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
