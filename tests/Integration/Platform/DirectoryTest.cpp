#include "Integration/Eventually.h"
#include "Integration/Platform/PlatformFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

using namespace amaranth;
using namespace amaranth::integration;

namespace {

/// Time after which a host that is gone may not be named any more: the contact
/// time of 4 s and 3 s.
constexpr Milliseconds GoneLimit{7000};

std::vector<std::string> sorted(std::vector<std::string> Addresses) {
  std::sort(Addresses.begin(), Addresses.end());
  return Addresses;
}

} // namespace

// Requirement D1. Guards against a host that is named after its end by a host
// that is cut off from the peers that last saw it. Stopped processes stand for
// peers behind broken links: their connections stay open and silent.
TEST_CASE("platform: a killed host is not named by a host that is cut off from "
          "its peers") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  PlatformFleet Fleet(Store, 4);
  Fleet.process(1).stop();
  Fleet.process(2).stop();
  Fleet.process(3).kill();
  std::this_thread::sleep_for(GoneLimit);
  CHECK(Fleet.resolveEntryHosts(0) ==
        std::vector<std::string>{Fleet.callerAddress(0)});
  Fleet.process(1).resume();
  Fleet.process(2).resume();
  std::vector<std::string> Living = sorted(
      {Fleet.callerAddress(0), Fleet.callerAddress(1), Fleet.callerAddress(2)});
  auto AllNameLiving = [&] {
    for (std::size_t Host : {0, 1, 2})
      if (sorted(Fleet.resolveEntryHosts(Host)) != Living)
        return false;
    return true;
  };
  CHECK(eventually(AllNameLiving, GoneLimit));
}

// Requirement D1. Guards against answers for the wrong data centre, against
// hosts that answer differently, and against killed hosts in the answers.
TEST_CASE("platform: callers get the living hosts of their data centre") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  PlatformFleet Fleet(Store, 10, 2);
  std::vector<std::string> Expected;
  for (std::size_t Host : {1, 3, 5, 7, 9})
    Expected.push_back(Fleet.callerAddress(Host));
  std::sort(Expected.begin(), Expected.end());
  CHECK(sorted(Fleet.resolveEntryHosts(1, "b")) == Expected);
  Fleet.process(9).kill();
  std::erase(Expected, Fleet.callerAddress(9));
  std::this_thread::sleep_for(GoneLimit);
  for (std::size_t Host = 0; Host < 9; ++Host) {
    CHECK(sorted(Fleet.resolveEntryHosts(Host, "b")) == Expected);
    CHECK(Fleet.resolveEntryHosts(Host, "b") ==
          Fleet.resolveEntryHosts(0, "b"));
    CHECK(Fleet.resolveEntryHosts(Host, "").size() == 9);
  }
}
