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

// Guards against a configuration that steps back because an older copy comes
// late from another host.
TEST_CASE("store mirror: older copies are no news") {
  StoreMirror Mirror;
  CHECK(Mirror.apply({item("k", 5)}).size() == 1);
  CHECK(Mirror.apply({item("k", 5), item("k", 4)}).empty());
  CHECK(Mirror.apply({removal("k", 6)}).size() == 1);
  CHECK(Mirror.apply({item("k", 5)}).empty());
  CHECK(Mirror.items().empty());
}

// Guards against serving by a stale list after the store dropped its history:
// what a complete reading lacks is gone, unless it was written later.
TEST_CASE("store mirror: a complete reading removes what it lacks") {
  StoreMirror Mirror;
  Mirror.apply({item("kept", 5), item("gone", 6), item("later", 30)});
  StoreMirror::Items News = Mirror.replace({item("kept", 5)}, 20);
  REQUIRE(News.size() == 1);
  CHECK(News[0].Key_ == "gone");
  CHECK(News[0].Removed_);
  CHECK(Mirror.items().size() == 2);
  CHECK(Mirror.revision() == 30);
}

// Guards against hosts that take each other's records for different, or for
// equal, because they learned of the same changes in another order.
TEST_CASE("store mirror: digests agree exactly when the items do") {
  StoreMirror One;
  StoreMirror Other;
  One.apply({item("a", 1), item("b", 2), item("a", 3)});
  Other.apply({item("a", 3), item("b", 2)});
  CHECK(One.digest() == Other.digest());
  One.apply({removal("b", 4)});
  CHECK(One.digest() != Other.digest());
  Other.replace({item("a", 3)}, 9);
  CHECK(One.digest() == Other.digest());
  Other.apply({item("b", 10)});
  CHECK(One.digest() != Other.digest());
}

// Guards against memory that grows with every target that ever was.
TEST_CASE("store mirror: old removals are forgotten") {
  StoreMirror Mirror;
  for (std::uint64_t I = 1; I <= 10000; ++I)
    Mirror.apply({item("k" + std::to_string(I), 2 * I),
                  removal("k" + std::to_string(I), 2 * I + 1)});
  // The latest removal still holds.
  CHECK(Mirror.apply({item("k10000", 20000)}).empty());
  // The oldest is forgotten, so its key counts as new.
  CHECK(Mirror.apply({item("k1", 2)}).size() == 1);
}
