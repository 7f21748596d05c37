#include "Serving/StageClient.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::serving;
using namespace amaranth::protocol;

namespace {

/// Records sent messages. Tests change the dispatcher and its reachability.
struct FakeRouter final : DispatcherRouter {
  std::string findDispatcher(const std::string &) const override {
    return Dispatcher_;
  }
  bool sendTo(const std::string &Host, const FleetMessage &Message) override {
    if (!Reachable_)
      return false;
    Sent_.emplace_back(Host, Message);
    return true;
  }
  std::size_t countOrders(const std::string &Host) const {
    std::size_t Count = 0;
    for (const auto &[Recipient, Message] : Sent_)
      if (const auto *Orders = std::get_if<PieceOrders>(&Message); Orders)
        Count += Recipient == Host ? Orders->Orders_.size() : 0;
    return Count;
  }

  std::string Dispatcher_ = "one";
  bool Reachable_ = true;
  std::vector<std::pair<std::string, FleetMessage>> Sent_;
};

struct RecordingWaiter final : PieceWaiter {
  void onPiece(const PieceReport &Report) override {
    Reports_.push_back(Report);
  }
  std::vector<PieceReport> Reports_;
};

PieceRequest makeOrder(const std::string &Request, std::size_t Piece) {
  PieceRequest Out;
  Out.Order_.Piece_.RequestId_ = Request;
  Out.Order_.Piece_.Piece_ = Piece;
  Out.Order_.Service_ = "s";
  Out.AimBy_ = SteadyClock::now() + Seconds{1};
  Out.ExpiresAt_ = SteadyClock::now() + Seconds{5};
  return Out;
}

PieceReports madeReport(const std::string &Request, std::size_t Piece) {
  return {{{Request, 0, Piece, {PieceStatus::Completed, "h"}}}};
}

} // namespace

// Guards against requests that wait for ever because the host that dispatched
// their pieces has failed.
TEST_CASE("stage client: open orders are resent to the next dispatcher") {
  FakeRouter Router;
  RecordingWaiter Waiter;
  StageClient Client(Router);
  Client.orderPieces({makeOrder("r", 0), makeOrder("r", 1)}, Waiter);
  CHECK(Router.countOrders("one") == 2);
  Client.onReports("one", madeReport("r", 0));
  Router.Dispatcher_ = "two";
  Client.onDispatcherLost("other");
  CHECK(Router.countOrders("two") == 0);
  Client.onDispatcherLost("one");
  CHECK(Router.countOrders("two") == 1);
  CHECK(Waiter.Reports_.size() == 1);
}

// Guards against losing orders because there was no connection.
TEST_CASE("stage client: unsent orders are sent later") {
  FakeRouter Router;
  RecordingWaiter Waiter;
  StageClient Client(Router);
  Router.Reachable_ = false;
  Client.orderPieces({makeOrder("r", 0)}, Waiter);
  CHECK(Router.Sent_.empty());
  Router.Reachable_ = true;
  Client.sendUnsentOrders();
  Client.sendUnsentOrders();
  CHECK(Router.countOrders("one") == 1);
}

// Guards against delivering a report to a request that has ended.
TEST_CASE("stage client: reports for cancelled requests are dropped") {
  FakeRouter Router;
  RecordingWaiter Waiter;
  StageClient Client(Router);
  Client.orderPieces({makeOrder("r", 0)}, Waiter);
  Client.cancelRequest("r");
  Client.onReports("one", madeReport("r", 0));
  CHECK(Waiter.Reports_.empty());
  REQUIRE(Router.Sent_.size() == 2);
  CHECK(std::holds_alternative<CancelPieces>(Router.Sent_[1].second));
}

// Guards against delivering a result to another request.
TEST_CASE("stage client: a report reaches its own request only") {
  FakeRouter Router;
  RecordingWaiter First;
  RecordingWaiter Other;
  StageClient Client(Router);
  Client.orderPieces({makeOrder("r1", 0)}, First);
  Client.orderPieces({makeOrder("r2", 0)}, Other);
  Client.onReports("one", madeReport("r2", 0));
  CHECK(First.Reports_.empty());
  CHECK(Other.Reports_.size() == 1);
  // A repeated report for the same piece is dropped.
  Client.onReports("one", madeReport("r2", 0));
  CHECK(Other.Reports_.size() == 1);
}

// Pattern: a host is silent for a while. Guards against work that runs being
// started again because of a late report of the dispatcher that had lost this
// host, and against discarding its results.
TEST_CASE("stage client: a former dispatcher's failures do not count") {
  FakeRouter Router;
  RecordingWaiter Waiter;
  StageClient Client(Router);
  Client.orderPieces({makeOrder("r", 0), makeOrder("r", 1)}, Waiter);
  Router.Dispatcher_ = "two";
  Client.onDispatcherLost("one");
  Client.onReports("one", {{{"r", 0, 0, {PieceStatus::Refused, ""}}}});
  CHECK(Waiter.Reports_.empty());
  Client.onReports("one", madeReport("r", 1));
  REQUIRE(Waiter.Reports_.size() == 1);
  CHECK(Waiter.Reports_[0].Piece_ == 1);
  Client.onReports("two", {{{"r", 0, 0, {PieceStatus::Refused, ""}}}});
  CHECK(Waiter.Reports_.size() == 2);
}
