/// \file
/// Orders stage pieces from the dispatchers of their services.
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

/// Waits for the pieces of one request.
class PieceWaiter {
public:
  virtual ~PieceWaiter() = default;
  virtual void onPiece(const protocol::PieceReport &Report) = 0;
};

/// Carries messages to the dispatcher of a service, which may be this host.
class DispatcherGate {
public:
  virtual ~DispatcherGate() = default;
  /// The host that dispatches for \p Service.
  virtual std::string dispatcherOf(const std::string &Service) const = 0;
  /// False if the host cannot be reached now.
  virtual bool sendTo(const std::string &Host,
                      const protocol::FleetMessage &Message) = 0;
};

/// What a request orders. The times are absolute.
struct PieceRequest {
  protocol::PieceOrder Order_;
  SteadyTime AimBy_;
  SteadyTime ExpiresAt_;
};

/// Tracks the pieces that requests of this host have ordered. When a dispatcher
/// is lost, its open orders go to the next one.
class StageClient final {
public:
  explicit StageClient(DispatcherGate &Gate);

  /// \p Waiter must cancel before it goes.
  void order(std::vector<PieceRequest> Pieces, PieceWaiter &Waiter);
  /// Forgets the open orders of a request.
  void cancel(const std::string &RequestId);
  /// Frees results that are not needed any more.
  void release(const std::vector<protocol::UnneededResult> &Results);

  void onReports(const protocol::PieceReports &Reports);
  void onDispatcherLost(const std::string &Host);
  /// Sends again what could not be sent. Call often.
  void retryUnsent();

private:
  using Key = std::tuple<std::string, std::size_t, std::size_t>;
  struct Open {
    PieceRequest Request_;
    PieceWaiter *Waiter_ = nullptr;
    std::string Dispatcher_; ///< Empty while unsent.
  };

  static Key keyOf(const protocol::StagePiece &Piece);
  void send(const std::vector<Key> &Keys);

  DispatcherGate &Gate_;
  std::map<Key, Open> Open_;
};

} // namespace amaranth::serving

#endif
