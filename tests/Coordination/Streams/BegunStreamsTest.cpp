#include "Coordination/Streams/BegunStreams.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

const VersionName Old{"engine", "v1"};
const VersionName New{"engine", "v2"};
const SteadyTime Start = SteadyClock::now();

bool isEngine(const std::string &Service) { return Service == "engine"; }

} // namespace

// Guards against one stream that is taken for another.
TEST_CASE("begun streams: hashes differ by service and request") {
  CHECK(streamHash("engine", "r1") != streamHash("engine", "r2"));
  CHECK(streamHash("engine", "r1") != streamHash("engin", "er1"));
}

// Rule ORDER. Guards against a stream that changes its version when another
// version is reported for it, and against one that is forgotten in the window.
TEST_CASE("begun streams: a stream stays with the version that began it") {
  BegunStreams Streams;
  Streams.add(1, Old, Start);
  Streams.add(1, New, Start + Seconds{50});
  CHECK(Streams.find(1, Start + Seconds{109}) == "v1");
  CHECK_FALSE(Streams.find(1, Start + Seconds{111}));
  CHECK_FALSE(Streams.find(2, Start));
  Streams.add(2, New, Start + Seconds{120});
  CHECK(Streams.find(2, Start + Seconds{120}) == "v2");
  CHECK_FALSE(Streams.find(1, Start + Seconds{120}));
}

// Guards against memory and records that grow with the number of streams, and
// against losing the newest of them.
TEST_CASE("begun streams: the oldest are left out") {
  BegunStreamsSettings Settings;
  Settings.MaxStreams_ = 3;
  BegunStreams Streams(Settings);
  for (std::uint64_t I = 1; I <= 4; ++I)
    Streams.add(I, I % 2 ? Old : New, Start + Seconds{I});
  Streams.add(9, {"desk", "v1"}, Start + Seconds{5});
  SteadyTime Now = Start + Seconds{6};
  CHECK_FALSE(Streams.find(2, Now));
  CHECK(Streams.find(3, Now) == "v1");

  protocol::StreamVersions Record = Streams.record(isEngine, 10, Now);
  REQUIRE(Record.Streams_.size() == 2);
  CHECK(Record.Streams_[0].Stream_ == 4);
  CHECK(Record.Versions_.at(Record.Streams_[0].Version_) == "v2");
  CHECK(Record.Versions_.at(Record.Streams_[1].Version_) == "v1");
  CHECK(Streams.record(isEngine, 1, Now).Streams_.size() == 1);
  CHECK(Streams.record(isEngine, 10, Now + Seconds{90}).Streams_.empty());
}
