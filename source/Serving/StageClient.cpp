#include "Serving/StageClient.h"

#include <set>

namespace amaranth::serving {

using protocol::FleetMessage;
using protocol::PieceOrders;
using protocol::PieceReport;

StageClient::StageClient(DispatcherRouter &Router) : Router_(Router) {}

StageClient::Key StageClient::makeKey(const protocol::StagePiece &Piece) {
  return {Piece.RequestId_, Piece.Stage_, Piece.Piece_};
}

void StageClient::orderPieces(std::vector<PieceRequest> Pieces,
                              PieceWaiter &Waiter) {
  std::vector<Key> Keys;
  for (PieceRequest &Piece : Pieces) {
    Key Id = makeKey(Piece.Order_.Piece_);
    OpenOrders_[Id] = OpenOrder{std::move(Piece), &Waiter, ""};
    Keys.push_back(std::move(Id));
  }
  sendOrders(Keys);
}

void StageClient::sendOrders(const std::vector<Key> &Keys) {
  std::map<std::string, PieceOrders> OrdersByHost;
  std::map<std::string, std::vector<Key>> KeysByHost;
  for (const Key &Id : Keys) {
    OpenOrder &Pending = OpenOrders_[Id];
    protocol::PieceOrder &Order = Pending.Request_.Order_;
    Order.AimLeft_ = std::chrono::floor<Milliseconds>(Pending.Request_.AimBy_ -
                                                      SteadyClock::now());
    Order.ExpiryLeft_ = std::chrono::floor<Milliseconds>(
        Pending.Request_.ExpiresAt_ - SteadyClock::now());
    std::string Host = Router_.findDispatcher(Order.Service_);
    OrdersByHost[Host].Orders_.push_back(Order);
    KeysByHost[Host].push_back(Id);
  }
  for (auto &[Host, Orders] : OrdersByHost) {
    // Marked before sending, because a dispatcher on this host may report
    // during the call.
    for (const Key &Id : KeysByHost[Host])
      OpenOrders_[Id].Dispatcher_ = Host;
    if (Router_.sendTo(Host, FleetMessage(std::move(Orders))))
      continue;
    for (const Key &Id : KeysByHost[Host])
      OpenOrders_[Id].Dispatcher_.clear();
  }
}

void StageClient::cancelRequest(const std::string &RequestId) {
  std::set<std::string> Hosts;
  auto It = OpenOrders_.lower_bound(Key{RequestId, 0, 0});
  while (It != OpenOrders_.end() && std::get<0>(It->first) == RequestId) {
    if (!It->second.Dispatcher_.empty())
      Hosts.insert(It->second.Dispatcher_);
    It = OpenOrders_.erase(It);
  }
  for (const std::string &Host : Hosts)
    Router_.sendTo(Host, FleetMessage(protocol::CancelPieces{RequestId}));
}

void StageClient::releaseResults(
    const std::vector<protocol::UnneededResult> &Results) {
  std::map<std::string, protocol::ReleaseResults> ReleasesByHost;
  for (const protocol::UnneededResult &Result : Results)
    ReleasesByHost[Router_.findDispatcher(Result.Service_)].Results_.push_back(
        Result);
  for (auto &[Host, Batch] : ReleasesByHost)
    Router_.sendTo(Host, FleetMessage(std::move(Batch)));
}

void StageClient::onReports(const std::string &Dispatcher,
                            const protocol::PieceReports &Reports) {
  for (const PieceReport &Report : Reports.Reports_) {
    auto Found =
        OpenOrders_.find(Key{Report.RequestId_, Report.Stage_, Report.Piece_});
    if (Found == OpenOrders_.end()) {
      // The request has ended. The report does not name the service, so the
      // result cannot be freed here and expires on its target.
      continue;
    }
    bool IsResult = Report.Outcome_.Status_ == protocol::PieceStatus::Completed;
    if (!IsResult && Found->second.Dispatcher_ != Dispatcher)
      continue;
    PieceWaiter *Waiter = Found->second.Waiter_;
    if (Report.Outcome_.Status_ != protocol::PieceStatus::InputsRead)
      OpenOrders_.erase(Found);
    Waiter->onPiece(Report);
  }
}

void StageClient::onDispatcherLost(const std::string &Host) {
  for (auto &[Id, Pending] : OpenOrders_)
    if (Pending.Dispatcher_ == Host) {
      Pending.Dispatcher_.clear();
      Pending.Request_.Order_.Repeat_ = true;
    }
  sendUnsentOrders();
}

void StageClient::sendUnsentOrders() {
  std::vector<Key> Keys;
  for (const auto &[Id, Pending] : OpenOrders_)
    if (Pending.Dispatcher_.empty())
      Keys.push_back(Id);
  if (!Keys.empty())
    sendOrders(Keys);
}

} // namespace amaranth::serving
