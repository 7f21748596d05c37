#include "Coordination/Stages/UndeliveredReports.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;
using protocol::PieceReports;
using protocol::PieceStatus;

namespace {

const SteadyTime Now{Seconds{1000}};

PieceReports report(const std::string &Request) {
  return {{{Request, 0, 0, {PieceStatus::Completed, "h"}}}};
}

} // namespace

// Pattern: a host is silent for a while, so that its dispatcher takes it for
// lost. Guards against reports that are lost meanwhile: the host waits for its
// pieces until its requests have expired.
TEST_CASE("undelivered reports: a host that returns gets its own, once") {
  UndeliveredReports Reports;
  Reports.add("a", report("r1"), Now);
  Reports.add("b", report("r2"), Now);
  Reports.add("a", report("r3"), Now + Seconds{1});
  PieceReports Taken = Reports.take("a", Now + Seconds{2});
  REQUIRE(Taken.Reports_.size() == 2);
  CHECK(Taken.Reports_[0].RequestId_ == "r1");
  CHECK(Taken.Reports_[1].RequestId_ == "r3");
  CHECK(Reports.take("a", Now + Seconds{2}).Reports_.empty());
  CHECK_FALSE(Reports.empty());
}

// Guards against memory that grows with hosts that never return.
TEST_CASE("undelivered reports: they are bounded in time and number") {
  UndeliveredReportsSettings Settings;
  Settings.MaxReportsPerHost_ = 3;
  UndeliveredReports Reports(Settings);
  for (int I = 0; I < 10; ++I)
    Reports.add("a", report("r" + std::to_string(I)), Now);
  PieceReports Taken = Reports.take("a", Now);
  REQUIRE(Taken.Reports_.size() == 3);
  CHECK(Taken.Reports_[0].RequestId_ == "r7");
  Reports.add("a", report("old"), Now);
  Reports.add("a", report("new"), Now + Seconds{1});
  CHECK(Reports.take("a", Now + Settings.Lifetime_).Reports_.size() == 1);
  Reports.add("a", report("r"), Now);
  Reports.expire(Now + Settings.Lifetime_);
  CHECK(Reports.empty());
}
