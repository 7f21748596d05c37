#include "Serving/StageClient.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::serving;
using namespace amaranth::protocol;

namespace {

/// Records what is sent; the dispatcher can be changed and cut off.
struct Gate final : DispatcherGate {
  std::string dispatcherOf(const std::string &) const override {
    return Dispatcher_;
  }
  bool sendTo(const std::string &Host, const FleetMessage &Message) override {
    if (!Reachable_)
      return false;
    Sent_.emplace_back(Host, Message);
    return true;
  }
  std::size_t orders(const std::string &Host) const {
    std::size_t Count = 0;
    for (const auto &[To, Message] : Sent_)
      if (const auto *Orders = std::get_if<PieceOrders>(&Message); Orders)
        Count += To == Host ? Orders->Orders_.size() : 0;
    return Count;
  }

  std::string Dispatcher_ = "one";
  bool Reachable_ = true;
  std::vector<std::pair<std::string, FleetMessage>> Sent_;
};

struct Waiter final : PieceWaiter {
  void onPiece(const PieceReport &Report) override {
    Reports_.push_back(Report);
  }
  std::vector<PieceReport> Reports_;
};

PieceRequest order(const std::string &Request, std::size_t Piece) {
  PieceRequest Out;
  Out.Order_.Piece_.RequestId_ = Request;
  Out.Order_.Piece_.Piece_ = Piece;
  Out.Order_.Service_ = "s";
  Out.AimBy_ = SteadyClock::now() + Seconds{1};
  Out.ExpiresAt_ = SteadyClock::now() + Seconds{5};
  return Out;
}

PieceReports made(const std::string &Request, std::size_t Piece) {
  return {{{Request, 0, Piece, {PieceEnd::Made, "h"}}}};
}

} // namespace

// Guards against requests that wait for ever because the host that had their
// pieces is gone.
TEST_CASE("stage client: open orders go to the next dispatcher") {
  Gate Gate;
  Waiter Waiter;
  StageClient Client(Gate);
  Client.order({order("r", 0), order("r", 1)}, Waiter);
  CHECK(Gate.orders("one") == 2);
  Client.onReports(made("r", 0));
  Gate.Dispatcher_ = "two";
  Client.onDispatcherLost("other");
  CHECK(Gate.orders("two") == 0);
  Client.onDispatcherLost("one");
  CHECK(Gate.orders("two") == 1);
  CHECK(Waiter.Reports_.size() == 1);
}

// Guards against orders that are lost because no connection was up.
TEST_CASE("stage client: what could not be sent is sent later") {
  Gate Gate;
  Waiter Waiter;
  StageClient Client(Gate);
  Gate.Reachable_ = false;
  Client.order({order("r", 0)}, Waiter);
  CHECK(Gate.Sent_.empty());
  Gate.Reachable_ = true;
  Client.retryUnsent();
  Client.retryUnsent();
  CHECK(Gate.orders("one") == 1);
}

// Guards against a report that reaches a request that has ended.
TEST_CASE("stage client: reports for cancelled requests go nowhere") {
  Gate Gate;
  Waiter Waiter;
  StageClient Client(Gate);
  Client.order({order("r", 0)}, Waiter);
  Client.cancel("r");
  Client.onReports(made("r", 0));
  CHECK(Waiter.Reports_.empty());
  REQUIRE(Gate.Sent_.size() == 2);
  CHECK(std::holds_alternative<CancelPieces>(Gate.Sent_[1].second));
}

// Guards against a result that is handed to another request.
TEST_CASE("stage client: a report reaches its own request only") {
  Gate Gate;
  Waiter One;
  Waiter Other;
  StageClient Client(Gate);
  Client.order({order("r1", 0)}, One);
  Client.order({order("r2", 0)}, Other);
  Client.onReports(made("r2", 0));
  CHECK(One.Reports_.empty());
  CHECK(Other.Reports_.size() == 1);
  // A second report for the same piece is not expected.
  Client.onReports(made("r2", 0));
  CHECK(Other.Reports_.size() == 1);
}
