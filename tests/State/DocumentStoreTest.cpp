#include "State/DocumentStore.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

using namespace amaranth::state;

namespace {

/// Reads "bad" as an invalid document and any other text as a service name.
DocumentReadResult readName(std::string_view Text) {
  DocumentReadResult Reading;
  if (Text == "bad")
    Reading.Faults_.push_back({1, "stages", "nothing", "at least one"});
  else
    Reading.Document_.emplace().Name_ = Text;
  return Reading;
}

StoredDocument makeDocument(std::uint64_t Revision,
                            std::string Text = "guides") {
  return {"guides", Revision, false, "", std::move(Text)};
}

StoredDocument makeTombstone(std::uint64_t Revision) {
  return {"guides", Revision, true, "", ""};
}

class RecordingListener final : public DocumentStore::Listener {
public:
  void onDocument(const DocumentInForce &Document) override {
    Revisions_.push_back(Document.Stored_.Revision_);
  }
  void onInvalidDocument(const StoredDocument &,
                         const std::vector<DocumentFault> &) override {
    ++InvalidCount_;
  }
  std::vector<std::uint64_t> Revisions_;
  int InvalidCount_ = 0;
};

} // namespace

// Guards against a delayed or repeated message that restores an old document.
TEST_CASE("an older revision never replaces a newer one") {
  DocumentStore Store(readName);
  CHECK(Store.accept(makeDocument(5)) == Acceptance::Accepted);
  CHECK(Store.accept(makeDocument(5)) == Acceptance::NotNewer);
  CHECK(Store.accept(makeDocument(4)) == Acceptance::NotNewer);
  CHECK(Store.accept(makeDocument(0)) == Acceptance::NotNewer);
  CHECK(Store.stored("guides").Revision_ == 5);
}

// Guards against a peer with an old document that restores a deleted service.
TEST_CASE("a tombstone outlives the document that it deletes") {
  DocumentStore Store(readName);
  Store.accept(makeDocument(5));
  CHECK(Store.accept(makeTombstone(6)) == Acceptance::Accepted);
  CHECK(Store.accept(makeDocument(5)) == Acceptance::NotNewer);
  CHECK(Store.find("guides") == nullptr);
  CHECK(Store.services().empty());
  CHECK(Store.documents({"guides", "other"}).size() == 1);
  CHECK(Store.accept(makeDocument(7)) == Acceptance::Accepted);
  CHECK(Store.find("guides") != nullptr);
}

// Guards against an invalid document that takes a service out of operation, and
// against fetching it again at every probe.
TEST_CASE("the last good document stays in force") {
  DocumentStore Store(readName);
  RecordingListener Listener;
  Store.addListener(Listener);
  Store.accept(makeDocument(5));
  std::string Digest = Store.digest();
  CHECK(Store.accept(makeDocument(6, "bad")) == Acceptance::Invalid);
  CHECK(Store.accept(makeDocument(7, "another-service")) ==
        Acceptance::Invalid);
  CHECK(Store.stored("guides").Revision_ == 5);
  CHECK(Store.find("guides") != nullptr);
  CHECK(Store.digest() == Digest);
  CHECK_FALSE(Store.isNewRevision("guides", 7));
  CHECK(Store.accept(makeDocument(8)) == Acceptance::Accepted);
  CHECK(Listener.InvalidCount_ == 2);
  CHECK(Listener.Revisions_ == std::vector<std::uint64_t>{5, 8});
}

// Guards against hosts that have different documents but equal digests.
TEST_CASE("digests are equal exactly when the revisions are") {
  DocumentStore Left(readName);
  DocumentStore Right(readName);
  Left.accept(makeDocument(5));
  CHECK(Left.digest() != Right.digest());
  Right.accept(makeDocument(4));
  CHECK(Left.digest() != Right.digest());
  Right.accept(makeDocument(5));
  CHECK(Left.digest() == Right.digest());
}

// Guards against two threads that both find their revision to be newer and then
// publish the revisions in the wrong order.
TEST_CASE("concurrent changes are published in revision order") {
  DocumentStore Store(readName);
  RecordingListener Listener;
  Store.addListener(Listener);
  constexpr std::uint64_t LastRevision = 400;
  std::atomic<std::uint64_t> NextRevision = 1;
  auto AcceptRevisions = [&] {
    for (std::uint64_t Revision = NextRevision++; Revision <= LastRevision;
         Revision = NextRevision++)
      Store.accept(makeDocument(Revision));
  };
  std::vector<std::thread> Workers;
  for (int Index = 0; Index < 4; ++Index)
    Workers.emplace_back(AcceptRevisions);
  for (std::thread &Worker : Workers)
    Worker.join();
  CHECK(Store.stored("guides").Revision_ == LastRevision);
  CHECK(std::is_sorted(Listener.Revisions_.begin(), Listener.Revisions_.end()));
  CHECK(Listener.Revisions_.back() == LastRevision);
}
