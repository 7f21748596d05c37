#include "StageFixture.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::testing;
using coordination::FreeTarget;
using coordination::QueuedPiece;
using coordination::StageQueue;

namespace {

const SteadyTime Now{Seconds{1000}};

FreeTarget target(const std::string &DataCentre = "a",
                  std::uint64_t FreeBytes = 10000) {
  return {DataCentre, FreeBytes, {{"a", Now}, {"b", Now + Milliseconds{300}}}};
}

/// Request ids of the pieces of a call.
std::vector<std::string> requests(const std::vector<QueuedPiece> &Call) {
  std::vector<std::string> Ids;
  for (const QueuedPiece &Piece : Call)
    Ids.push_back(Piece.Piece_.RequestId_);
  return Ids;
}

} // namespace

// Pattern: a burst of one kind of request during another. Guards against urgent
// requests that wait behind less urgent ones that arrived first.
TEST_CASE(
    "stage queue: the more urgent kind goes first, then the least slack") {
  StageQueue Queue;
  Queue.push(piece("low", 0, 2, Now + Milliseconds{300}));
  Queue.push(piece("later", 0, 0, Now + Milliseconds{900}));
  Queue.push(piece("sooner", 0, 0, Now + Milliseconds{500}));
  std::vector<QueuedPiece> Call = Queue.composeCall(target(), capacity(2), Now);
  CHECK(requests(Call) == std::vector<std::string>{"sooner", "later"});
  CHECK(Queue.size() == 1);
}

// Pattern: overload. Guards against serving requests that have missed their aim
// before those that can still meet theirs, after which all miss it.
TEST_CASE("stage queue: pieces that can meet their aim precede late ones") {
  StageQueue Queue;
  // A call of one piece or fewer takes 250 ms here.
  Queue.push(piece("late", 0, 0, Now - Milliseconds{1}));
  Queue.push(piece("intime", 0, 2, Now + Milliseconds{251}));
  std::vector<QueuedPiece> Call = Queue.composeCall(target(), capacity(1), Now);
  CHECK(requests(Call) == std::vector<std::string>{"intime"});
  Call = Queue.composeCall(target(), capacity(1), Now);
  CHECK(requests(Call) == std::vector<std::string>{"late"});
}

// Pattern: a long burst. Guards against calls with pieces that are due before
// the call ends: in the order of due times each piece would start slightly too
// late, and no request of the burst would meet its aim.
TEST_CASE("stage queue: a piece that is due during its call counts as late") {
  StageQueue Queue;
  Queue.push(piece("due", 0, 0, Now + Milliseconds{240}));
  Queue.push(piece("next", 0, 0, Now + Milliseconds{600}));
  std::vector<QueuedPiece> Call = Queue.composeCall(target(), capacity(1), Now);
  CHECK(requests(Call) == std::vector<std::string>{"next"});
  CHECK(Queue.waitingCounts().Late_ == 1);
}

// Pattern: full calls. Guards against splitting the pieces of a request over
// calls: the first results would occupy storage until the last is completed.
TEST_CASE("stage queue: the pieces of a request stay in one call") {
  StageQueue Queue;
  for (std::size_t I = 0; I < 3; ++I)
    Queue.push(piece("first", I, 0, Now + Milliseconds{400}));
  for (std::size_t I = 0; I < 3; ++I)
    Queue.push(piece("second", I, 0, Now + Milliseconds{500}));
  Queue.push(piece("third", 0, 0, Now + Milliseconds{600}));
  std::vector<QueuedPiece> Call = Queue.composeCall(target(), capacity(4), Now);
  CHECK(requests(Call) ==
        std::vector<std::string>{"first", "first", "first", "third"});
}

// Guards against a request that never runs because it has more pieces than fit
// into a call or the storage of a target.
TEST_CASE("stage queue: a request larger than a call is divided") {
  StageQueue Queue;
  for (std::size_t I = 0; I < 6; ++I)
    Queue.push(piece("large", I, 0, Now + Milliseconds{100}));
  CHECK(Queue.composeCall(target(), capacity(4), Now).size() == 4);
  CHECK(Queue.composeCall(target(), capacity(4), Now).size() == 2);
}

// Pattern: large results. Guards against calls whose results exceed the free
// storage of the target.
TEST_CASE("stage queue: the results of a call fit the target's storage") {
  StageQueue Queue;
  Queue.push(piece("x", 0, 0, Now + Milliseconds{100}));
  Queue.push(piece("y", 0, 0, Now + Milliseconds{200}));
  CHECK(Queue.composeCall(target("a", 999), capacity(8), Now).empty());
  CHECK(Queue.composeCall(target("a", 1500), capacity(8), Now).size() == 1);
}

// Pattern: results read in another data centre. Guards against transferring
// results between data centres although there was time to compute them in the
// preferred one, and against waiting for a target that does not exist.
TEST_CASE("stage queue: a piece waits for its data centre while it has time") {
  StageQueue Queue;
  QueuedPiece LocalPiece = piece("home", 0, 0, Now + Seconds{2});
  LocalPiece.DataCentre_ = "b";
  Queue.push(LocalPiece);
  CHECK(Queue.composeCall(target("a"), capacity(8), Now).empty());
  SECTION("it is taken elsewhere when its time runs out") {
    CHECK(Queue.composeCall(target("a"), capacity(8), Now + Milliseconds{1900})
              .size() == 1);
  }
  SECTION("it is taken elsewhere when its data centre has no target") {
    FreeTarget OnlyTarget{"a", 10000, {{"a", Now}}};
    CHECK(Queue.composeCall(OnlyTarget, capacity(8), Now).size() == 1);
  }
  SECTION("it is taken in its data centre") {
    CHECK(Queue.composeCall(target("b"), capacity(8), Now).size() == 1);
  }
}

// Pattern: a burst while results are read in other data centres. Guards against
// nearly empty calls while many pieces wait for the targets of another data
// centre.
TEST_CASE("stage queue: a call is filled from elsewhere when many wait") {
  StageQueue Queue;
  Queue.push(piece("here", 0, 0, Now + Seconds{2}));
  for (int I = 0; I < 10; ++I) {
    QueuedPiece Remote =
        piece("away" + std::to_string(I), 0, 0, Now + Seconds{2});
    Remote.DataCentre_ = "b";
    Queue.push(Remote);
  }
  CHECK(Queue.composeCall(target("a"), capacity(4), Now).size() == 4);
  CHECK(Queue.composeCall(target("a"), capacity(4), Now).size() == 4);
  // The remaining pieces fit into the next call in their data centre.
  CHECK(Queue.composeCall(target("a"), capacity(4), Now).empty());
  CHECK(Queue.composeCall(target("b"), capacity(4), Now).size() == 3);
}

// Guards against work for cancelled or expired requests, and against removing
// the pieces of another entry host with the same request id.
TEST_CASE("stage queue: cancelled and expired pieces leave the queue") {
  StageQueue Queue;
  Queue.push(piece("x", 0, 0, Now));
  QueuedPiece Other = piece("x", 0, 0, Now);
  Other.EntryHost_ = "other";
  Queue.push(Other);
  Queue.cancelRequest("host", "x");
  CHECK(Queue.size() == 1);
  CHECK(Queue.takeExpired(Now + Seconds{9}).empty());
  CHECK(Queue.takeExpired(Now + Seconds{10}).size() == 1);
  CHECK(Queue.empty());
}

// Pattern: a host is silent for a while. Guards against pieces that vanish
// without a report to the host that still waits for them.
TEST_CASE("stage queue: the pieces of an unreachable host are handed back") {
  StageQueue Queue;
  Queue.push(piece("r1", 0, 0, Now + Seconds{1}));
  Queue.push(piece("r1", 1, 0, Now + Seconds{1}));
  QueuedPiece Other = piece("r2", 0, 0, Now + Seconds{1});
  Other.EntryHost_ = "other";
  Queue.push(Other);
  CHECK(requests(Queue.takeEntryHost("host")) ==
        std::vector<std::string>{"r1", "r1"});
  CHECK(Queue.size() == 1);
  CHECK(Queue.takeEntryHost("host").empty());
}

// Pattern: a wave of requests with many pieces each. Guards against calls that
// are sent with free places while a full call waits, because no whole request
// fits: a third of the capacity was lost, and large requests never fitted.
TEST_CASE("stage queue: a request is divided if a full call remains waiting") {
  StageQueue Queue;
  StageQueue ShortOfStorage;
  for (const char *Request : {"r1", "r2", "r3"})
    for (std::size_t Number = 0; Number < 5; ++Number) {
      Queue.push(piece(Request, Number, 0, Now + Seconds{1}));
      ShortOfStorage.push(piece(Request, Number, 0, Now + Seconds{1}));
    }
  state::StageCapacity Capacity = capacity(8);
  // Parts of requests would take up storage until the rest is computed.
  CHECK(ShortOfStorage.composeCall(target(), Capacity, Now).size() == 5);
  Capacity.ResultMemoryBytes_ = 16000;
  CHECK(Queue.composeCall(target(), Capacity, Now).size() == 8);
  CHECK(Queue.size() == 7);
  // Behind the rest of r2 less than a call remains: r3 stays together.
  CHECK(requests(Queue.composeCall(target(), capacity(6), Now)) ==
        std::vector<std::string>{"r2", "r2"});
}
