#include "Coordination/DocumentChange.h"
#include "Coordination/FakeKeyValueStore.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

constexpr Milliseconds LongTimeout{20000};

Expected<ChangeOutcome> apply(FakeKeyValueStore &Store, std::uint64_t Expected,
                              const std::string &ChangeId,
                              const std::string &Text = "text") {
  return capture([&] {
    return applyDocument(Store, {"guides", Expected, ChangeId, Text},
                         LongTimeout);
  });
}

} // namespace

// Guards against one operator's change overwriting a change of another operator
// that the first has not seen.
TEST_CASE("a change needs the current revision") {
  FakeKeyValueStore Store;
  auto First = apply(Store, 0, "c1", "one");
  REQUIRE(First);
  REQUIRE(First->Applied_);
  std::uint64_t Revision = First->Current_.Revision_;
  auto Conflict = apply(Store, 0, "c2", "two");
  REQUIRE(Conflict);
  CHECK_FALSE(Conflict->Applied_);
  CHECK(Conflict->Current_.Text_ == "one");
  CHECK(Conflict->Current_.Revision_ == Revision);
  auto Second = apply(Store, Revision, "c2", "two");
  REQUIRE(Second);
  CHECK(Second->Applied_);
  CHECK(Second->Current_.Revision_ > Revision);
  auto Missing = capture([&] {
    return deleteDocument(Store, {"other", 5, "c3", ""}, LongTimeout);
  });
  REQUIRE(Missing);
  CHECK_FALSE(Missing->Applied_);
  CHECK(Missing->Current_.Revision_ == 0);
}

// Guards against a deletion that hosts cannot notice because it leaves no key.
TEST_CASE("a deleted service leaves a tombstone that can be replaced") {
  FakeKeyValueStore Store;
  std::uint64_t Revision = apply(Store, 0, "c1")->Current_.Revision_;
  auto Deleted = capture([&] {
    return deleteDocument(Store, {"guides", Revision, "c2", ""}, LongTimeout);
  });
  REQUIRE(Deleted);
  CHECK(Deleted->Applied_);
  auto Conflict = apply(Store, Revision, "c3");
  REQUIRE(Conflict);
  CHECK(Conflict->Current_.Deleted_);
  auto Recreated = apply(Store, Conflict->Current_.Revision_, "c3");
  REQUIRE(Recreated);
  CHECK(Recreated->Applied_);
}

// Guards against reporting a change as failed that is in force, and against
// applying one twice.
TEST_CASE("the change id shows the outcome of a write whose reply was lost") {
  FakeKeyValueStore Store;
  SECTION("the write took effect") { Store.LoseReply_ = true; }
  SECTION("the write did not take effect") { Store.LoseRequest_ = true; }
  auto Outcome = apply(Store, 0, "c1");
  REQUIRE(Outcome);
  CHECK(Outcome->Applied_);
  auto Found =
      capture([&] { return Store.range(ServicePrefix, true, LongTimeout); });
  REQUIRE(Found);
  REQUIRE(Found->Pairs_.size() == 1);
  CHECK(Found->Pairs_[0].ModRevision_ == Outcome->Current_.Revision_);
  CHECK(Found->Pairs_[0].ModRevision_ == Found->Pairs_[0].CreateRevision_);
}

// Guards against changes that are accepted but cannot be stored or read back.
TEST_CASE("a change that cannot be stored is refused") {
  FakeKeyValueStore Store;
  auto Code = [&](const DocumentChange &Change) {
    auto Outcome =
        capture([&] { return applyDocument(Store, Change, LongTimeout); });
    REQUIRE_FALSE(Outcome);
    return Outcome.error().Code_;
  };
  std::string Large(MaxValueBytes, 'x');
  CHECK(Code({"", 0, "c", "t"}) == ErrorCode::InvalidArgument);
  CHECK(Code({"a/b", 0, "c", "t"}) == ErrorCode::InvalidArgument);
  CHECK(Code({"a", 0, "", "t"}) == ErrorCode::InvalidArgument);
  CHECK(Code({"a", 0, "c", Large}) == ErrorCode::InvalidArgument);
  CHECK(Code({"a", 0, "c", "\xff"}) == ErrorCode::InvalidArgument);
  CHECK(Store.Calls_ == 0);
  Store.Outage_ = true;
  CHECK(Code({"a", 0, "c", "t"}) == ErrorCode::Unavailable);
}

// Guards against accepting a value of another kind as a document.
TEST_CASE("a value that is not a document is refused") {
  for (const char *Value :
       {"", "[]", "{}", R"({"change_id":"c","deleted":0,"document":"t"})",
        R"({"change_id":"c","deleted":false,"document":7})"}) {
    protocol::KeyValue Pair{"/amaranth/services/a", Value, 1, 1, 0};
    auto Decoded = capture([&] { return decodeDocument(Pair); });
    REQUIRE_FALSE(Decoded);
    CHECK(Decoded.error().Code_ == ErrorCode::CorruptData);
  }
}
