#include "Integration/Eventually.h"
#include "Integration/Platform/PlatformFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace amaranth;
using namespace amaranth::integration;

// Requirement D1. Guards against a host that is named after its end by a host
// that is cut off from the peers that last saw it, and against hosts that give
// different answers or ignore the caller's data centre. Stopped processes stand
// for peers behind broken links: their connections stay open and silent.
TEST_CASE("platform: a killed host is not named by a host that is cut off from "
          "its peers, nor by others") {
  // The contact time of 4 s and 3 s.
  constexpr Milliseconds GoneLimit{7000};
  constexpr std::size_t Hosts = 10;
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  PlatformFleet Fleet(Store, Hosts, 2);
  auto AllName = [&](const std::string &DataCentre, std::size_t Count) {
    std::vector<std::string> Answer = Fleet.resolveEntryHosts(0, DataCentre);
    std::string Killed = Fleet.callerAddress(Hosts - 1);
    if (Answer.size() != Count ||
        std::find(Answer.begin(), Answer.end(), Killed) != Answer.end())
      return false;
    for (std::size_t Host = 1; Host < Hosts - 1; ++Host)
      if (Fleet.resolveEntryHosts(Host, DataCentre) != Answer)
        return false;
    return true;
  };
  for (std::size_t Host = 1; Host < Hosts - 1; ++Host)
    Fleet.process(Host).stop();
  Fleet.process(Hosts - 1).kill();
  std::vector<std::string> OnlyItself{Fleet.callerAddress(0)};
  CHECK(eventually([&] { return Fleet.resolveEntryHosts(0) == OnlyItself; },
                   GoneLimit));
  for (std::size_t Host = 1; Host < Hosts - 1; ++Host)
    Fleet.process(Host).resume();
  CHECK(
      eventually([&] { return AllName("b", 4) && AllName("", 9); }, GoneLimit));
  std::vector<std::string> Answer = Fleet.resolveEntryHosts(0, "b");
  for (std::size_t Host : {1, 3, 5, 7})
    CHECK(std::count(Answer.begin(), Answer.end(), Fleet.callerAddress(Host)));
}
