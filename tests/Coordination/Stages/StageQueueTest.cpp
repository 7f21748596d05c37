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
                  std::uint64_t Room = 10000) {
  return {DataCentre, Room, {{"a", Now}, {"b", Now + Milliseconds{300}}}};
}

std::vector<std::string> requests(const std::vector<QueuedPiece> &Call) {
  std::vector<std::string> Out;
  for (const QueuedPiece &Piece : Call)
    Out.push_back(Piece.Piece_.RequestId_);
  return Out;
}

} // namespace

// Pattern: a burst of one kind beside another. Guards against urgent requests
// that wait behind less urgent ones that came first.
TEST_CASE(
    "stage queue: the more urgent kind goes first, then the least slack") {
  StageQueue Queue;
  Queue.push(piece("low", 0, 2, Now + Milliseconds{300}));
  Queue.push(piece("later", 0, 0, Now + Milliseconds{900}));
  Queue.push(piece("sooner", 0, 0, Now + Milliseconds{500}));
  std::vector<QueuedPiece> Call = Queue.compose(target(), capacity(2), Now);
  CHECK(requests(Call) == std::vector<std::string>{"sooner", "later"});
  CHECK(Queue.size() == 1);
}

// Pattern: overload. Guards against serving requests that have missed their
// aim while others still can meet theirs, so that in the end none does.
TEST_CASE("stage queue: what can meet its aim goes before what cannot") {
  StageQueue Queue;
  // A call of one piece or fewer takes 250 ms here.
  Queue.push(piece("late", 0, 0, Now - Milliseconds{1}));
  Queue.push(piece("intime", 0, 2, Now + Milliseconds{251}));
  std::vector<QueuedPiece> Call = Queue.compose(target(), capacity(1), Now);
  CHECK(requests(Call) == std::vector<std::string>{"intime"});
  Call = Queue.compose(target(), capacity(1), Now);
  CHECK(requests(Call) == std::vector<std::string>{"late"});
}

// Pattern: a burst that lasts. Guards against calls for pieces that are due
// before the call ends: with the least slack first, each piece would be begun
// just too late, and none of the burst would meet its aim.
TEST_CASE("stage queue: a piece that is due during its call counts as late") {
  StageQueue Queue;
  Queue.push(piece("due", 0, 0, Now + Milliseconds{240}));
  Queue.push(piece("next", 0, 0, Now + Milliseconds{600}));
  std::vector<QueuedPiece> Call = Queue.compose(target(), capacity(1), Now);
  CHECK(requests(Call) == std::vector<std::string>{"next"});
  CHECK(Queue.waiting().Late_ == 1);
}

// Pattern: full calls. Guards against dividing the pieces of a request over
// calls, whose first results then hold room until the last is made.
TEST_CASE("stage queue: the pieces of a request stay in one call") {
  StageQueue Queue;
  for (std::size_t I = 0; I < 3; ++I)
    Queue.push(piece("first", I, 0, Now + Milliseconds{400}));
  for (std::size_t I = 0; I < 3; ++I)
    Queue.push(piece("second", I, 0, Now + Milliseconds{500}));
  Queue.push(piece("third", 0, 0, Now + Milliseconds{600}));
  std::vector<QueuedPiece> Call = Queue.compose(target(), capacity(4), Now);
  CHECK(requests(Call) ==
        std::vector<std::string>{"first", "first", "first", "third"});
}

// Guards against a request that can never be served because it has more pieces
// than a call or than a target's room.
TEST_CASE("stage queue: a request larger than a call is divided") {
  StageQueue Queue;
  for (std::size_t I = 0; I < 6; ++I)
    Queue.push(piece("large", I, 0, Now + Milliseconds{100}));
  CHECK(Queue.compose(target(), capacity(4), Now).size() == 4);
  CHECK(Queue.compose(target(), capacity(4), Now).size() == 2);
}

// Pattern: large results. Guards against calls whose results do not fit.
TEST_CASE("stage queue: a call fits the target's room") {
  StageQueue Queue;
  Queue.push(piece("x", 0, 0, Now + Milliseconds{100}));
  Queue.push(piece("y", 0, 0, Now + Milliseconds{200}));
  CHECK(Queue.compose(target("a", 999), capacity(8), Now).empty());
  CHECK(Queue.compose(target("a", 1500), capacity(8), Now).size() == 1);
}

// Pattern: results read in another data centre. Guards against results that
// cross between data centres although there was time to make them at home, and
// against pieces that wait for a target that does not exist.
TEST_CASE("stage queue: a piece waits for its data centre while it has time") {
  StageQueue Queue;
  QueuedPiece Home = piece("home", 0, 0, Now + Seconds{2});
  Home.DataCentre_ = "b";
  Queue.push(Home);
  CHECK(Queue.compose(target("a"), capacity(8), Now).empty());
  SECTION("it is taken elsewhere when its time runs out") {
    CHECK(Queue.compose(target("a"), capacity(8), Now + Milliseconds{1900})
              .size() == 1);
  }
  SECTION("it is taken elsewhere when its data centre has no target") {
    FreeTarget Only{"a", 10000, {{"a", Now}}};
    CHECK(Queue.compose(Only, capacity(8), Now).size() == 1);
  }
  SECTION("it is taken at home") {
    CHECK(Queue.compose(target("b"), capacity(8), Now).size() == 1);
  }
}

// Pattern: a burst while results are read in other data centres. Guards against
// calls that are sent nearly empty while a long queue waits for the targets of
// one data centre.
TEST_CASE("stage queue: a call is filled from elsewhere when many wait") {
  StageQueue Queue;
  Queue.push(piece("here", 0, 0, Now + Seconds{2}));
  for (int I = 0; I < 10; ++I) {
    QueuedPiece Away =
        piece("away" + std::to_string(I), 0, 0, Now + Seconds{2});
    Away.DataCentre_ = "b";
    Queue.push(Away);
  }
  CHECK(Queue.compose(target("a"), capacity(4), Now).size() == 4);
  CHECK(Queue.compose(target("a"), capacity(4), Now).size() == 4);
  // What is left fits into the next call at home.
  CHECK(Queue.compose(target("a"), capacity(4), Now).empty());
  CHECK(Queue.compose(target("b"), capacity(4), Now).size() == 3);
}

// Guards against work for requests that were given up, and against pieces of
// one host being removed with those of another.
TEST_CASE("stage queue: cancelled and expired pieces leave the queue") {
  StageQueue Queue;
  Queue.push(piece("x", 0, 0, Now));
  QueuedPiece Other = piece("x", 0, 0, Now);
  Other.Owner_ = "other";
  Queue.push(Other);
  Queue.cancel("host", "x");
  CHECK(Queue.size() == 1);
  CHECK(Queue.takeExpired(Now + Seconds{9}).empty());
  CHECK(Queue.takeExpired(Now + Seconds{10}).size() == 1);
  CHECK(Queue.empty());
}
