#include "Integration/Eventually.h"
#include "Integration/Platform/PlatformFleet.h"

#include <catch2/catch.hpp>

#include <atomic>
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
