#include "Transport/RpcLoop.h"

#include <catch2/catch.hpp>

#include <stdexcept>
#include <thread>
#include <vector>

using namespace amaranth;
using namespace amaranth::transport;

// Guards against work that runs on the caller's thread or runs twice.
TEST_CASE("work of several threads runs on the loop's thread") {
  RpcLoop Loop;
  int Sum = 0; // Not atomic: only the loop's thread may touch it.
  std::vector<std::thread> Callers;
  for (int I = 0; I < 4; ++I)
    Callers.emplace_back([&] {
      for (int J = 0; J < 100; ++J)
        Loop.run([&] { ++Sum; });
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(Loop.run([&] { return Sum; }) == 400);
  int Delayed = Loop.run([&]() -> kj::Promise<int> {
    return Loop.timer().afterDelay(toDuration(Milliseconds{1})).then([] {
      return 7;
    });
  });
  CHECK(Delayed == 7);
}

// Guards against an exception in submitted work that ends the loop.
TEST_CASE("an exception passes to the caller and the loop goes on") {
  RpcLoop Loop;
  CHECK_THROWS(Loop.run([]() -> int { throw std::runtime_error("fault"); }));
  CHECK(Loop.run([] { return 1; }) == 1);
}

// Guards against name look-ups for addresses that a peer sent.
TEST_CASE("only numeric addresses are accepted") {
  RpcLoop Loop;
  auto Valid = [&](const char *Text) {
    return Loop.run([&] { return Loop.parseAddress(Text) != nullptr; });
  };
  CHECK(Valid("127.0.0.1:80"));
  CHECK(Valid("[::1]:0"));
  for (const char *Text : {"localhost:80", "127.0.0.1", "127.0.0.1:", ":80",
                           "127.0.0.1:99999", "[::1:80", "unix:/tmp/x", ""})
    CHECK_FALSE(Valid(Text));
}
