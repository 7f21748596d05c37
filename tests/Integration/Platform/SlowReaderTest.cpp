#include "Integration/Platform/PlatformFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <thread>

using namespace amaranth;
using namespace amaranth::integration;

namespace {

/// A slow caller reads this much, then pauses.
constexpr std::size_t BytesPerRead = 1000;
constexpr Milliseconds ReadPause{500};
constexpr Milliseconds Always{3600000};
/// Larger than what the kernel holds for a slow caller.
constexpr std::size_t SlowAnswerBytes = 44000;
/// Larger than what the kernel holds of an answer that a host does not read.
constexpr std::size_t LargeAnswerBytes = 300000;

/// Events of about 1 kB that have \p Bytes together.
std::string largeEvents(std::size_t Bytes) {
  std::string Events;
  for (int I = 1; Events.size() < Bytes; ++I)
    Events += "id: " + std::to_string(I) + "\ndata: " + std::string(980, 'x') +
              "\n\n";
  return Events;
}

/// Streams \p Events in chunks of one event's size, and sets \p WriteTime to
/// the time that the host took to read them.
void streamEvents(RawServerConnection &Connection, const RawRequest &Request,
                  const std::string &Events,
                  std::atomic<Milliseconds::rep> &WriteTime) {
  Connection.setSendBuffer(4096);
  SteadyTime Start = SteadyClock::now();
  std::string Head = streamHead(Request) + "Transfer-Encoding: chunked\r\n\r\n";
  Connection.write(Head);
  for (std::size_t At = 0; At < Events.size(); At += 1000)
    Connection.write(transport::encodeChunk(Events.substr(At, 1000)));
  Connection.write(std::string(transport::LastChunk));
  WriteTime =
      std::chrono::duration_cast<Milliseconds>(SteadyClock::now() - Start)
          .count();
}

} // namespace

// Requirement M1. Guards against an answer that is cut off at the request's
// deadline (4 s) although its caller reads it steadily, and against a slow
// caller that delays others.
TEST_CASE("platform: a slow caller gets its whole answer and delays no other") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  std::string Events = largeEvents(SlowAnswerBytes);
  std::atomic<Milliseconds::rep> WriteTime{0};
  TargetDouble Engine(
      Store, "i-1", "engine",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        if (Request.path() == "/once/slow")
          streamEvents(Connection, Request, Events, WriteTime);
        else
          streamAll(Connection, Request);
        return true;
      });
  TargetDouble Desk(
      Store, "i-2", "desk",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        Connection.write(rawAnswer(200, validResponseFields(Request), Events));
        return true;
      });
  PlatformFleet Fleet(Store, 1);
  auto CallSlowly = [&](const char *Method, const char *Path) {
    return Fleet.callSlowly(0, platformRequest(Method, Path), BytesPerRead,
                            ReadPause, Always);
  };
  SteadyTime Start = SteadyClock::now();
  auto SlowStream =
      std::async(std::launch::async, CallSlowly, "POST", "/once/slow");
  auto SlowPlain = std::async(std::launch::async, CallSlowly, "GET", "/look/1");
  Milliseconds Longest{0};
  int Incomplete = 0;
  while (SlowStream.wait_for(Milliseconds{100}) != std::future_status::ready) {
    SteadyTime Sent = SteadyClock::now();
    PlatformAnswer Other = Fleet.call(0, platformRequest("POST", "/once/1"));
    Incomplete += !Other.Complete_;
    Longest = std::max(Longest, std::chrono::duration_cast<Milliseconds>(
                                    SteadyClock::now() - Sent));
  }
  PlatformAnswer Stream = SlowStream.get();
  PlatformAnswer Plain = SlowPlain.get();
  CHECK(SteadyClock::now() - Start > Seconds{15});
  CHECK(Stream.Complete_);
  CHECK((Stream.Body_ == Events));
  CHECK(Plain.Complete_);
  CHECK((Plain.Body_ == Events));
  CHECK(WriteTime < 1000);
  CHECK(Incomplete == 0);
  CHECK(Longest < Milliseconds{500});
}

// Requirement M1. Guards against an engine whose answer stays unread while its
// caller pauses: engines abort such answers.
TEST_CASE("platform: an engine's answer is read at once for a slow caller") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  std::string Events = largeEvents(LargeAnswerBytes);
  std::atomic<Milliseconds::rep> WriteTime{-1};
  TargetDouble Engine(
      Store, "i-1", "engine",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        streamEvents(Connection, Request, Events, WriteTime);
        return true;
      });
  PlatformFleet Fleet(Store, 1);
  PlatformAnswer Answer =
      Fleet.callSlowly(0, platformRequest("POST", "/once/1"), BytesPerRead,
                       ReadPause, Seconds{8});
  CHECK(Answer.Complete_);
  CHECK((Answer.Body_ == Events));
  CHECK(WriteTime >= 0);
  CHECK(WriteTime < 1000);
}

// Requirement M1. Guards against a stream that is cut at the request's deadline
// (4 s) while its events still arrive in order.
TEST_CASE("platform: a stream whose events still arrive is not cut at its "
          "deadline") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  std::string Events;
  TargetDouble Engine(
      Store, "i-1", "engine",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        std::string Head =
            streamHead(Request) + "Transfer-Encoding: chunked\r\n\r\n";
        Connection.write(Head);
        for (int I = 1; I <= 7; ++I) {
          Events += streamEvent(I);
          Connection.write(transport::encodeChunk(streamEvent(I)));
          std::this_thread::sleep_for(Seconds{1});
        }
        Connection.write(std::string(transport::LastChunk));
        return true;
      });
  PlatformFleet Fleet(Store, 1);
  PlatformAnswer Answer = Fleet.call(0, platformRequest("POST", "/once/1"));
  CHECK(Answer.Complete_);
  CHECK(Answer.Body_ == Events);
}
