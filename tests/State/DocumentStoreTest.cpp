#include "State/DocumentStore.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

using namespace amaranth::state;

namespace {

/// Reads "bad" as a faulty document and any other text as a service name.
DocumentReading readName(std::string_view Text) {
  DocumentReading Reading;
  if (Text == "bad")
    Reading.Faults_.push_back({1, "stages", "nothing", "at least one"});
  else
    Reading.Document_.emplace().Name_ = Text;
  return Reading;
}

StoredDocument document(std::uint64_t Revision, std::string Text = "guides") {
  return {"guides", Revision, false, "", std::move(Text)};
}

StoredDocument tombstone(std::uint64_t Revision) {
  return {"guides", Revision, true, "", ""};
}

class RecordingListener final : public DocumentStore::Listener {
public:
  void onDocument(const DocumentInForce &Document) override {
    Revisions_.push_back(Document.Stored_.Revision_);
  }
  void onBadDocument(const StoredDocument &,
                     const std::vector<DocumentFault> &) override {
    ++Bad_;
  }
  std::vector<std::uint64_t> Revisions_;
  int Bad_ = 0;
};

} // namespace

// Guards against a late or repeated message that reverts a configuration.
TEST_CASE("an older revision never replaces a newer one") {
  DocumentStore Store(readName);
  CHECK(Store.accept(document(5)) == Acceptance::Accepted);
  CHECK(Store.accept(document(5)) == Acceptance::NotNewer);
  CHECK(Store.accept(document(4)) == Acceptance::NotNewer);
  CHECK(Store.accept(document(0)) == Acceptance::NotNewer);
  CHECK(Store.stored("guides").Revision_ == 5);
}

// Guards against a peer that is behind bringing a deleted service back.
TEST_CASE("a tombstone outlives the document that it deletes") {
  DocumentStore Store(readName);
  Store.accept(document(5));
  CHECK(Store.accept(tombstone(6)) == Acceptance::Accepted);
  CHECK(Store.accept(document(5)) == Acceptance::NotNewer);
  CHECK(Store.find("guides") == nullptr);
  CHECK(Store.services().empty());
  CHECK(Store.documents({"guides", "other"}).size() == 1);
  CHECK(Store.accept(document(7)) == Acceptance::Accepted);
  CHECK(Store.find("guides") != nullptr);
}

// Guards against a bad document taking a service out of operation, and against
// fetching it again at every probe.
TEST_CASE("the last good document stays in force") {
  DocumentStore Store(readName);
  RecordingListener Listener;
  Store.addListener(Listener);
  Store.accept(document(5));
  std::string Digest = Store.digest();
  CHECK(Store.accept(document(6, "bad")) == Acceptance::Bad);
  CHECK(Store.accept(document(7, "another-service")) == Acceptance::Bad);
  CHECK(Store.stored("guides").Revision_ == 5);
  CHECK(Store.find("guides") != nullptr);
  CHECK(Store.digest() == Digest);
  CHECK_FALSE(Store.wants("guides", 7));
  CHECK(Store.accept(document(8)) == Acceptance::Accepted);
  CHECK(Listener.Bad_ == 2);
  CHECK(Listener.Revisions_ == std::vector<std::uint64_t>{5, 8});
}

// Guards against hosts with different documents that believe they are equal.
TEST_CASE("digests are equal exactly when the revisions are") {
  DocumentStore Left(readName);
  DocumentStore Right(readName);
  Left.accept(document(5));
  CHECK(Left.digest() != Right.digest());
  Right.accept(document(4));
  CHECK(Left.digest() != Right.digest());
  Right.accept(document(5));
  CHECK(Left.digest() == Right.digest());
}

// Guards against two threads that both find their revision newer and then
// publish them in the wrong order.
TEST_CASE("concurrent changes are published in revision order") {
  DocumentStore Store(readName);
  RecordingListener Listener;
  Store.addListener(Listener);
  constexpr std::uint64_t Last = 400;
  std::atomic<std::uint64_t> Next = 1;
  auto Feed = [&] {
    for (std::uint64_t Revision = Next++; Revision <= Last; Revision = Next++)
      Store.accept(document(Revision));
  };
  std::vector<std::thread> Threads;
  for (int I = 0; I < 4; ++I)
    Threads.emplace_back(Feed);
  for (std::thread &Each : Threads)
    Each.join();
  CHECK(Store.stored("guides").Revision_ == Last);
  CHECK(std::is_sorted(Listener.Revisions_.begin(), Listener.Revisions_.end()));
  CHECK(Listener.Revisions_.back() == Last);
}
