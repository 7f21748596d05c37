#include "Coordination/Streams/StreamVersionTable.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using coordination::StreamVersionTable;
using coordination::StreamVersionTableSettings;

namespace {

const SteadyTime Start{Seconds{1000}};
const std::string Service = "engine";

SteadyTime after(int Count) { return Start + Seconds{Count}; }

state::TargetRecord target(const std::string &Id, const std::string &Version) {
  state::TargetRecord Record;
  Record.Id_ = Id;
  Record.Service_ = Service;
  Record.Version_ = Version;
  return Record;
}

using Version = std::optional<std::string>;

} // namespace

// Rule ORDER. Guards against a stream that is continued at another version than
// the one that began it.
TEST_CASE("stream versions: streams that this host began") {
  StreamVersionTable Table;
  Table.onStreamBegun(Service, "a", "v1", after(0));
  Table.onStreamBegun(Service, "b", "v2", after(1));
  CHECK(Table.findVersion(Service, "a", after(2)) == Version("v1"));
  CHECK(Table.findVersion(Service, "b", after(2)) == Version("v2"));
  CHECK_FALSE(Table.findVersion(Service, "c", after(2)));
  CHECK_FALSE(Table.findVersion(Service, "", after(2)));
  // A route may have several services, of which another one began the stream.
  CHECK_FALSE(Table.findVersion("other", "a", after(2)));
}

// Guards against streams that are forgotten while they still run, and against
// memory that grows with each stream.
TEST_CASE("stream versions: streams are forgotten") {
  StreamVersionTableSettings Settings;
  Settings.MaxStreams_ = 3;
  StreamVersionTable Table(Settings);
  Table.onStreamBegun(Service, "a", "v1", after(0));
  Table.onStreamBegun(Service, "b", "v1", after(0));
  Table.onStreamBegun(Service, "a", "v1", after(40));
  Table.forgetOld(after(90));
  CHECK(Table.size() == 1);
  CHECK(Table.findVersion(Service, "a", after(90)) == Version("v1"));
  CHECK_FALSE(Table.findVersion(Service, "b", after(90)));
  CHECK_FALSE(Table.findVersion(Service, "a", after(101)));

  for (const char *Id : {"c", "d", "e", "f"})
    Table.onStreamBegun(Service, Id, "v1", after(91));
  CHECK(Table.size() == 3);
  CHECK_FALSE(Table.findVersion(Service, "c", after(91)));
  CHECK(Table.findVersion(Service, "f", after(91)) == Version("v1"));
  Table.onStreamBegun(Service, std::string(100000, 'x'), "v1", after(91));
  CHECK(Table.size() == 3);
}

// Rules ORDER, LOST. Guards against a stream of unknown origin that is taken
// for one of the version that serves now, and against refusing it when the
// service never had another version.
TEST_CASE("stream versions: a service with one version") {
  StreamVersionTable Table;
  Table.onTarget(target("i-1", "v1"), after(0));
  CHECK_FALSE(Table.onlyVersion(Service, after(70)));
  Table.setCurrent(true, after(0));
  CHECK_FALSE(Table.onlyVersion(Service, after(59)));
  CHECK(Table.onlyVersion(Service, after(60)) == Version("v1"));
  CHECK(Table.findVersion(Service, "unknown", after(60)) == Version("v1"));
  CHECK_FALSE(Table.onlyVersion("other", after(60)));

  SECTION("another version registers") {
    Table.onTarget(target("i-2", "v2"), after(61));
    CHECK_FALSE(Table.onlyVersion(Service, after(61)));
    Table.onTargetRemoved("i-1", after(62));
    CHECK_FALSE(Table.onlyVersion(Service, after(122)));
    Table.forgetOld(after(123));
    CHECK(Table.onlyVersion(Service, after(123)) == Version("v2"));
  }
  SECTION("a target registers again with another version") {
    Table.onTarget(target("i-1", "v2"), after(61));
    CHECK_FALSE(Table.onlyVersion(Service, after(61)));
    CHECK(Table.onlyVersion(Service, after(122)) == Version("v2"));
  }
  SECTION("all targets crash and return") {
    Table.onTargetRemoved("i-1", after(61));
    CHECK(Table.onlyVersion(Service, after(62)) == Version("v1"));
    Table.onTarget(target("i-1", "v1"), after(63));
    CHECK(Table.onlyVersion(Service, after(64)) == Version("v1"));
  }
  SECTION("the store cannot be read for a moment") {
    Table.setCurrent(false, after(61));
    CHECK_FALSE(Table.onlyVersion(Service, after(61)));
    Table.setCurrent(true, after(64));
    CHECK(Table.onlyVersion(Service, after(64)) == Version("v1"));
  }
  SECTION("the store cannot be read for long") {
    Table.setCurrent(false, after(61));
    Table.setCurrent(false, after(65));
    Table.setCurrent(true, after(67));
    CHECK_FALSE(Table.onlyVersion(Service, after(67)));
    CHECK(Table.onlyVersion(Service, after(127)) == Version("v1"));
  }
}
