#include "Serving/StageClient.h"

#include <set>

namespace amaranth::serving {

using protocol::FleetMessage;
using protocol::PieceOrders;
using protocol::PieceReport;

StageClient::StageClient(DispatcherGate &Gate) : Gate_(Gate) {}

StageClient::Key StageClient::keyOf(const protocol::StagePiece &Piece) {
  return {Piece.RequestId_, Piece.Stage_, Piece.Piece_};
}

void StageClient::order(std::vector<PieceRequest> Pieces, PieceWaiter &Waiter) {
  std::vector<Key> Keys;
  for (PieceRequest &Piece : Pieces) {
    Key Id = keyOf(Piece.Order_.Piece_);
    Open_[Id] = Open{std::move(Piece), &Waiter, ""};
    Keys.push_back(std::move(Id));
  }
  send(Keys);
}

void StageClient::send(const std::vector<Key> &Keys) {
  std::map<std::string, PieceOrders> ByHost;
  std::map<std::string, std::vector<Key>> KeysByHost;
  for (const Key &Id : Keys) {
    Open &Of = Open_[Id];
    protocol::PieceOrder &Order = Of.Request_.Order_;
    Order.AimLeft_ = std::chrono::floor<Milliseconds>(Of.Request_.AimBy_ -
                                                      SteadyClock::now());
    Order.ExpiryLeft_ = std::chrono::floor<Milliseconds>(
        Of.Request_.ExpiresAt_ - SteadyClock::now());
    std::string Host = Gate_.dispatcherOf(Order.Service_);
    ByHost[Host].Orders_.push_back(Order);
    KeysByHost[Host].push_back(Id);
  }
  for (auto &[Host, Orders] : ByHost) {
    // Marked before sending: this host's own dispatcher may report at once.
    for (const Key &Id : KeysByHost[Host])
      Open_[Id].Dispatcher_ = Host;
    if (Gate_.sendTo(Host, FleetMessage(std::move(Orders))))
      continue;
    for (const Key &Id : KeysByHost[Host])
      Open_[Id].Dispatcher_.clear();
  }
}

void StageClient::cancel(const std::string &RequestId) {
  std::set<std::string> Hosts;
  auto It = Open_.lower_bound(Key{RequestId, 0, 0});
  while (It != Open_.end() && std::get<0>(It->first) == RequestId) {
    if (!It->second.Dispatcher_.empty())
      Hosts.insert(It->second.Dispatcher_);
    It = Open_.erase(It);
  }
  for (const std::string &Host : Hosts)
    Gate_.sendTo(Host, FleetMessage(protocol::CancelPieces{RequestId}));
}

void StageClient::release(
    const std::vector<protocol::UnneededResult> &Results) {
  std::map<std::string, protocol::ReleaseResults> ByHost;
  for (const protocol::UnneededResult &Result : Results)
    ByHost[Gate_.dispatcherOf(Result.Service_)].Results_.push_back(Result);
  for (auto &[Host, Batch] : ByHost)
    Gate_.sendTo(Host, FleetMessage(std::move(Batch)));
}

void StageClient::onReports(const protocol::PieceReports &Reports) {
  for (const PieceReport &Report : Reports.Reports_) {
    auto Found =
        Open_.find(Key{Report.RequestId_, Report.Stage_, Report.Piece_});
    if (Found == Open_.end()) {
      // The request has gone; its result only takes up room. The service is
      // not known here, so the result expires by itself.
      continue;
    }
    PieceWaiter *Waiter = Found->second.Waiter_;
    if (Report.Outcome_.End_ != protocol::PieceEnd::InputsRead)
      Open_.erase(Found);
    Waiter->onPiece(Report);
  }
}

void StageClient::onDispatcherLost(const std::string &Host) {
  for (auto &[Id, Of] : Open_)
    if (Of.Dispatcher_ == Host) {
      Of.Dispatcher_.clear();
      Of.Request_.Order_.Repeat_ = true;
    }
  retryUnsent();
}

void StageClient::retryUnsent() {
  std::vector<Key> Keys;
  for (const auto &[Id, Of] : Open_)
    if (Of.Dispatcher_.empty())
      Keys.push_back(Id);
  if (!Keys.empty())
    send(Keys);
}

} // namespace amaranth::serving
