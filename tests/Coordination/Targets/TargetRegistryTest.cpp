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
  Record.Leaving_ = Leaving;
  Record.Incarnation_ = Incarnation;
  return {Id, Revision, Record};
}

TargetChange removal(const std::string &Id, std::uint64_t Revision) {
  return {Id, Revision, std::nullopt};
}

} // namespace

// Guards against work for a target that has said that it leaves: by an older
// copy from a peer, or by a record written without the state.
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

// Guards against ignoring a target that has started again under its name.
TEST_CASE("target registry: a new incarnation serves again") {
  TargetRegistry Registry;
  Registry.apply(change("t", 5, true, 1), Now);
  Registry.apply(change("t", 6, false, 2), Now);
  CHECK(Registry.find("t") != nullptr);
}

// Guards against work for targets that are gone, and against an older record
// that brings one back.
TEST_CASE("target registry: a removal seen while the store is well is final") {
  TargetRegistry Registry;
  Registry.apply(change("t", 5), Now);
  Registry.apply(removal("t", 8), Now);
  CHECK(Registry.find("t") == nullptr);
  Registry.apply(change("t", 7), Now);
  CHECK(Registry.find("t") == nullptr);
}

// Guards against dropping all targets because their records expired while the
// store was away, and against keeping those that do not come back.
TEST_CASE(
    "target registry: records missing after an outage get time to return") {
  TargetRegistry Registry;
  Registry.apply(change("back", 5), Now);
  Registry.apply(change("gone", 6), Now);
  Registry.onStoreLost();
  Registry.onStoreBack(Now);
  Registry.apply(removal("back", 20), Now);
  Registry.apply(removal("gone", 20), Now);
  CHECK(Registry.serving("s").size() == 2);
  Registry.apply(change("back", 21), Now + Seconds{1});
  Registry.expire(Now + Seconds{2});
  CHECK(Registry.find("back") != nullptr);
  CHECK(Registry.find("gone") == nullptr);
}

// Guards against a record that becomes unreadable and leaves its target in use,
// and against a target that moves to another service and is found under both.
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
