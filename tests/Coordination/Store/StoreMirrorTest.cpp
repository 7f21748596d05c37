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
