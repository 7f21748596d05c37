#include "Coordination/Store/StoreMirror.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using coordination::StoreMirror;
using protocol::StoreItem;

namespace {

StoreItem item(const std::string &Key, std::uint64_t Revision) {
  return {Key, "v" + std::to_string(Revision), Revision, false};
}

StoreItem removal(const std::string &Key, std::uint64_t Revision) {
  return {Key, "", Revision, true};
}

} // namespace

// Guards against reverting to an older configuration because an older copy
// arrives late from another host.
TEST_CASE("store mirror: older copies are ignored") {
  StoreMirror Mirror;
  CHECK(Mirror.apply({item("k", 5)}).size() == 1);
  CHECK(Mirror.apply({item("k", 5), item("k", 4)}).empty());
  CHECK(Mirror.apply({removal("k", 6)}).size() == 1);
  CHECK(Mirror.apply({item("k", 5)}).empty());
  CHECK(Mirror.items().empty());
}

// Guards against serving with removed items after the store dropped its
// history: items that a complete list lacks are removed, unless they were
// written later.
TEST_CASE("store mirror: a complete list removes the items that it lacks") {
  StoreMirror Mirror;
  Mirror.apply({item("kept", 5), item("removed", 6), item("later", 30)});
  StoreMirror::Items Changes = Mirror.replace({item("kept", 5)}, 20);
  REQUIRE(Changes.size() == 1);
  CHECK(Changes[0].Key_ == "removed");
  CHECK(Changes[0].Removed_);
  CHECK(Mirror.items().size() == 2);
  CHECK(Mirror.revision() == 30);
}

// Guards against digests that depend on the order in which a host received the
// changes, and against equal digests of different items.
TEST_CASE("store mirror: digests are equal exactly if the items are") {
  StoreMirror First;
  StoreMirror Second;
  First.apply({item("a", 1), item("b", 2), item("a", 3)});
  Second.apply({item("a", 3), item("b", 2)});
  CHECK(First.digest() == Second.digest());
  First.apply({removal("b", 4)});
  CHECK(First.digest() != Second.digest());
  Second.replace({item("a", 3)}, 9);
  CHECK(First.digest() == Second.digest());
  Second.apply({item("b", 10)});
  CHECK(First.digest() != Second.digest());
}

// Guards against memory that grows with every target that ever existed.
TEST_CASE("store mirror: old removals are forgotten") {
  StoreMirror Mirror;
  for (std::uint64_t I = 1; I <= 10000; ++I)
    Mirror.apply({item("k" + std::to_string(I), 2 * I),
                  removal("k" + std::to_string(I), 2 * I + 1)});
  // The latest removal is still remembered.
  CHECK(Mirror.apply({item("k10000", 20000)}).empty());
  // The oldest is forgotten, so its key counts as new.
  CHECK(Mirror.apply({item("k1", 2)}).size() == 1);
}

namespace {

StoreItem itemOf(std::uint64_t Era, const std::string &Key,
                 std::uint64_t Revision) {
  return {Key, "v" + std::to_string(Revision), Revision, false, Era};
}

} // namespace

// Guards against ignoring all changes after the store was restored from a copy,
// until its revisions have passed those that it gave out before.
TEST_CASE("store mirror: a list of a later era replaces all items") {
  StoreMirror Mirror;
  Mirror.replace({itemOf(1, "config", 9), itemOf(1, "newer", 10)}, 10, 1);
  CHECK(Mirror.isRestored(2));
  StoreMirror::Items Changes =
      Mirror.replace({itemOf(2, "config", 5), itemOf(2, "old", 4)}, 6, 2);
  REQUIRE(Changes.size() == 3);
  CHECK(Mirror.revision() == 6);
  CHECK(Mirror.era() == 2);
  CHECK(Mirror.apply({itemOf(2, "config", 7)}).size() == 1);
  CHECK(Mirror.apply({itemOf(2, "newer", 8)}).size() == 1);
  CHECK(Mirror.items().size() == 3);
}

// Guards against a late answer or relay from before a restore that undoes what
// was written after it.
TEST_CASE("store mirror: records of another era are ignored") {
  StoreMirror Mirror;
  Mirror.replace({itemOf(3, "k", 5)}, 5, 3);
  CHECK(Mirror.apply({itemOf(2, "k", 50)}).empty());
  CHECK(Mirror.apply({itemOf(4, "k", 50)}).empty());
  CHECK(Mirror.isOutdated(2));
  CHECK(Mirror.replace({itemOf(2, "other", 60)}, 60, 2).empty());
  REQUIRE(Mirror.items().size() == 1);
  CHECK(Mirror.items()[0].Value_ == "v5");
  // Two restores in a row.
  CHECK(Mirror.replace({itemOf(5, "k", 2)}, 3, 5).size() == 1);
}

// Guards against a host that takes the start of the store's statements, or an
// answer without one, for a restore.
TEST_CASE("store mirror: an era that is not stated counts as the known one") {
  StoreMirror Mirror;
  CHECK_FALSE(Mirror.isRestored(7));
  Mirror.replace({item("k", 5)}, 5);
  CHECK_FALSE(Mirror.isRestored(1));
  CHECK(Mirror.replace({itemOf(1, "k", 6)}, 6, 1).size() == 1);
  Mirror.replace({itemOf(2, "k", 3)}, 3, 2);
  CHECK(Mirror.apply({item("k", 4)}).size() == 1);
  CHECK(Mirror.apply({item("k", 2)}).empty());
}

// Guards against hosts that consider their records equal across a restore, and
// against differences to hosts that do not know of eras.
TEST_CASE("store mirror: digests tell eras apart") {
  StoreMirror Unstated;
  StoreMirror First;
  StoreMirror Second;
  Unstated.replace({item("k", 5)}, 5);
  First.replace({itemOf(1, "k", 5)}, 5, 1);
  Second.replace({itemOf(2, "k", 5)}, 5, 2);
  CHECK(Unstated.digest() == First.digest());
  CHECK(First.digest() != Second.digest());
}
