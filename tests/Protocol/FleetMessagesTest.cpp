#include "Protocol/FleetMessages.h"

#include <catch2/catch.hpp>

#include <random>

using namespace amaranth;
using namespace amaranth::protocol;

namespace {

template <typename T> T roundTrip(const T &Message) {
  std::string Bytes = encodeFleetMessage(FleetMessage(Message));
  std::optional<FleetMessage> Read = decodeFleetMessage(Bytes);
  REQUIRE(Read);
  REQUIRE(std::holds_alternative<T>(*Read));
  return std::get<T>(*Read);
}

PieceOrders sampleOrders() {
  PieceOrder Order;
  Order.Piece_ = {"request", 2, 3, "key", {"a/1", "b/2"}};
  Order.Service_ = "service";
  Order.ResultBytes_ = 800000;
  Order.Priority_ = -1;
  Order.AimLeft_ = Milliseconds{-250};
  Order.ExpiryLeft_ = Milliseconds{9000};
  Order.DataCentre_ = "dc";
  Order.Repeat_ = true;
  return {{Order}};
}

} // namespace

// Guards against fields that are encoded but not decoded, or the reverse.
TEST_CASE("fleet messages: fields survive the way to another host") {
  PieceOrder Order = roundTrip(sampleOrders()).Orders_.at(0);
  CHECK(Order.Piece_.RequestId_ == "request");
  CHECK(Order.Piece_.Stage_ == 2);
  CHECK(Order.Piece_.Inputs_ == std::vector<std::string>{"a/1", "b/2"});
  CHECK(Order.AimLeft_ == Milliseconds{-250});
  CHECK(Order.Priority_ == -1);
  CHECK(Order.Repeat_);

  TargetNotice Notice =
      roundTrip(TargetNotice{"t", 7, true, 1.5, Milliseconds{300}});
  CHECK(Notice.Target_ == "t");
  CHECK(Notice.Incarnation_ == 7);
  CHECK(Notice.IsLeaving_);
  CHECK(Notice.PerSecond_ == 1.5);
  CHECK(Notice.ColdFor_ == Milliseconds{300});
  Notice = roundTrip(TargetNotice());
  CHECK_FALSE(Notice.PerSecond_);
  CHECK_FALSE(Notice.IsLeaving_);
  CHECK_FALSE(Notice.ColdFor_);
  PermitRequest Permit =
      roundTrip(PermitRequest{~0ULL, "t", 0.5, Milliseconds{700}});
  CHECK(Permit.Id_ == ~0ULL);
  CHECK(Permit.Target_ == "t");
  CHECK(Permit.PerSecond_ == 0.5);
  CHECK(Permit.MaxDelay_ == Milliseconds{700});
  CHECK_FALSE(Permit.Pace_);
  PermitRequest Paced;
  Paced.Pace_ = PaceState{2.5, 7.5, Milliseconds{900}, Milliseconds{-3}, 12};
  Paced = roundTrip(Paced);
  CHECK_FALSE(Paced.PerSecond_);
  CHECK(Paced.Pace_->Cost_ == 2.5);
  CHECK(Paced.Pace_->KnownPerSecond_ == 7.5);
  CHECK(Paced.Pace_->PacedFor_ == Milliseconds{900});
  CHECK(Paced.Pace_->ColdFor_ == Milliseconds{-3});
  CHECK(Paced.Pace_->ColdPerSecond_ == 12);
  PaceReport Report = roundTrip(PaceReport{"t", PaceOutcome::Refused});
  CHECK(Report.Target_ == "t");
  CHECK(Report.Outcome_ == PaceOutcome::Refused);
  PermitReply Reply =
      roundTrip(PermitReply{7, true, Microseconds{1250}, true, true, 8.5});
  CHECK(Reply.NotElected_);
  CHECK(Reply.IsPaced_);
  CHECK(Reply.PacePerSecond_ == 8.5);
  CHECK(Reply.Id_ == 7);
  CHECK(Reply.Granted_);
  CHECK(Reply.Delay_ == Microseconds{1250});

  HostState State;
  State.Host_ = "h";
  State.Incarnation_ = 77;
  State.Serving_ = true;
  State.ReadsStore_ = true;
  State.Digests_ = {1, ~0ULL};
  State.Queues_ = {{"s", {0, 12}, {7}, {}, 30.5}};
  State.LinkMegabits_ = 24.5;
  State.ProcessorShare_ = 0.09;
  State.BusyShare_ = 0.75;
  State.CallerNeeds_ = {{"a", 3}, {"b", 64}};
  State.Outstanding_ = {{"t", {1}, {2}, {0, 3}, 0}};
  HostState Read = roundTrip(Ping{State}).State_;
  CHECK(Read.Incarnation_ == 77);
  CHECK(Read.Digests_ == State.Digests_);
  CHECK(Read.ReadsStore_);
  CHECK(Read.Queues_.at(0).InTime_ == std::vector<std::uint32_t>{0, 12});
  CHECK(Read.Queues_.at(0).Late_ == std::vector<std::uint32_t>{7});
  CHECK(Read.Queues_.at(0).PiecesPerSecond_ == 30.5);
  CHECK(Read.LinkMegabits_ == 24.5);
  CHECK(Read.ProcessorShare_ == 0.09);
  CHECK(Read.BusyShare_ == 0.75);
  CHECK(Read.CallerNeeds_.at(1).DataCentre_ == "b");
  CHECK(Read.CallerNeeds_.at(1).Hosts_ == 64);
  CHECK(Read.Outstanding_.at(0).Service_ == "t");
  CHECK(Read.Outstanding_.at(0).InTime_ == std::vector<std::uint32_t>{1});
  CHECK(Read.Outstanding_.at(0).Waiting_ == std::vector<std::uint32_t>{0, 3});

  State.Engines_ = {{"e", 9000, 3}};
  HostState Loaded = roundTrip(Pong{State}).State_;
  CHECK(Loaded.Digests_ == State.Digests_);
  CHECK(Loaded.Engines_.at(0).Engine_ == "e");
  CHECK(Loaded.Engines_.at(0).Tokens_ == 9000);
  CHECK(Loaded.Engines_.at(0).Requests_ == 3);

  PieceReports Reports{{{"r", 1, 2, {PieceStatus::NoCapacity, "h/1"}}}};
  CHECK(roundTrip(Reports).Reports_.at(0).Outcome_.Status_ ==
        PieceStatus::NoCapacity);

  StoreRecords Records{
      "op/", {{"op/k", std::string("\0\xff", 2), 9, true}}, true, 12, 3};
  StoreRecords ReadRecords = roundTrip(Records);
  CHECK(ReadRecords.Items_.at(0).Value_ == Records.Items_[0].Value_);
  CHECK(ReadRecords.Items_.at(0).Removed_);
  CHECK(ReadRecords.Complete_);
  CHECK(ReadRecords.Era_ == 3);
  CHECK(ReadRecords.Items_.at(0).Era_ == 3);

  SuspectRequests Suspects{{{"digest", {"t1", "t2"}, true}}};
  CHECK(roundTrip(Suspects).Inputs_.at(0).CrashedTargets_.size() == 2);
  CHECK(roundTrip(Suspects).Inputs_.at(0).Cleared_);

  SuspectParts Parts{
      {{"part", true, true, {{"e1", Milliseconds{70}}}, 2, Milliseconds{40}}}};
  SuspectPart Part = roundTrip(Parts).Parts_.at(0);
  CHECK(Part.Id_ == "part");
  CHECK(Part.Answered_);
  CHECK(Part.Cleared_);
  CHECK(Part.Crashes_.at(0).Engine_ == "e1");
  CHECK(Part.Crashes_.at(0).Age_ == Milliseconds{70});
  CHECK(Part.Trials_ == 2);
  CHECK(Part.LastAttemptAge_ == Milliseconds{40});
}

// Guards against a crash on a damaged message.
TEST_CASE("fleet messages: damaged bytes are no message or another one") {
  std::mt19937 Random(11);
  std::string Valid = encodeFleetMessage(FleetMessage(sampleOrders()));
  for (int Round = 0; Round < 3000; ++Round) {
    std::string Damaged = Valid;
    for (int I = 0; I < 1 + Round % 5; ++I)
      Damaged[Random() % Damaged.size()] = static_cast<char>(Random());
    Damaged.resize(Random() % (Damaged.size() + 1));
    (void)decodeFleetMessage(Damaged);
  }
  CHECK_FALSE(decodeFleetMessage(""));
  CHECK_FALSE(decodeFleetMessage("1234567"));
}

// Guards against a record of streams that loses streams or versions, and
// against one that names versions which it does not list.
TEST_CASE("fleet messages: records of versions and streams") {
  ServiceVersion Version{"engine", "v 2"};
  CHECK(roundTrip(Version).Service_ == "engine");
  CHECK(roundTrip(Version).Version_ == "v 2");

  StreamVersions Streams{{"v1", ""}, {{~0ULL, 1}, {5, 0}}};
  StreamVersions Read = roundTrip(Streams);
  CHECK(Read.Versions_ == Streams.Versions_);
  REQUIRE(Read.Streams_.size() == 2);
  CHECK(Read.Streams_[0].Stream_ == ~0ULL);
  CHECK(Read.Streams_[0].Version_ == 1);
  CHECK(Read.Streams_[1].Version_ == 0);

  Streams.Streams_[1].Version_ = 2;
  CHECK_FALSE(decodeFleetMessage(encodeFleetMessage(FleetMessage(Streams))));
}
