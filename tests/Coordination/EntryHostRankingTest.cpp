#include "Coordination/EntryHostRanking.h"

#include <catch2/catch.hpp>

#include <map>

using namespace amaranth::coordination;
using namespace amaranth::protocol;

namespace {

Member host(std::string Name, MemberStatus Status, double Load) {
  Member Result;
  Result.Host_ = std::move(Name);
  Result.Status_ = Status;
  Result.Load_ = Load;
  return Result;
}

} // namespace

// Guards against sending callers to hosts that are draining or dead.
TEST_CASE("draining and dead hosts are left out, suspect ones come last") {
  std::vector<Member> Members{
      host("a", MemberStatus::Draining, 0), host("b", MemberStatus::Dead, 0),
      host("c", MemberStatus::Suspect, 0), host("d", MemberStatus::Alive, 1)};
  for (std::uint64_t Seed = 0; Seed < 50; ++Seed) {
    auto Ranked = rankEntryHosts(Members, {}, Seed);
    REQUIRE(Ranked.size() == 2);
    CHECK(Ranked[0].Host_ == "d");
    CHECK(Ranked[1].Host_ == "c");
  }
}

// Guards against all callers choosing the least loaded host.
TEST_CASE("callers spread over the hosts by spare capacity") {
  std::vector<Member> Members{host("idle", MemberStatus::Alive, 0),
                              host("half", MemberStatus::Alive, 0.5),
                              host("full", MemberStatus::Alive, 1)};
  std::map<std::string, int> First;
  for (std::uint64_t Seed = 0; Seed < 2000; ++Seed)
    ++First[rankEntryHosts(Members, {}, Seed)[0].Host_];
  CHECK(First["idle"] > First["half"]);
  CHECK(First["half"] > First["full"]);
  CHECK(First["full"] > 0);
  CHECK(First["half"] > 400);
}

// Guards against rankings that grow with the fleet.
TEST_CASE("a ranking has a bounded number of entries") {
  std::vector<Member> Members(300, host("h", MemberStatus::Alive, 0));
  CHECK(rankEntryHosts(Members, {}, 1).size() == 5);
}
