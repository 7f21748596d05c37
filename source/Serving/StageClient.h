/// \file
/// Orders stage pieces (units of a stage's work for a request) from the
/// dispatchers of their services.
#ifndef AMARANTH_SERVING_STAGECLIENT_H
#define AMARANTH_SERVING_STAGECLIENT_H

#include "Protocol/FleetMessages.h"
#include "Support/Time.h"

#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace amaranth::serving {

/// Receives the reports about the pieces of one request.
class PieceWaiter {
public:
  virtual ~PieceWaiter() = default;
  virtual void onPiece(const protocol::PieceReport &Report) = 0;
};

/// Sends messages to dispatchers. A dispatcher is the entry host that composes
/// the calls to the targets of a stage service; it may be this host.
class DispatcherRouter {
public:
  virtual ~DispatcherRouter() = default;
  /// Name of the host that dispatches for \p Service.
  virtual std::string findDispatcher(const std::string &Service) const = 0;
  /// False if the host cannot be reached now.
  virtual bool sendTo(const std::string &Host,
                      const protocol::FleetMessage &Message) = 0;
};

/// A piece ordered by a request, with absolute times. Order_ gets the time left
/// when it is sent.
struct PieceRequest {
  protocol::PieceOrder Order_;
  SteadyTime AimBy_;
  SteadyTime ExpiresAt_;
};

/// Tracks the pieces that requests of this host have ordered. When a dispatcher
/// host fails, its open orders are sent to its successor.
class StageClient final {
public:
  explicit StageClient(DispatcherRouter &Router);

  /// \p Waiter must cancel the request before it is destroyed.
  void orderPieces(std::vector<PieceRequest> Pieces, PieceWaiter &Waiter);
  /// Cancels the open orders of a request.
  void cancelRequest(const std::string &RequestId);
  /// Has results freed that are no longer needed.
  void releaseResults(const std::vector<protocol::UnneededResult> &Results);

  /// Takes the reports of \p Dispatcher. A result is used whichever dispatcher
  /// reports it; a failure counts only if the piece is still ordered there.
  void onReports(const std::string &Dispatcher,
                 const protocol::PieceReports &Reports);
  void onDispatcherLost(const std::string &Host);
  /// Sends the orders that could not be sent before. Call often.
  void sendUnsentOrders();

private:
  using Key = std::tuple<std::string, std::size_t, std::size_t>;
  struct OpenOrder {
    PieceRequest Request_;
    PieceWaiter *Waiter_ = nullptr;
    std::string Dispatcher_; ///< Empty while unsent.
  };

  static Key makeKey(const protocol::StagePiece &Piece);
  void sendOrders(const std::vector<Key> &Keys);

  DispatcherRouter &Router_;
  std::map<Key, OpenOrder> OpenOrders_;
};

} // namespace amaranth::serving

#endif
