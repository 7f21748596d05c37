#include "Integration/Eventually.h"
#include "Integration/Platform/PlatformFleet.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <fstream>
#include <mutex>
#include <thread>

using namespace amaranth;
using namespace amaranth::integration;

namespace {

/// Writes \p Begin and then filler bytes until the peer closes the connection.
bool writeWithoutEnd(RawServerConnection &Connection,
                     const std::string &Begin) {
  Connection.write(Begin);
  std::string Filler(4096, ' ');
  while (!Connection.waitForClose(1))
    Connection.write(Filler);
  return false;
}

std::string headWithEnormousLength(const RawRequest &Request) {
  return transport::statusLine(200) + validResponseFields(Request) +
         "Content-Length: 1000000000000000000\r\n\r\n";
}

/// Largest memory that \p Process has used, as the kernel reports it.
std::size_t peakMemoryBytes(const ChildProcess &Process) {
  std::ifstream File("/proc/" + std::to_string(Process.id()) + "/status");
  std::string Word;
  std::size_t Kilobytes = 0;
  while (File >> Word)
    if (Word == "VmHWM:")
      File >> Kilobytes;
  return Kilobytes * 1024;
}

} // namespace

// Rule LOST. Guards against a process that ends, with all requests in progress,
// because one answer to a stage call states an enormous length.
TEST_CASE("platform: a stage answer with an enormous length ends no process") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  std::atomic<int> Spoiled{0};
  std::atomic<bool> OrderStarted{false};
  TargetDouble Faulty(
      Store, "i-1", "stage",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        ++Spoiled;
        return writeWithoutEnd(Connection, headWithEnormousLength(Request));
      });
  TargetDouble Desk(
      Store, "i-2", "desk",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        OrderStarted = true;
        std::this_thread::sleep_for(Milliseconds{1500});
        return answerDone(Connection, Request);
      });
  TargetDouble Engine(Store, "i-3", "engine", streamAll);
  PlatformFleet Fleet(Store, 2);
  PlatformAnswer Order;
  std::thread Caller(
      [&] { Order = Fleet.call(0, platformRequest("POST", "/order/1")); });
  CHECK(eventually([&] { return OrderStarted.load(); }, Seconds{3}));
  PlatformAnswer Guide =
      Fleet.call(0, platformRequest("POST", "/guide/1",
                                    "Pieces: 1,1\r\nPiece-Key: k\r\n"));
  Caller.join();
  CHECK(Spoiled > 0);
  CHECK(Guide.Status_ == 503);
  CHECK(Order.Status_ == 200);
  for (std::size_t Host = 0; Host < 2; ++Host)
    CHECK_FALSE(Fleet.process(Host).waitExit(Milliseconds{200}));
}

// Rule LOST. Pattern: a target breaks off a chunked answer without content in
// its last chunk. Guards against a process that ends, with all requests in
// progress.
TEST_CASE("platform: an answer broken off in its last chunk ends no process") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  std::atomic<bool> OrderStarted{false};
  TargetDouble Desk(
      Store, "i-1", "desk",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        if (Request.path() == "/order/whole") {
          OrderStarted = true;
          std::this_thread::sleep_for(Milliseconds{1000});
          return answerDone(Connection, Request);
        }
        Connection.write(transport::statusLine(500) +
                         validResponseFields(Request) +
                         "Transfer-Encoding: chunked\r\n\r\n0\r\n");
        return false;
      });
  PlatformFleet Fleet(Store, 1);
  PlatformAnswer Order;
  std::thread Caller(
      [&] { Order = Fleet.call(0, platformRequest("POST", "/order/whole")); });
  CHECK(eventually([&] { return OrderStarted.load(); }, Seconds{3}));
  CHECK(Fleet.call(0, platformRequest("POST", "/order/1")).Status_ == 502);
  Caller.join();
  CHECK(Order.Status_ == 200);
  CHECK_FALSE(Fleet.process(0).waitExit(Milliseconds{200}));
}

// The same from the other side: a caller sends the last chunk of a request
// without content byte by byte.
TEST_CASE("platform: a caller's last chunk in parts ends no process") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  TargetDouble Desk(Store, "i-1", "desk", answerDone);
  PlatformFleet Fleet(Store, 1);
  std::string Request = platformRequest("POST", "/order/1");
  Request.erase(Request.find("Content-Length:"));
  Request += "Transfer-Encoding: chunked\r\n\r\n";
  PlatformAnswer Answer = Fleet.callInParts(
      0, {Request, "0", "\r", "\n", "\r", "\n"}, Milliseconds{50});
  CHECK(Answer.Status_ == 200);
  CHECK_FALSE(Fleet.process(0).waitExit(Milliseconds{200}));
}

// Guards against a connection that is closed without an answer because the
// target's answer states an enormous length.
TEST_CASE("platform: a request whose answer states an enormous length is "
          "answered") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  TargetDouble Desk(
      Store, "i-1", "desk",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        return writeWithoutEnd(Connection, headWithEnormousLength(Request));
      });
  PlatformFleet Fleet(Store, 1);
  int Status = Fleet.call(0, platformRequest("POST", "/order/1")).Status_;
  CHECK((Status == 502 || Status == 504));
  CHECK(Desk.requests() == 1);
}

// Rule CONFIG. Pattern: a target in trouble sends a stream without end, faster
// than the host can pass it on. Guards against a host that does nothing else
// until the caller leaves.
TEST_CASE("platform: a stream without end holds up no other request") {
  constexpr Seconds StreamTime{5};
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  std::atomic<bool> HasStarted{false};
  TargetDouble Engine(
      Store, "i-1", "engine",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        Connection.write(streamHead(Request) + "\r\n");
        const std::string Block(65536, '\n');
        while (!Connection.waitForClose(0)) {
          Connection.write(Block);
          HasStarted = true;
        }
        return false;
      });
  TargetDouble Desk(Store, "i-2", "desk", answerDone);
  PlatformFleet Fleet(Store, 1);
  std::size_t StreamBytes = 0;
  std::thread Caller([&] {
    StreamBytes =
        Fleet.callAndDiscard(0, platformRequest("POST", "/once/1"), StreamTime);
  });
  CHECK(eventually([&] { return HasStarted.load(); }, Seconds{3}));
  SteadyTime LastCall = SteadyClock::now() + StreamTime - Seconds{2};
  int Orders = 0;
  while (SteadyClock::now() < LastCall) {
    SteadyTime SentAt = SteadyClock::now();
    CHECK(Fleet.call(0, platformRequest("POST", "/order/1")).Status_ == 200);
    CHECK(Fleet.isReady(0));
    CHECK(SteadyClock::now() - SentAt < Seconds{1});
    ++Orders;
    std::this_thread::sleep_for(Milliseconds{50});
  }
  Caller.join();
  CHECK(Orders > 10);
  // The stream was passed on all the while.
  CHECK(StreamBytes > 1024 * 1024);
}

// Rule LOST. Guards against a process that exceeds the memory of its machine
// because an answer to a stage call is long and costly to decode.
TEST_CASE("platform: a stage answer of nested lists does not fill the memory") {
  constexpr std::size_t MachineMemory = 260ULL * 1024 * 1024;
  constexpr std::size_t AnswerBytes = 15ULL * 1024 * 1024;
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  TargetDouble Faulty(
      Store, "i-1", "stage",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        Connection.write(rawAnswer(200, validResponseFields(Request),
                                   std::string(AnswerBytes, '[')));
        return true;
      });
  PlatformFleet Fleet(Store, 1);
  CHECK(Fleet
            .call(0, platformRequest("POST", "/guide/1",
                                     "Pieces: 1,1\r\nPiece-Key: k\r\n"))
            .Status_ == 503);
  CHECK(Faulty.requests() > 0);
  std::size_t Peak = peakMemoryBytes(Fleet.process(0));
  CHECK(Peak > 0);
  CHECK(Peak < MachineMemory);
}

namespace {

/// What a stage target sends a second time, late, when the connection of the
/// call is in use again.
enum class SecondAnswer {
  Copy,     ///< The same answer, without an id.
  RunAgain, ///< The call was run once more: the same id, other results.
};

/// A stage target that answers one call twice.
class RepeatingStage final {
public:
  RepeatingStage(StoreDouble &Store, SecondAnswer Second)
      : Second_(Second), Target_(Store, "i-1", "stage",
                                 [this](RawServerConnection &Connection,
                                        const RawRequest &Request) {
                                   return answer(Connection, Request);
                                 }) {}

  int repeated() const { return Repeated_; }

private:
  bool answer(RawServerConnection &Connection, const RawRequest &Request) {
    if (Request.path() != "/amaranthcourse/stage-run") {
      // Keeps calls that free results on a connection of their own.
      std::this_thread::sleep_for(Milliseconds{500});
      return answerStageCall(Connection, Request, Target_.address());
    }
    std::string Answer = newAnswer(Request);
    std::string Repeated;
    {
      std::lock_guard Lock(Mutex_);
      std::swap(Repeated, Pending_);
      if (++Calls_ == RepeatedCall)
        Pending_ = Second_ == SecondAnswer::Copy ? Answer : newAnswer(Request);
    }
    Repeated_ += !Repeated.empty();
    Connection.write(Repeated);
    std::this_thread::sleep_for(Milliseconds{20});
    Connection.write(Answer);
    return true;
  }
  std::string newAnswer(const RawRequest &Request) {
    std::string Answer = stageAnswer(Request, Target_.address());
    if (Second_ == SecondAnswer::RunAgain)
      Answer.insert(Answer.find("\r\n") + 2,
                    "Request-Id: " + Request.field("Request-Id") + "\r\n");
    return Answer;
  }

  static constexpr int RepeatedCall = 10;
  SecondAnswer Second_;
  std::mutex Mutex_;
  int Calls_ = 0;
  std::string Pending_;
  std::atomic<int> Repeated_{0};
  TargetDouble Target_;
};

/// Sends requests with stages while one stage call is answered twice; checks
/// that each engine call gets the results of its own request.
void checkInputs(SecondAnswer Second) {
  constexpr int CallerCount = 8;
  StoreDouble Store;
  nlohmann::json Configuration = platformConfiguration();
  // Calls with equal numbers of pieces cannot be told apart by their answers.
  Configuration["services"][2]["pieces"]["batch"] = 1;
  Store.put("op/config", Configuration);
  RepeatingStage Stage(Store, Second);
  std::atomic<int> Prompts{0};
  std::atomic<int> MixedInputs{0};
  TargetDouble Engine(
      Store, "i-2", "engine",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        ++Prompts;
        if (Request.field("Inputs").find(Request.field("Request-Id")) ==
            std::string::npos)
          ++MixedInputs;
        return streamAll(Connection, Request);
      });
  PlatformFleet Fleet(Store, 1);
  std::vector<std::thread> Callers;
  for (int I = 0; I < CallerCount; ++I)
    Callers.emplace_back([&] {
      for (int Calls = 0; Calls < 6; ++Calls)
        Fleet.call(0, platformRequest("POST", "/guide/1",
                                      "Pieces: 1,1\r\nPiece-Key: k\r\n"));
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(Stage.repeated() == 1);
  CHECK(Prompts > CallerCount);
  CHECK(MixedInputs == 0);
}

} // namespace

// Rule MIXED. Pattern: a stage target sends one answer a second time, late,
// when its connection is in use again. Guards against an engine that is given
// the results of other requests, by this call or by later ones on the
// connection.
TEST_CASE("platform: a second copy of a stage answer mixes up no inputs") {
  checkInputs(SecondAnswer::Copy);
}

// Rule MIXED. The same for a call that was run and answered twice: its second
// results are as new as those of the next call.
TEST_CASE("platform: a stage call that was run twice mixes up no inputs") {
  checkInputs(SecondAnswer::RunAgain);
}
