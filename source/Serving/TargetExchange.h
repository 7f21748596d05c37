/// \file
/// One request at one target.
#ifndef AMARANTH_SERVING_TARGETEXCHANGE_H
#define AMARANTH_SERVING_TARGETEXCHANGE_H

#include "Protocol/EdgeProtocol.h"
#include "Serving/TargetConnections.h"
#include "Transport/ByteBudget.h"
#include "Transport/HttpReader.h"

#include <functional>
#include <memory>
#include <string>

namespace amaranth::serving {

/// Progress or result of an exchange.
enum class ExchangeState {
  NotSent,     ///< No byte was written; the target did not get the request.
  Answering,   ///< The answer's head has arrived.
  Complete,    ///< The whole answer has arrived.
  NotExecuted, ///< The target reports that it did not run the request.
  Broken,      ///< The connection broke; the request may have run.
  /// The answer is malformed, too large or of other requests; the request may
  /// have run.
  Unusable,
  TimedOut, ///< Like Broken, because the deadline passed.
  /// Nothing was written, because the target may no longer get requests.
  Withheld,
};

/// How an exchange treats the answer.
struct TargetExchangeSettings {
  /// Limit for the part of the body that is held at once. An answer that would
  /// exceed it is unusable.
  std::size_t MaxBody_ = 16 * 1024 * 1024;
  /// Keep the connection from other requests until releaseConnection(), because
  /// only the body shows whether the answer is that of this request.
  bool HoldsConnection_ = false;
  /// The target may leave the id out of its answer, but states no other one.
  bool MayLackId_ = false;
  /// Asked immediately before the request is written: the target may have
  /// stated that it leaves, or its data centre may have been evacuated, while
  /// the exchange waited for a connection. Empty if it may be sent in any case.
  std::function<bool()> MaySend_;
};

/// Sends one request and reads its answer. Skips foreign answers: late answers
/// to other requests that arrive on the same connection.
class TargetExchange final {
public:
  /// Bytes of the answer count against \p Budget while they are held.
  TargetExchange(TargetConnections &Connections,
                 const protocol::EdgeProtocol &Edge,
                 transport::ByteBudget &Budget, state::TargetRecord Target,
                 TargetExchangeSettings Settings = {});
  ~TargetExchange();

  /// Sends \p Request and reads the head of the answer, which must name
  /// \p RequestId unless that is empty.
  transport::Awaitable<ExchangeState>
  start(std::string Request, std::string RequestId, SteadyTime Deadline);
  /// Reads more of the body; call while the state is Answering.
  transport::Awaitable<ExchangeState> readMore();
  /// Reads the whole body. An answer that states a length over the limit is
  /// given up at once.
  transport::Awaitable<ExchangeState> readAll();

  /// Changes the deadline of the exchange. No effect before start() has
  /// connected or after the end.
  void setDeadline(SteadyTime Deadline);

  /// Gives a held connection to later requests, if it can carry any.
  void releaseConnection();

  /// Resets the connection, so that the target does not get the part of the
  /// request that is still on its way; operations in progress end as Broken.
  void stop();

  ExchangeState state() const { return State_; }
  /// Whether the head of an answer has arrived that is the target's own: not
  /// that of another target which has taken over its address.
  bool hasTargetsAnswer() const;
  const transport::HttpHead &head() const { return Reader_->head(); }
  const protocol::TargetReply &reply() const { return Reply_; }
  const state::TargetRecord &target() const { return Target_; }
  /// Returns the body bytes received since the last call.
  std::string takeBody();

private:
  transport::Awaitable<ExchangeState> readHead();
  void logSent(Milliseconds ConnectTime, SteadyTime Deadline) const;
  /// Whether the head that has arrived is that of the final answer to this
  /// request.
  bool isOwnAnswer() const;
  /// Reads the rest of an answer that is not isOwnAnswer(), and discards it.
  transport::Awaitable<transport::LinkStatus> skipBody();
  /// Parses the bytes that have arrived. False if they are unusable or too
  /// many.
  bool parseInput();
  void finish();
  ExchangeState fail(transport::LinkStatus Status);
  /// Ends the exchange because the answer cannot be used.
  ExchangeState reject();
  ExchangeState end(ExchangeState Final);

  TargetConnections &Connections_;
  const protocol::EdgeProtocol &Edge_;
  state::TargetRecord Target_;
  transport::ByteReservation Held_;
  TargetExchangeSettings Settings_;
  std::string RequestId_;
  std::shared_ptr<transport::TcpLink> Link_;
  std::unique_ptr<transport::HttpReader> Reader_;
  protocol::TargetReply Reply_;
  std::string Body_;
  ExchangeState State_ = ExchangeState::NotSent;
  /// An answer that is not isOwnAnswer() arrived on the connection.
  bool SkippedForeign_ = false;
  bool IsReusable_ = false; ///< The connection can carry another request.
  bool Stopped_ = false;
};

} // namespace amaranth::serving

#endif
