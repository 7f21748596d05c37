#include "Coordination/TargetTable.h"
#include "Coordination/HostListPoller.h"
#include "Coordination/LoadPoller.h"
#include "Coordination/PredictedRouter.h"
#include "Transport/HttpServer.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

struct Fixture {
  LoadReport report(bool Leaving) const {
    LoadReport Report;
    Report.Leaving_ = Leaving;
    return Report;
  }

  SteadyTime Now_{Seconds{1000}};
  TargetTable Table_{{.Now_ = [this] { return Now_; }, .Seed_ = 1}};
};

} // namespace

// Guards against new work for a leaving target that the host list or its report
// still shows as serving, and against a target that is never used again.
TEST_CASE("a target's own refusal takes precedence over report and host list") {
  Fixture F;
  auto Id = F.Table_.begin("a", WorkClass::Plain, 1);
  F.Table_.end("a", Id, AttemptEnd::Leaving, 0);
  F.Table_.onHostList({{"a", false}});
  F.Table_.onLoadReport("a", F.report(false));
  CHECK(F.Table_.isLeaving("a"));
  F.Now_ += Seconds{11};
  F.Table_.onLoadReport("a", F.report(false));
  CHECK_FALSE(F.Table_.isLeaving("a"));
}

// Guards against new work for a target that refused work because it is leaving
// and reports no load, and against a target that is never used again after its
// restart.
TEST_CASE("a target's own refusal lasts until it has ended or serves again") {
  Fixture F;
  for (const char *Name : {"silent", "ended", "returned"}) {
    auto Id = F.Table_.begin(Name, WorkClass::Plain, 1);
    F.Table_.end(Name, Id, AttemptEnd::Leaving, 0);
  }
  F.Now_ += Seconds{60};
  F.Table_.onProcessEnded("ended");
  F.Table_.onLoadReport("returned", F.report(false));
  CHECK(F.Table_.isLeaving("silent"));
  CHECK_FALSE(F.Table_.isLeaving("ended"));
  CHECK(F.Table_.estimate({"ended"}, WorkClass::Plain, 1)[0].Avoided_);
  CHECK_FALSE(F.Table_.isLeaving("returned"));
  F.Now_ += Seconds{541};
  CHECK_FALSE(F.Table_.isLeaving("silent"));
}

// Guards against work for a target that only its report or only the host list
// shows as leaving, and against a stale list that keeps a returned target idle.
TEST_CASE("a report or the host list alone marks a target as leaving") {
  Fixture F;
  F.Table_.onLoadReport("a", F.report(false));
  F.Table_.onHostList({{"a", true}});
  CHECK(F.Table_.isLeaving("a"));
  F.Now_ += Seconds{1};
  F.Table_.onLoadReport("a", F.report(true));
  F.Now_ += Seconds{1};
  F.Table_.onLoadReport("a", F.report(false));
  CHECK_FALSE(F.Table_.isLeaving("a"));
  F.Table_.onLoadReport("b", F.report(true));
  CHECK(F.Table_.isLeaving("b"));
}

// Guards against a restarted target that gets no work until the longest recheck
// wait has passed.
TEST_CASE("a load report ends the wait after refused connections") {
  Fixture F;
  for (int I = 0; I < 8; ++I) {
    auto Id = F.Table_.begin("a", WorkClass::Plain, 1);
    F.Table_.end("a", Id, AttemptEnd::Refused, 0);
    F.Now_ += Seconds{4};
  }
  auto Id = F.Table_.begin("a", WorkClass::Plain, 1);
  F.Table_.end("a", Id, AttemptEnd::Refused, 0);
  CHECK(F.Table_.estimate({"a"}, WorkClass::Plain, 1)[0].Avoided_);
  F.Now_ += Milliseconds{10};
  F.Table_.onLoadReport("a", F.report(false));
  auto Estimate = F.Table_.estimate({"a"}, WorkClass::Plain, 1)[0];
  CHECK_FALSE(Estimate.Avoided_);
  CHECK(Estimate.RecheckDue_);
}

// Guards against several requests that choose the same target because its
// report does not include the first of them yet.
TEST_CASE(
    "own work counts at once and work done since the report is subtracted") {
  Fixture F;
  LoadReport Report = F.report(false);
  Report.QueuedWork_ = 100;
  Report.WorkPerSecond_ = 100;
  Report.Age_ = Milliseconds{500};
  F.Table_.onLoadReport("a", Report);
  auto Completion = [&] {
    return F.Table_.estimate({"a"}, WorkClass::Generate, 1)[0].Completion_;
  };
  CHECK(Completion() == Milliseconds{500});
  auto Id = F.Table_.begin("a", WorkClass::Generate, 100);
  CHECK(Completion() == Milliseconds{1500});
  F.Table_.end("a", Id, AttemptEnd::Ignored, 0);
  CHECK(Completion() == Milliseconds{500});
}

// Guards against using reports whose values are implausible.
TEST_CASE("malformed and implausible reports are refused") {
  auto Body = [](const std::string &Queued, const std::string &Age) {
    return "{\"queued_tokens\":" + Queued +
           ",\"running\":1,\"tokens_per_second\":5,\"leaving\":false,"
           "\"age_ms\":" +
           Age + "}";
  };
  CHECK(readLoadReport(Body("3", "10")));
  for (std::string Bad : {"-1", "1e30", "1e999", "\"3\"", "null"}) {
    CHECK_FALSE(readLoadReport(Body(Bad, "10")));
    CHECK_FALSE(readLoadReport(Body("3", Bad)));
  }
  CHECK_FALSE(readLoadReport("{}"));
  CHECK_FALSE(readLoadReport("not json"));
  CHECK_FALSE(readHostList(R"({"hosts":[{"address":"a"}]})"));
  auto Hosts = readHostList(R"({"hosts":[{"address":"a","state":"leaving"},
                                {"address":"b","leaving":false}]})");
  REQUIRE(Hosts);
  CHECK(Hosts->at(0).Leaving_);
  CHECK_FALSE(Hosts->at(1).Leaving_);
}

// Guards against reports that are fetched but not used, and against malformed
// ones that are not counted.
TEST_CASE("pollers feed the table") {
  std::atomic<bool> Bad = false;
  transport::HttpServer Server({.KeepAliveTimeout_ = Seconds{1}});
  Server.route("GET", "/v1/load", [&](const transport::HttpRequest &) {
    transport::HttpReply Reply;
    Reply.Body_ = R"({"queued_tokens":7,"running":1,"tokens_per_second":5,
                      "leaving":false,"age_ms":0})";
    if (Bad)
      Reply.Body_ = R"({"queued_tokens":-7})";
    return Reply;
  });
  REQUIRE(capture([&] { return Server.start(); }));
  state::Target Target;
  Target.Address_ = "127.0.0.1:" + std::to_string(Server.port());
  Server.route("GET", "/v1/hosts", [&](const transport::HttpRequest &) {
    transport::HttpReply Reply;
    Reply.Body_ = "{\"hosts\":[{\"address\":\"" + Target.Address_ +
                  "\",\"state\":\"leaving\"}]}";
    return Reply;
  });
  transport::HttpClient Client({});
  transport::TimerService Timers;
  TargetTable Table;
  LoadPoller Poller(Client, Timers, Table, [&] { return std::vector{Target}; },
                    {.Period_ = Seconds{1000}});
  HostListPoller Hosts(Client, Timers, Table,
                       {.Address_ = Target.Address_, .Period_ = Seconds{1000}});
  Poller.pollAll();
  Poller.waitIdle();
  REQUIRE(Table.view().size() == 1);
  CHECK(Table.view()[0].Report_->QueuedWork_ == 7);
  Bad = true;
  Poller.pollAll();
  Poller.waitIdle();
  CHECK(Table.view()[0].BadReports_ == 1);
  CHECK(Table.view()[0].Report_->QueuedWork_ == 7);
  Hosts.poll();
  Hosts.waitIdle();
  CHECK(Table.isLeaving(Target.Address_));
}
